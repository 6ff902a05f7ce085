"""Stand-ins of the platform for the scripts of this review: store, workers, clients.

They follow PROTOCOL.md, DEPLOY.md and RULES.md. Everything listens on 127.0.0.1,
on ports that the system chooses. The system itself runs as separate processes,
with the command of deploy/system.toml and a settings file for each.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections import OrderedDict, defaultdict
from urllib.parse import parse_qs, unquote, urlsplit

REPO = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
IP = "127.0.0.1"
HOST, PREFIX, SERVICE = "queue.example", "/binding/", "press"
HOLD_MAX_MS = 10_000
STOP_GRACE_MS = 400
GANG_TIMEOUT_MS = 3_000
CHECKPOINT_MS = 500
RESTORE_MS = 600
HEARTBEAT_S = 1.5
CONTACT_S = 4.0
LISTED = 500


def now_ms():
    return time.monotonic() * 1000.0


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.began = time.monotonic()

    def t(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        self.file.write(f"{self.t():8.3f} {text}\n")


# --- HTTP ---------------------------------------------------------------------


class Reply:
    def __init__(self, status, body=None, drop=False, headers=None):
        self.status, self.body, self.drop, self.headers = status, body, drop, headers or {}


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 429: "Too Many Requests",
           503: "Service Unavailable"}


async def read_message(reader):
    """Reads a request or an answer; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    try:
        if headers.get("transfer-encoding") == "chunked":
            body = b""
            while True:
                n = int((await reader.readline()).strip() or b"0", 16)
                body += await reader.readexactly(n)
                await reader.readline()
                if n == 0:
                    break
        else:
            body = await reader.readexactly(size) if size else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


class Server:
    """An HTTP/1.1 server whose connections can be ended as by a crash."""

    def __init__(self, handler):
        self.handler, self.writers, self.server = handler, set(), None
        self.port = 0

    async def open(self, port=0):
        self.server = await asyncio.start_server(self.serve, IP, port, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def crash(self):
        """Ends the listener and resets every connection."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (msg := await read_message(reader)) is not None:
                line, headers, body = msg
                method, target, _ = line.split(" ", 2)
                reply = await self.handler(method, target, headers, body)
                if reply is None or reply.drop:
                    if reply is None:
                        await asyncio.sleep(3600)  # silent
                    writer.transport.abort()
                    return
                data = b"" if reply.body is None else json.dumps(reply.body).encode()
                extra = "".join(f"{k}: {v}\r\n" for k, v in reply.headers.items())
                writer.write((f"HTTP/1.1 {reply.status} {REASONS.get(reply.status, 'X')}\r\n"
                              f"content-type: application/json\r\n{extra}"
                              f"content-length: {len(data)}\r\n\r\n").encode() + data)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


async def call(port, method, path, body=None, timeout=5.0, headers=None):
    """Makes one call; returns (status, body) or (None, reason) without an answer."""

    async def run():
        reader, writer = await asyncio.open_connection(IP, port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = {"Host": HOST, "Content-Type": "application/json",
                     "Content-Length": str(len(data)), "X-Deadline-Ms": str(int(timeout * 1000))}
            lines.update(headers or {})
            head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in lines.items())
            writer.write(head.encode() + b"\r\n" + data)
            await writer.drain()
            msg = await read_message(reader)
            if msg is None:
                return None, "broken"
            status = int(msg[0].split(" ")[1])
            text = msg[2].decode() if msg[2] else ""
            try:
                return status, json.loads(text) if text else None
            except ValueError:
                return status, text
        finally:
            writer.transport.abort()

    try:
        return await asyncio.wait_for(run(), timeout)
    except asyncio.TimeoutError:
        return None, "no answer in time"
    except OSError as error:
        return None, f"not connected: {error}"


# --- store ----------------------------------------------------------------------


class Store:
    """The platform's key-value store. `late` chooses writes that are carried out
    later and not answered, as `platform_lost` with `late` does."""

    def __init__(self, record):
        self.record, self.items, self.revision = record, {}, 10
        self.history, self.changed = [], asyncio.Event()
        self.late = None
        self.server = Server(self.handle)

    async def open(self):
        await self.server.open()
        return self

    def put(self, key, value):
        """A write by the operator or a worker."""
        if isinstance(value, (dict, list)):
            value = json.dumps(value).encode()
        self.revision += 1
        self.apply(key, value)
        self.notify()

    def delete(self, key):
        if key in self.items:
            self.revision += 1
            self.erase(key)
            self.notify()

    def apply(self, key, value):
        created = self.items[key]["Created"] if key in self.items else self.revision
        item = {"Key": key, "Value": base64.b64encode(value).decode(), "Revision": self.revision,
                "Created": created, "Lease": 0}
        self.items[key] = item
        self.history.append(item)

    def erase(self, key):
        del self.items[key]
        self.history.append({"Key": key, "Revision": self.revision, "Deleted": True})

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def txn(self, body):
        for row in body.get("Expect") or []:
            item = self.items.get(row["Key"])
            if (item["Revision"] if item else 0) != row["Revision"]:
                keys = [it["Key"] for it in body["Expect"]]
                return Reply(412, {"items": [self.items[it] for it in keys if it in self.items]})
        self.revision += 1
        for row in body.get("SetKeys") or []:
            self.apply(row["Key"], base64.b64decode(row["Value"]))
        for key in body.get("Remove") or []:
            if key in self.items:
                self.erase(key)
        self.notify()
        return Reply(200, {"Revision": self.revision})

    async def handle(self, method, target, headers, body):
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/kv-key":
            item = self.items.get(query["Key"])
            return Reply(200, dict(item, StoreRevision=self.revision)) if item else Reply(404)
        if url.path == "/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query["Prefix"]) and k > query.get("After", ""))
            return Reply(200, {"items": [self.items[k] for k in keys[:500]],
                               "HasMore": 500 < len(keys), "StoreRevision": self.revision})
        if url.path == "/kv-watch":
            until = time.monotonic() + int(query.get("WaitMs", "0")) / 1000.0
            after = int(query["After"])
            while True:
                events = [it for it in self.history
                          if after < it["Revision"] and it["Key"].startswith(query["Prefix"])]
                left = until - time.monotonic()
                if events or left <= 0:
                    return Reply(200, {"events": events, "StoreRevision": self.revision})
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if url.path == "/kv-txn":
            parsed = json.loads(body)
            delay = self.late(parsed) if self.late else None
            if delay is not None:
                keys = [it["Key"] for it in parsed.get("SetKeys") or []]
                self.record(f"store: write of {keys} is not answered, done {delay:.1f} s later")

                async def later():
                    await asyncio.sleep(delay)
                    status = self.txn(parsed).status
                    self.record(f"store: late write of {keys}: {status}")

                asyncio.get_running_loop().create_task(later())
                return None
            return self.txn(parsed)
        return Reply(404)


# --- workers ---------------------------------------------------------------------


class Work:
    """What the tasks of a step do, by the submission that the client sent."""

    def __init__(self, sid, step, spec, work_ms, fails=()):
        self.sid, self.step, self.spec, self.work_ms = sid, step, spec, work_ms
        self.fails = set(fails)


class Fleet:
    """What all workers have seen, and the checks of the rules on it."""

    def __init__(self, record, store):
        self.record, self.store, self.workers, self.work = record, store, [], {}
        self.broken, self.starts, self.ends = [], [], []
        self.gangs = {}
        self.disrupted_at = -1e9

    def disruption(self, what):
        self.disrupted_at = time.monotonic()
        self.record(f"disruption: {what}")

    def is_calm(self, since=0.0):
        return CONTACT_S <= time.monotonic() - self.disrupted_at

    def breaks(self, rule, text):
        self.broken.append((rule, text))
        self.record(f"BROKEN {rule}: {text}")

    def running(self, task):
        return [(w, r) for w in self.workers if w.up for r in w.runs.values() if r.task == task]


class Run:
    def __init__(self, worker, task, number, work, saved_ms, restore):
        self.worker, self.task, self.number, self.work = worker, task, number, work
        self.began = now_ms()
        self.done_ms, self.saved_ms = float(saved_ms), float(saved_ms)
        self.last = now_ms() + (RESTORE_MS if restore else 0)
        self.gang, self.stop_at = None, None

    def advance(self, at):
        if self.gang is not None and not self.gang.is_whole():
            self.last = max(self.last, at)
            return
        if self.last < at:
            self.done_ms += (at - self.last) / self.worker.slow
            self.last = at
            self.saved_ms = max(self.saved_ms, self.done_ms // CHECKPOINT_MS * CHECKPOINT_MS)

    def saved(self):
        if not self.work.spec.get("SavesProgress") or self.saved_ms <= 0:
            return ""
        return f"{int(self.saved_ms):08x}{self.work.sid[-8:]}"

    def percent(self):
        return min(99, int(100 * self.done_ms / self.work.work_ms))


class Gang:
    """One run of a gang: its members work from when all are there with one value."""

    def __init__(self, step, number, count):
        self.step, self.number, self.count, self.members, self.whole = step, number, count, {}, False
        self.checkpoints = {}

    def is_whole(self):
        if not self.whole and len(self.members) == self.count:
            # All must carry the same checkpoint; others are no run of this gang.
            self.whole = len(set(self.checkpoints.values())) == 1
        return self.whole


class Worker:
    def __init__(self, fleet, name, zone, rack, cpu=8000):
        self.fleet, self.name, self.zone, self.rack, self.cpu = fleet, name, zone, rack, cpu
        self.slow, self.up, self.server, self.port = 1.0, False, None, 0
        self.life = 0
        fleet.workers.append(self)

    async def begin(self, same_id=False):
        self.life += 1
        self.id = self.name if same_id or self.life == 1 else f"{self.name}-{self.life}"
        self.born = int(time.time() * 1000)
        self.base = now_ms()
        self.fence, self.lease, self.seq = 0, 0.0, 0
        self.runs, self.ended, self.next_end, self.seen = {}, [], 1, 0
        self.refused, self.listed, self.on_listed = {}, {}, None
        self.state = "ready"
        self.wake = asyncio.Event()
        self.server = await Server(self.handle).open()
        self.port = self.server.port
        self.up = True
        self.beat_task = asyncio.get_running_loop().create_task(self.beat(self.life))

    async def beat(self, life):
        while self.up and self.life == life:
            self.seq += 1
            self.fleet.store.put(f"servers/{self.id}", {
                "Service": SERVICE, "Address": f"{IP}:{self.port}", "Zone": self.zone,
                "Version": "v1", "Slots": 8, "State": self.state, "ColdLeftMs": 0,
                "Capacity": {"Cpu": self.cpu, "MemMb": 64000, "Gpu": 0},
                "Labels": ["a", self.rack], "Machine": f"m-{self.name}",
                "ClockMs": int(self.clock()), "Seq": self.seq, "born": self.born})
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self):
        """The worker is gone at once; it sends nothing and its entry lapses."""
        self.up = False
        self.server.crash()
        for run in list(self.runs.values()):
            self.fleet.record(f"{self.id}: {run.task} run {run.number} is lost in the crash")
            self.fleet.ends.append((time.monotonic(), run.task, run.number, "crashed", self.id))
            self.leave_gang(run)
        self.runs = {}
        sid, life = self.id, self.life

        async def lapse():
            await asyncio.sleep(3 * HEARTBEAT_S)
            if not self.up or self.id != sid:
                self.fleet.store.delete(f"servers/{sid}")

        asyncio.get_running_loop().create_task(lapse())

    def drain(self):
        """Reports that it is about to leave, which the store accepts at once."""
        self.state = "draining"
        self.beat_task.cancel()
        self.beat_task = asyncio.get_running_loop().create_task(self.beat(self.life))

    def leave(self):
        """Exits: everything that runs on it terminates, and its entry is removed."""
        self.fleet.record(f"{self.id}: leaves")
        self.crash()
        self.fleet.store.delete(f"servers/{self.id}")

    def clock(self):
        return now_ms() - self.base + 1000

    def end(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self.refused[run.task] = max(self.refused.get(run.task, 0), run.number)
        self.ended.append([self.next_end, run.task, run.number, how, run.saved()])
        self.next_end += 1
        self.fleet.ends.append((time.monotonic(), run.task, run.number, how, self.id))
        self.fleet.record(f"{self.id}: {run.task} run {run.number} ends {how} at "
                          f"{int(run.done_ms)} ms saved={run.saved() or '-'}")
        self.wake.set()
        self.wake = asyncio.Event()
        self.leave_gang(run)

    def leave_gang(self, run):
        if run.gang is None:
            return
        gang, run.gang = run.gang, None
        gang.members.pop(run.task, None)
        if gang.whole:
            for other in list(gang.members.values()):
                other.worker.end(other, "broken")

    def extend(self, end_by):
        if end_by:
            self.lease = max(self.lease, min(float(end_by), self.clock() + HOLD_MAX_MS))

    def advance(self):
        at = now_ms()
        for run in list(self.runs.values()):
            if self.lease <= self.clock():
                self.end(run, "lapsed")
                continue
            run.advance(at)
            if run.stop_at is not None and run.stop_at <= at:
                self.end(run, "stopped")
            elif run.gang is not None and not run.gang.whole:
                if GANG_TIMEOUT_MS <= at - run.began:
                    values = {v or "-" for v in run.gang.checkpoints.values()}
                    self.fleet.record(f"{self.id}: {run.task} run {run.number} waited, "
                                      f"{len(run.gang.members)} of {run.gang.count} members, "
                                      f"checkpoints {sorted(values)}")
                    self.end(run, "alone")
            elif (run.task, run.number) in run.work.fails and run.work.work_ms * 0.5 <= run.done_ms:
                self.end(run, "failed")
            elif run.work.work_ms <= run.done_ms:
                if run.gang is not None:
                    gang, members = run.gang, list(run.gang.members.values())
                    gang.whole = False
                    for it in members:
                        it.gang = None
                    for it in members:
                        it.worker.end(it, "done")
                else:
                    self.end(run, "done")

    def used(self):
        return sum(0 if r.work.spec.get("Fills") else r.work.spec["Cpu"] for r in self.runs.values())

    def refusal(self, reason):
        return Reply(409, {"ClockMs": int(self.clock()), "Reason": reason, "born": self.born})

    def ok(self, **more):
        return Reply(200, dict({"ClockMs": int(self.clock()), "born": self.born}, **more))

    async def handle(self, method, target, headers, body):
        if not self.up:
            return Reply(503, drop=True)
        if target == "/health":
            return Reply(200)
        expected = headers.get("x-expected-instance")
        if expected is not None and expected != self.id:
            return Reply(421)
        msg = json.loads(body) if body else {}
        token = msg.get("FencingToken", 0)
        if token < self.fence:
            return self.refusal("fence")
        self.fence = token
        self.advance()
        if target == "/run-start":
            return self.start(msg)
        if target == "/run-stop":
            run = self.runs.get(msg["Task"])
            self.refused[msg["Task"]] = max(self.refused.get(msg["Task"], 0), msg["Run"])
            if run is not None and run.number == msg["Run"] and run.stop_at is None:
                run.stop_at = now_ms() + STOP_GRACE_MS * 0.75
                self.fleet.record(f"{self.id}: told to stop {run.task} run {run.number}")
            return self.ok()
        if target == "/pace":
            return self.ok()
        if target == "/hold":
            return await self.hold(msg)
        return Reply(404)

    async def hold(self, msg):
        self.extend(msg.get("EndByMs"))
        self.seen = max(self.seen, msg.get("LastSeen", 0))
        for end in self.ended:
            if end[0] <= self.seen:
                self.fleet.record(f"{self.id}: end {end[0]} of {end[1]} run {end[2]} ({end[3]}) "
                                  "is taken note of")
        self.ended = [it for it in self.ended if self.seen < it[0]]
        until = time.monotonic() + msg.get("WaitMs", 0) / 1000.0
        while not self.ended and time.monotonic() < until and self.up:
            try:
                await asyncio.wait_for(self.wake.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        if not self.up:
            return Reply(503, drop=True)
        self.advance()
        rows = [[r.task, r.number, r.saved(), r.percent(), r.work.spec["Cpu"]]
                for r in self.runs.values()]
        for end in self.ended[:LISTED]:
            if self.listed.setdefault(end[0], time.monotonic()) and self.on_listed:
                self.on_listed(self, end)
        return self.ok(Running=rows, EndedRuns=self.ended[:LISTED])

    def start(self, msg):
        task, number = msg["Task"], msg["Run"]
        fleet = self.fleet
        checkpoint = msg.get("Checkpoint", "")
        fleet.record(f"{self.id}: told to start {task} run {number} checkpoint={checkpoint or '-'}")
        self.extend(msg.get("EndByMs"))
        held = self.runs.get(task)
        if held is not None and held.number == number:
            return self.ok()
        if msg.get("EndByMs", 0) <= self.clock():
            return self.refusal("late")
        if held is not None or number <= self.refused.get(task, 0):
            return self.refusal("old")
        sid, occurrence, step, index = task.split(".")
        work = fleet.work.get((sid, int(step)))
        if work is None:
            fleet.breaks("UNASKED", f"{task} was sent by nobody")
            return Reply(400)
        if self.cpu < self.used() + work.spec["Cpu"]:
            return self.refusal("room")
        saved = int(checkpoint[:8], 16) if checkpoint else 0
        run = Run(self, task, number, work, saved, bool(checkpoint))
        if work.spec.get("Gang"):
            key = (sid, occurrence, step, number)
            gang = fleet.gangs.get(key)
            if gang is None:
                gang = fleet.gangs[key] = Gang(task.rsplit(".", 1)[0], number, work.spec["Count"])
            gang.members[task] = run
            gang.checkpoints[task] = checkpoint
            run.gang = gang
        self.runs[task] = run
        fleet.starts.append((time.monotonic(), task, number, self, checkpoint))
        return self.ok()


# --- the system ----------------------------------------------------------------


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for it in sockets:
        it.bind((IP, 0))
    ports = [it.getsockname()[1] for it in sockets]
    for it in sockets:
        it.close()
    return ports


def free_pair():
    """Returns the first of two neighbouring free ports."""
    while True:
        first = random.randrange(20000, 32000)
        try:
            pair = []
            for port in (first, first + 1):
                it = socket.socket()
                it.bind((IP, port))
                pair.append(it)
            return first
        except OSError:
            continue
        finally:
            for it in pair:
                it.close()


class Node:
    """One process of the system, with its settings file."""

    def __init__(self, folder, name, zone, store, zones, advice=None):
        self.name, self.process = name, None
        self.front, self.ready, self.control = free_ports(3)
        first = free_pair()
        lines = {"NodeName": name, "Role": "node", "MachineClass": "front", "ServedRoles": "front",
                 "Ip": IP, "Zone": zone, "Region": zones[zone],
                 "ListenAddrs.Front": f"{IP}:{self.front}",
                 "ListenAddrs.Readiness": f"{IP}:{self.ready}",
                 "PortRange": f"{first},{first + 1}", "Bootstrap": "true", "Limits.CpuShare": "0.25",
                 "Limits.CpuCores": "1", "Limits.MemoryMb": "260", "Limits.MaxFds": "4100",
                 "Limits.LinkMbps": "1000.0", "Limits.DiskMb": "0", "Discovery": "platform",
                 "EntryMode": "vip", "HeartbeatMs": "1500", "Orders": "push",
                 "PolicyTerms": "base,drain,config,cost,recover,sched,platform",
                 "platform.Address": f"{IP}:{store}", "platform.form": "kv",
                 "platform.WritesPerS": "400", "platform.ReadsPerS": "2000",
                 "platform.RetentionS": "20", "platform.ValueBytes": "1048576",
                 "platform.MinTtlMs": "1000", "PolicyBounds.HoldMaxMs": str(HOLD_MAX_MS),
                 "PolicyBounds.StopGraceMs": str(STOP_GRACE_MS), "PolicyBounds.ContactMs": "4000",
                 "PolicyBounds.GangTimeoutMs": str(GANG_TIMEOUT_MS), "PolicyBounds.cancel_ms": "3000"}
        lines.update({f"Zones.{z}": r for z, r in zones.items()})
        if advice:
            lines["Recommendation"] = f"{IP}:{advice}"
        self.path = os.path.join(folder, f"{name}.conf")
        self.log = os.path.join(folder, f"{name}.out")
        with open(self.path, "w") as file:
            file.writelines(f"{k}={v}\n" for k, v in lines.items())

    async def start(self):
        env = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
               "LANG": "C.UTF-8", "MUSTARDCOVE_NODE_FILE": self.path}
        out = open(self.log, "ab")
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(REPO, "target/release/mustardcove-node"), cwd=REPO, env=env,
            stdin=asyncio.subprocess.DEVNULL, stdout=out, stderr=out)
        out.close()

    def send(self, sig):
        if self.process and self.process.returncode is None:
            self.process.send_signal(sig)


class System:
    """Store, workers and processes of one small deployment."""

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.nodes = []
        self.version = 0
        self.ticking = None

    async def open(self, nodes=3, workers=8, racks=4, attempts=4, cpu=8000, advice=None,
                   rejects=True):
        self.store = await Store(self.record).open()
        self.fleet = Fleet(self.record, self.store)
        self.attempts, self.advice, self.rejects = attempts, advice, rejects
        self.write_manifest()
        self.zones = zones = {"north": "land", "south": "land", "west": "land"}
        for i in range(workers):
            worker = Worker(self.fleet, f"w{i}", list(zones)[i % 3], f"r{i % racks}", cpu)
            await worker.begin()
        self.ticking = asyncio.get_running_loop().create_task(self.tick())
        for i in range(nodes):
            node = Node(self.folder.name, f"node-{i}", list(zones)[i % 3], self.store.server.port,
                        zones, advice.port if advice else None)
            self.nodes.append(node)
            await node.start()
        until = time.monotonic() + 20
        while time.monotonic() < until:
            for i, node in enumerate(self.nodes):
                if node.process.returncode is not None:
                    # Another program has taken one of its ports meanwhile.
                    self.nodes[i] = Node(self.folder.name, node.name, list(zones)[i % 3],
                                         self.store.server.port, zones, advice.port if advice else None)
                    await self.nodes[i].start()
            answers = [await call(it.ready, "GET", "/readiness", timeout=1) for it in self.nodes]
            if all(it[0] == 200 for it in answers):
                return self
            await asyncio.sleep(0.2)
        raise RuntimeError("the processes did not become ready")

    async def replace(self, node, after_s):
        """Loses a machine for good; a spare one of its zone takes its place later."""
        i = self.nodes.index(node)
        self.record(f"{node.name} is lost for good")
        node.send(signal.SIGKILL)
        await node.process.wait()
        await asyncio.sleep(after_s)
        new = Node(self.folder.name, f"spare-{i}", list(self.zones)[i % 3], self.store.server.port,
                   self.zones, self.advice.port if self.advice else None)
        self.nodes[i] = new
        await new.start()
        self.fleet.disruption(f"{new.name} is added in the place of {node.name}, at another address")

    def write_manifest(self, routes=None):
        self.version += 1
        route = {"Name": "r-1", "Hostname": HOST, "Prefix": PREFIX, "RouteType": "unsafe",
                 "TimeoutMs": 3000, "TargetLatencyMs": 1000, "Priority": 0, "Service": SERVICE,
                 "Attempts": self.attempts, "Stretch": 2.0}
        if self.advice:
            route["Recommendation"] = {"DecideMs": 20, "EachMs": 2, "ValidMs": 3000}
        self.store.put("op/config", {
            "Version": self.version, "Routes": routes or [route],
            "Services": [{"Name": SERVICE, "HealthPath": "/health", "MaxConns": 64,
                          "Protocol": "h1", "TlsEnabled": False, "RejectsOverload": self.rejects,
                          "Standby": False}],
            "Limits": {"MaxBodyBytes": 262144}})

    async def tick(self):
        while True:
            for worker in self.fleet.workers:
                if worker.up:
                    worker.advance()
            await asyncio.sleep(0.01)

    async def submit(self, sid, steps, work_ms, node=None, fails=None, timeout=3.0, more=None):
        """Submits steps whose tasks work for `work_ms`; returns the last answer."""
        for i, spec in enumerate(steps):
            ms = work_ms[i] if isinstance(work_ms, (list, tuple)) else work_ms
            self.fleet.work[(sid, i)] = Work(sid, i, spec, ms, (fails or {}).get(i, ()))
        body = dict({"TaskSpec": f"task of {sid}", "Steps": steps}, **(more or {}))
        for attempt in range(5):
            target = node or random.choice(self.nodes)
            status, answer = await call(target.front, "POST", PREFIX + sid, body, timeout)
            self.record(f"client: POST {sid} at {target.name}: {status} {answer if status is None else ''}")
            if status is not None and status not in (502, 504):
                return status
            if node is not None:
                return status
        return status

    async def state(self, sid, node=None):
        target = node or random.choice(self.nodes)
        status, answer = await call(target.front, "GET", PREFIX + sid, timeout=3.0)
        if status == 200 and isinstance(answer, dict):
            return answer.get("State")
        return status

    async def wait_state(self, sid, states, timeout):
        until = time.monotonic() + timeout
        state = None
        while time.monotonic() < until:
            state = await self.state(sid)
            if state in states:
                break
            await asyncio.sleep(0.25)
        self.record(f"client: GET {sid}: {state}")
        return state

    async def close(self):
        if self.ticking:
            self.ticking.cancel()
        for node in self.nodes:
            node.send(signal.SIGCONT)
            node.send(signal.SIGKILL)
        for node in self.nodes:
            if node.process:
                await node.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            import shutil
            shutil.copytree(self.folder.name, keep, dirs_exist_ok=True)
        self.folder.cleanup()


def run_case(folder, body):
    """Runs a case: `body(system, trouble)` opens the system and plays the case."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        system = System(os.path.join(folder, "record.txt"))
        system.record(f"trouble={int(trouble)}")
        try:
            await asyncio.wait_for(body(system, trouble), 115)
        finally:
            await system.close()
        rules = [it[0] for it in system.fleet.broken]
        for rule in dict.fromkeys(rules):
            first = next(it[1] for it in system.fleet.broken if it[0] == rule)
            print(f"{rule}, {rules.count(rule)} times, first: {first}")
        held = not system.fleet.broken
        system.record("the rule held" if held else "the rule was broken")
        return 0 if held else 1

    try:
        code = asyncio.run(play())
    except Exception as error:  # the case could not run
        print(f"not run: {type(error).__name__}: {error}")
        code = 2
    sys.exit(code)
