"""Stand-ins of the platform for the cases of this review: the store, workers,
requesters and the starting of the project's own processes.

They follow the users' pages (PROTOCOL.md, DEPLOY.md). Where a page is silent
they behave like a sound platform. Standard library only; all addresses are
loopback addresses, and the real clock is used.
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
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "mustardcove-node")

HOST = "requesters.example"
SERVICE = "press"
HEARTBEAT_MS = 1500
HOLD_MAX_MS = 10_000
STOP_GRACE_MS = 400
GANG_TIMEOUT_MS = 3_000
CHECKPOINT_INTERVAL_MS = 500
RESTORE_MS = 600
STORE_ANSWER_S = 0.004
TICK_S = 0.01


class CannotRun(Exception):
    """The case could not be played, which says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, one JSON object a line."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, what, **fields):
        line = {"t": round(self.now(), 3), "what": what, **fields}
        self.file.write(json.dumps(line, ensure_ascii=False) + "\n")
        self.file.flush()


# --- HTTP -----------------------------------------------------------------


class Connection:
    """One channel from a caller. Once it is mute, nothing more passes it, and
    the caller is not told."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.is_mute = False
        # Where its caller is, if that matters.
        self.region = None


class HttpServer:
    """An HTTP/1.1 server with keep-alive. The handler returns a status and a
    JSON body; a server that is cut off neither takes nor gives anything."""

    def __init__(self, handler):
        self.handler = handler
        self.connections = set()
        self.is_cut = False
        # Whether it turns all calls away.
        self.is_busy = False
        # Whether its host has no power.
        self.is_dark = False
        # Tells where a caller is by its port and the address that it called; and
        # the regions that the server is cut off from.
        self.region_of = None
        self.cut_from = set()
        self.address = None
        self.server = None

    async def start(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def is_apart(self, connection):
        return self.is_cut or connection.region in self.cut_from

    def mute(self):
        """Open channels go silent for good, without a reset."""
        for it in self.connections:
            it.is_mute = True

    def reset(self):
        """Open channels are reset, as when their process is killed."""
        for it in list(self.connections):
            it.writer.transport.abort()

    async def serve(self, reader, writer):
        connection = Connection(reader, writer)
        if self.region_of:
            info = writer.get_extra_info
            connection.region = self.region_of(info("peername")[1], info("sockname"))
        connection.is_mute = self.is_apart(connection) or self.is_dark
        self.connections.add(connection)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                if connection.is_mute and not self.is_apart(connection) and not self.is_dark:
                    # A host that has started again knows nothing of the channel.
                    break
                if self.is_apart(connection) or connection.is_mute:
                    connection.is_mute = True
                    continue
                # Where the caller is, for handlers that judge by it.
                headers["caller-region"] = connection.region
                path, _, query = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                answer = (503, None) if self.is_busy else None
                answer = answer or await self.handler(method, path, query, headers, body)
                if self.is_busy and method == "GET":
                    # A watch that waited is turned away as well.
                    answer = (503, None)
                if self.is_apart(connection) or connection.is_mute or answer is None:
                    connection.is_mute = True
                    continue
                status, content = answer
                data = b"" if content is None else json.dumps(content).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, TimeoutError):
            pass
        except asyncio.CancelledError:
            # The case is over.
            pass
        finally:
            self.connections.discard(connection)
            writer.transport.abort()


async def call(address, method, path, body=None, headers=None, timeout=3.0):
    """Makes one call on a channel of its own. Returns the status and the
    decoded body, or None without a whole answer."""
    host, port = address.split(":")

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", "Connection: close"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            lines += ["Content-Type: application/json", f"Content-Length: {len(data)}"]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            status = int(head[0].split(" ")[1])
            length = 0
            for line in head[1:]:
                if line.lower().startswith("content-length:"):
                    length = int(line.split(":")[1])
            content = await reader.readexactly(length)
            return status, (json.loads(content) if content else None)
        finally:
            writer.transport.abort()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None


# --- The store ------------------------------------------------------------


class Store:
    """The platform's metadata store, linearizable, with its whole history."""

    def __init__(self):
        self.items = {}
        self.revision = 1
        self.history = []
        self.changed = asyncio.Event()
        self.server = HttpServer(self.handle)

    def put(self, key, value):
        self.revision += 1
        created = self.items[key]["Created"] if key in self.items else self.revision
        item = {
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "Revision": self.revision,
            "Created": created,
            "Lease": 0,
        }
        self.items[key] = item
        self.note(item)

    def delete(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.note({"Key": key, "Revision": self.revision, "Deleted": True})

    def note(self, event):
        self.history.append(event)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def events(self, prefix, after):
        newer = (it for it in self.history if after < it["Revision"])
        return [it for it in newer if it["Key"].startswith(prefix)]

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(STORE_ANSWER_S)
        if path == "/kv-key":
            item = self.items.get(query["Key"])
            if item is None:
                return 404, {"StoreRevision": self.revision}
            return 200, {**item, "StoreRevision": self.revision}
        if path == "/kv-range":
            keys = sorted(it for it in self.items if it.startswith(query["Prefix"]))
            keys = [it for it in keys if query.get("After", "") < it]
            items = [self.items[it] for it in keys[:500]]
            return 200, {
                "items": items,
                "HasMore": 500 < len(keys),
                "StoreRevision": self.revision,
            }
        if path == "/kv-watch":
            prefix, after = query["Prefix"], int(query["After"])
            until = time.monotonic() + int(query["WaitMs"]) / 1000
            while not self.events(prefix, after) and time.monotonic() < until:
                try:
                    left = max(0.001, until - time.monotonic())
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            return 200, {"events": self.events(prefix, after), "StoreRevision": self.revision}
        if path == "/kv-txn":
            return self.write(json.loads(body))
        return 404, None

    def write(self, txn):
        expect = txn.get("Expect", [])
        sets = txn.get("SetKeys", [])
        removes = txn.get("Remove", [])
        if 32 < len(expect) + len(sets) + len(removes):
            return 400, None
        written = [it["Key"] for it in sets] + list(removes)
        if any(it.startswith(("op/", "servers/")) for it in written):
            return 403, None
        current = {it["Key"]: self.items.get(it["Key"]) for it in expect}
        for it in expect:
            item = current[it["Key"]]
            if (item["Revision"] if item else 0) != it["Revision"]:
                return 412, {"items": [x for x in current.values() if x]}
        for it in sets:
            self.put(it["Key"], base64.b64decode(it["Value"]))
        for key in removes:
            self.delete(key)
        return 200, {"Revision": self.revision}


# --- Workers --------------------------------------------------------------


def spec_of(text):
    """The text of a task names its work: `ms=N`, `gang=N`, `saves`, `lasts`."""
    words = text.split(" ")
    named = dict(it.split("=", 1) for it in words if "=" in it)
    return {
        "ms": int(named.get("ms", "500")),
        "gang": int(named.get("gang", "0")),
        "saves": "saves" in words,
        "lasts": "lasts" in words,
    }


class Run:
    def __init__(self, task, number, text, checkpoint, worker):
        self.task = task
        self.number = number
        self.spec = spec_of(text)
        self.checkpoint = checkpoint
        self.worker = worker
        self.started = time.monotonic()
        # When it began to work; a member of a gang waits for the others.
        self.working_since = None if self.spec["gang"] else self.started
        self.ended = None
        self.how = None
        # Whether and when its end was taken note of.
        self.is_noted = False
        self.noted = None
        self.lapsed_before_noted = False
        # Where the process is that gave the order, if that is known.
        self.caller_region = None

    def base_ms(self):
        return int(self.checkpoint[:8], 16) if self.checkpoint else 0

    def progress_ms(self):
        if self.working_since is None:
            return self.base_ms()
        worked = (time.monotonic() - self.working_since) * 1000
        worked -= RESTORE_MS if self.checkpoint else 0
        return self.base_ms() + max(0, int(worked))

    def saved(self):
        """The newest checkpoint; a gang has one progress, so its members have
        the same at the same time."""
        done = self.progress_ms() // CHECKPOINT_INTERVAL_MS * CHECKPOINT_INTERVAL_MS
        if not self.spec["saves"] or done <= 0 or done == self.base_ms():
            return self.checkpoint
        owner = self.task.rsplit(".", 1)[0] if self.spec["gang"] else self.task
        return "%08x%08x" % (done, sum(owner.encode()) & 0xFFFFFFFF)

    def percent(self):
        if self.spec["lasts"]:
            return 100 if 0.3 < time.monotonic() - self.started else 0
        return min(99, self.progress_ms() * 100 // max(1, self.spec["ms"]))


class Fleet:
    """All workers, and the runs of all of them."""

    def __init__(self, record, store):
        self.record = record
        self.store = store
        self.workers = []
        self.runs = []
        self.broken_rules = []
        self.is_closing = False
        # Whether the record of a run's start is cut to what tells the run, in
        # cases with thousands of them.
        self.is_brief = False

    def breaks(self, rule, text):
        self.broken_rules.append((rule, text))
        self.record("rule broken", rule=rule, text=text)

    def check_start(self, run):
        others = []
        for worker in self.workers:
            # Its lease may have lapsed, or its work may have ended, just now.
            worker.advance()
            it = worker.running.get(run.task)
            if it is not None and it is not run and worker.is_up:
                others.append(it)
        for it in others:
            self.breaks(
                "TWICE",
                f"{run.task}: run {run.number} starts on {run.worker.id} while run"
                f" {it.number} works on {it.worker.id}",
            )

    def starts_after_done(self):
        """Returns starts after a run has ended `done`, with that run, if that end
        was taken note of and the worker's lease had not lapsed between the two."""
        by_task = {}
        for it in self.runs:
            by_task.setdefault(it.task, []).append(it)
        starts = []
        for run in self.runs:
            if run.how == "done" and run.is_noted and not run.lapsed_before_noted:
                starts += [(run, it) for it in by_task[run.task] if run.ended < it.started]
        return starts

    def check_ends(self):
        for run, it in self.starts_after_done():
            self.breaks(
                "TWICE",
                f"{run.task}: run {it.number} starts on {it.worker.id} after run"
                f" {run.number} has ended done on {run.worker.id}; its end was noted"
                f" {run.noted - run.ended:.3f} s after it",
            )

    async def run(self):
        while not self.is_closing:
            for worker in self.workers:
                worker.advance()
            self.advance_gangs()
            await asyncio.sleep(TICK_S)

    def advance_gangs(self):
        gangs = {}
        for it in (run for worker in self.workers for run in worker.running.values()):
            if it.spec["gang"]:
                gangs.setdefault((it.task.rsplit(".", 1)[0], it.number), []).append(it)
        now = time.monotonic()
        for (step, number), members in gangs.items():
            count = members[0].spec["gang"]
            if members[0].working_since is None:
                # All tasks of one run are present, and all carry the same value.
                values = {it.checkpoint for it in members}
                if len(members) == count and len(values) == 1:
                    for it in members:
                        it.working_since = now
                    self.record("gang works", step=step, run=number)
                    continue
                for it in members:
                    if GANG_TIMEOUT_MS <= (now - it.started) * 1000:
                        it.worker.end(it, "alone")
            elif len(members) < count:
                for it in members:
                    it.worker.end(it, "broken")
            elif members[0].spec["ms"] <= members[0].progress_ms():
                for it in members:
                    it.worker.end(it, "done")


class Worker:
    """A worker under one id, and the life that it is in."""

    def __init__(self, fleet, number, ip):
        self.fleet = fleet
        self.id = f"i-{number:08x}"
        self.machine = f"m-{number:05x}"
        self.rack = f"r1-{number % 3}"
        self.zone = "north"
        self.service = SERVICE
        self.ip = ip
        self.server = HttpServer(self.handle)
        self.address = None
        self.last_born = 0
        self.is_up = False
        # Calls for its lists that it has received.
        self.holds = 0
        # Whether its entries do not reach the store.
        self.is_unheard = False
        fleet.workers.append(self)

    def begin_life(self):
        self.last_born = max(self.last_born + 1, int(time.time() * 1000))
        self.born = self.last_born
        self.began = time.monotonic()
        self.fence = 0
        self.lease_until = 0
        self.running = {}
        self.ends = []
        self.next_end = 1
        self.refused_through = {}
        self.seq = 0
        self.event = asyncio.Event()
        self.is_up = True
        self.server.is_dark = False
        self.fleet.record("worker begins", worker=self.id, born=self.born)

    async def start(self):
        self.begin_life()
        await self.server.start(self.ip)
        self.address = self.server.address
        asyncio.ensure_future(self.write_entries())

    async def write_entries(self):
        key = f"servers/{self.id}"
        silent_since = time.monotonic()
        while not self.fleet.is_closing:
            if self.is_up and not self.server.is_cut and not self.is_unheard:
                silent_since = time.monotonic()
                self.seq += 1
                entry = {
                    "Service": self.service,
                    "Address": self.address,
                    "Zone": self.zone,
                    "Version": "v1",
                    "Slots": 8,
                    "State": "ready",
                    "ColdLeftMs": 0,
                    "Capacity": {"Cpu": 32000, "MemMb": 128000, "Gpu": 0},
                    "Labels": ["a", self.rack],
                    "Machine": self.machine,
                    "ClockMs": self.clock(),
                    "Seq": self.seq,
                    "born": self.born,
                }
                self.fleet.store.put(key, json.dumps(entry).encode())
                born = self.born
                for _ in range(HEARTBEAT_MS // 50):
                    await asyncio.sleep(0.05)
                    if born != self.born:
                        break
            else:
                if 3 * HEARTBEAT_MS / 1000 < time.monotonic() - silent_since:
                    self.fleet.store.delete(key)
                await asyncio.sleep(0.05)

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    def end(self, run, how):
        self.running.pop(run.task, None)
        run.ended = time.monotonic()
        run.how = how
        saved = run.saved()
        self.refused_through[run.task] = max(
            self.refused_through.get(run.task, 0), run.number
        )
        self.ends.append((self.next_end, run, how, saved))
        self.next_end += 1
        self.event.set()
        self.fleet.record(
            "run ends", task=run.task, run=run.number, worker=self.id, how=how, saved=saved
        )

    def advance(self):
        if not self.is_up:
            return
        if self.lease_until <= self.clock():
            for run in list(self.running.values()):
                self.end(run, "lapsed")
            for _, run, _, _ in self.ends:
                run.lapsed_before_noted |= not run.is_noted
        for run in list(self.running.values()):
            if run.spec["gang"] or run.spec["lasts"]:
                continue
            if run.spec["ms"] <= run.progress_ms():
                self.end(run, "done")

    def crash(self, is_dark=False):
        """The worker crashes: everything on it is gone. If its host has no
        power, its channels hang; otherwise they are reset."""
        self.is_up = False
        if is_dark:
            self.server.is_dark = True
            self.server.mute()
        else:
            self.server.reset()
        self.fleet.record("worker crashes", worker=self.id)
        for run in self.running.values():
            run.ended, run.how = time.monotonic(), "lost"
        self.running = {}

    def extend(self, end_by):
        if end_by:
            end_by = min(end_by, self.clock() + HOLD_MAX_MS)
            self.lease_until = max(self.lease_until, end_by)

    async def handle(self, method, path, query, headers, body):
        if not self.is_up:
            return None
        born = self.born
        expected = headers.get("x-expected-instance")
        if expected is not None and expected != self.id:
            return 421, None
        handlers = {
            "/run-start": self.run_start,
            "/run-stop": self.run_stop,
            "/hold": self.hold,
            "/pace": self.pace,
        }
        if method != "POST" or path not in handlers:
            return 404, None
        answer = await handlers[path](json.loads(body))
        if path == "/run-start" and body and self.running:
            run = self.running.get(json.loads(body)["Task"])
            if run and run.caller_region is None:
                run.caller_region = headers["caller-region"]
        # A life that has ended answers nothing.
        return answer if self.is_up and self.born == born else None

    def said(self, **fields):
        return {"ClockMs": self.clock(), "born": self.born, **fields}

    def fenced(self, body):
        token = body.get("FencingToken", 0)
        if token < self.fence:
            return 409, self.said(Reason="fence")
        self.fence = token
        return None

    async def run_start(self, body):
        refusal = self.fenced(body)
        if refusal:
            return refusal
        task, number = body["Task"], body["Run"]
        self.advance()
        clock = self.clock()
        self.extend(body.get("EndByMs", 0))
        current = self.running.get(task)
        if current and current.number == number:
            return 200, self.said()
        if number <= self.refused_through.get(task, 0):
            return 409, self.said(Reason="old")
        if body.get("EndByMs", 0) <= clock:
            return 409, self.said(Reason="late")
        if current:
            self.end(current, "stopped")
        run = Run(task, number, body["TaskSpec"], body.get("Checkpoint", ""), self)
        self.running[task] = run
        self.fleet.runs.append(run)
        details = {
            "born": self.born,
            "checkpoint": run.checkpoint,
            "token": body.get("FencingToken"),
            "lease_ms": self.lease_until - clock,
            "end_by_ms": body.get("EndByMs", 0),
            "clock_ms": clock,
        }
        self.fleet.record(
            "run starts",
            task=task,
            run=number,
            worker=self.id,
            **({} if self.fleet.is_brief else details),
        )
        self.fleet.check_start(run)
        return 200, self.said()

    async def run_stop(self, body):
        refusal = self.fenced(body)
        if refusal:
            return refusal
        task, number = body["Task"], body["Run"]
        self.refused_through[task] = max(self.refused_through.get(task, 0), number)
        run = self.running.get(task)
        if run and run.number <= number:
            self.end(run, "stopped")
        return 200, self.said()

    async def pace(self, body):
        return self.fenced(body) or (200, self.said())

    async def hold(self, body):
        self.holds += 1
        refusal = self.fenced(body)
        if refusal:
            return refusal
        self.advance()
        self.extend(body.get("EndByMs", 0))
        seen = body.get("LastSeen", 0)
        for it in self.ends:
            if it[0] <= seen:
                it[1].is_noted = True
                it[1].noted = time.monotonic()
        self.ends = [it for it in self.ends if seen < it[0]]
        until = time.monotonic() + min(2000, body.get("WaitMs", 0)) / 1000
        born = self.born
        while not self.ends and self.is_up and self.born == born:
            left = until - time.monotonic()
            if left <= 0:
                break
            self.event.clear()
            try:
                await asyncio.wait_for(self.event.wait(), min(left, 0.05))
            except asyncio.TimeoutError:
                pass
        rows = [
            [it.task, it.number, it.saved(), it.percent(), 0] for it in self.running.values()
        ]
        ends = [[n, run.task, run.number, how, saved] for n, run, how, saved in self.ends[:500]]
        return 200, self.said(Running=rows, EndedRuns=ends)


# --- The project's own processes ------------------------------------------


class Node:
    """A machine of the system with the process of the deploy file."""

    def __init__(self, system, name, ip):
        self.system = system
        self.name = name
        self.ip = ip
        self.process = None
        self.settings = os.path.join(system.dir, f"{name}.conf")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(system.settings(self))

    @property
    def front(self):
        return f"{self.ip}:8161"

    async def start(self):
        log = open(os.path.join(self.system.dir, f"{self.name}.log"), "ab")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["MUSTARDCOVE_NODE_FILE"] = self.settings
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, cwd=ROOT, env=env, stdout=log, stderr=log
        )
        log.close()
        self.system.record("process starts", node=self.name, ip=self.ip)

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)
            self.system.record("signal", node=self.name, signal=signal.Signals(number).name)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def terminate(self, grace_s=6.0):
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), grace_s)
        except asyncio.TimeoutError:
            await self.kill()

    async def is_ready(self):
        answer = await call(f"{self.ip}:8167", "GET", "/readiness", timeout=0.5)
        return answer is not None and answer[0] == 200


class System:
    """A small deployment with its platform."""

    def __init__(self, folder):
        self.folder = folder
        self.record = Record(os.path.join(folder, "record.txt"))
        self.dir = tempfile.mkdtemp(prefix="mustardcove-review-")
        self.store = Store()
        self.fleet = Fleet(self.record, self.store)
        self.nodes = []
        self.random = random.Random(1)
        # A part of the loopback network that hardly anyone else uses.
        self.net = f"127.{random.randrange(60, 250)}.{random.randrange(1, 250)}"
        self.next_ip = 1

    def ip(self):
        self.next_ip += 1
        return f"{self.net}.{self.next_ip}"

    def settings(self, node):
        lines = {
            "NodeName": node.name,
            "Role": "node",
            "MachineClass": "front",
            "ServedRoles": "front",
            "Ip": node.ip,
            "Zone": "north",
            "Region": "inland",
            "Zones.north": "inland",
            "ListenAddrs.Front": node.front,
            "ListenAddrs.Readiness": f"{node.ip}:8167",
            "PortRange": "7720,7735",
            "Seeds": "",
            "Bootstrap": "false",
            "Limits.CpuShare": "0.25",
            "Limits.CpuCores": "1",
            "Limits.MemoryMb": "260",
            "Limits.MaxFds": "4100",
            "Limits.LinkMbps": "1000.0",
            "Discovery": "platform",
            "HeartbeatMs": HEARTBEAT_MS,
            "PolicyBounds.HoldMaxMs": HOLD_MAX_MS,
            "PolicyBounds.StopGraceMs": STOP_GRACE_MS,
            "PolicyBounds.GangTimeoutMs": GANG_TIMEOUT_MS,
            "Orders": "push",
            "platform.Address": self.store.server.address,
            "platform.form": "kv",
            "platform.WritesPerS": 400,
            "platform.ReadsPerS": 2000,
            "platform.RetentionS": 20,
            "platform.ValueBytes": 1048576,
            "platform.MinTtlMs": 1000,
        }
        return "".join(f"{name}={value}\n" for name, value in lines.items())

    def put_manifest(self, service=SERVICE):
        route = {
            "Name": "r-1",
            "Hostname": HOST,
            "Prefix": "/bind/",
            "RouteType": "unsafe",
            "TimeoutMs": 3000,
            "TargetLatencyMs": 1000,
            "Priority": 0,
            "Service": service,
            "Attempts": 3,
            "Stretch": 2.0,
        }
        manifest = {
            "Version": self.store.revision + 1,
            "Routes": [route],
            "Services": [
                {
                    "Name": name,
                    "HealthPath": "/health",
                    "MaxConns": 64,
                    "RejectsOverload": True,
                    "Standby": False,
                }
                for name in sorted({SERVICE, service} | {it.service for it in self.fleet.workers})
            ],
            "Limits": {"MaxBodyBytes": 262144},
        }
        self.store.put("op/config", json.dumps(manifest).encode())
        self.record("manifest", version=manifest["Version"], service=service)

    async def start(self, nodes, workers):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("target/release/mustardcove-node is not built")
        await self.store.server.start(self.ip())
        self.put_manifest()
        for i in range(workers):
            await Worker(self.fleet, i + 1, self.ip()).start()
        self.fleet_task = asyncio.ensure_future(self.fleet.run())
        for i in range(nodes):
            await self.add_node(f"front-{i + 1}")
        await self.wait_ready(self.nodes)
        await asyncio.sleep(3.0)

    async def add_node(self, name):
        node = Node(self, name, self.ip())
        self.nodes.append(node)
        await node.start()
        return node

    async def wait_ready(self, nodes, timeout=20.0):
        until = time.monotonic() + timeout
        for it in nodes:
            while not await it.is_ready():
                if until < time.monotonic():
                    raise CannotRun(f"{it.name} is not ready")
                await asyncio.sleep(0.1)

    def leader_name(self):
        """The name of the machine that wrote `work/leader` last: the one that
        last wrote to the store under a condition of leading."""
        item = self.store.items.get("work/leader")
        value = base64.b64decode(item["Value"]) if item else b""
        for it in self.nodes:
            if it.name.encode() + b"." in value:
                return it.name
        return None

    def leader(self):
        name = self.leader_name()
        return next((it for it in self.nodes if it.name == name), None)

    async def request(self, method, id, body=None, prefix="/bind/", tries=5, nodes=None):
        """A requester's call, which goes to another node without an answer."""
        alive = nodes or [it for it in self.nodes if it.process.returncode is None]
        answer = None
        for _ in range(tries):
            node = self.random.choice(alive)
            sent = self.record.now()
            answer = await call(
                node.front, method, prefix + id, body, {"X-Deadline-Ms": "3000"}
            )
            status, content = answer or (None, None)
            self.record(
                "request",
                method=method,
                path=prefix + id,
                node=node.name,
                sent=round(sent, 3),
                status=status,
                answer=content,
            )
            if status in (200, 404, 410):
                return answer
            await asyncio.sleep(0.3)
        return answer

    async def submit(self, id, steps, text, **fields):
        body = {"TaskSpec": text, "Steps": steps, **fields}
        answer = await self.request("POST", id, body)
        if not answer or answer[0] != 200:
            raise CannotRun(f"submission {id} is not accepted: {answer}")

    async def state(self, id):
        answer = await self.request("GET", id)
        return answer[1]["State"] if answer and answer[0] == 200 else answer and answer[0]

    async def close(self):
        self.fleet.is_closing = True
        for it in self.nodes:
            if it.process and it.process.returncode is None:
                it.signal(signal.SIGKILL)
        for it in self.nodes:
            if it.process:
                await it.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self.dir)
            return
        for name in os.listdir(self.dir):
            os.unlink(os.path.join(self.dir, name))
        os.rmdir(self.dir)


def play(script, case, limit_s=115, kind=None):
    """Plays a case and exits with 1 if the rule was broken, 0 if it held and 2
    if the case could not run."""
    folder = os.path.dirname(os.path.abspath(script))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        # The processes are ended also if the script is told to stop.
        stop = asyncio.current_task().cancel
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop)
        system = None
        try:
            system = (kind or System)(folder)
            await asyncio.wait_for(case(system, has_trouble), limit_s)
            system.fleet.check_ends()
            broken = system.fleet.broken_rules
            system.record("verdict", broken=len(broken), trouble=has_trouble)
            print(f"trouble={has_trouble}: {len(broken)} breaks", *broken[:5], sep="\n  ")
            return 1 if broken else 0
        except (Exception, asyncio.CancelledError) as error:
            # Whatever goes wrong in a script says nothing about the rule.
            if system:
                system.record("cannot run", why=repr(error))
            print(f"cannot run: {error!r}")
            return 2
        finally:
            if system:
                await system.close()

    sys.exit(asyncio.run(main()))
