"""Stand-ins for a small deployment, on loopback addresses and the real clock.

The store, the workers and the callers speak what the users' PROTOCOL.md says.
The nodes are the project's own programs, started with the command of
deploy/system.toml. Only Python's standard library is used.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

REPO = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SERVICE = "press"
HOST = "bind.example"
PREFIX = "/bind/"

# Bounds of the users' site (PolicyBounds), in milliseconds.
HOLD_MAX_MS = 10_000
GANG_TIMEOUT_MS = 3_000
CHECKPOINT_INTERVAL_MS = 500
RESTORE_MS = 600
STOP_MS = 100  # a stop takes at most StopGraceMs = 400
CONTACT_MS = 4_000
HEARTBEAT_MS = 1_500
MAX_ENDS = 500  # ends that a worker lists at a time
PAGE_ITEMS = 500


def now_ms():
    return int(time.monotonic() * 1000)


class Silent(Exception):
    """The call gets no answer."""


class Reset(Exception):
    """The channel is reset."""


class HttpServer:
    """An HTTP/1.1 server whose handler returns a status and a JSON value."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.address = None
        self.writers = set()

    async def start(self, ip, port=0):
        self.server = await asyncio.start_server(self.connection, ip, port, backlog=1024)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def stop(self):
        """Ends the listener and resets every channel, as a crash does."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line = await reader.readline()
                if not line:
                    return
                method, target, _ = line.decode().split()
                headers = {}
                while True:
                    line = await reader.readline()
                    if line in (b"\r\n", b""):
                        break
                    name, value = line.decode().split(":", 1)
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                headers["peer-port"] = writer.get_extra_info("peername")[1]
                status, value = await self.handler(method, target, headers, body)
                data = json.dumps(value).encode()
                head = f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except Silent:
            try:
                await reader.read()  # the channel returns nothing further
            except OSError:
                pass
        except Reset:
            writer.transport.abort()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's store. `down` is None, "busy", "reset" or "silent"."""

    def __init__(self, world):
        self.world = world
        self.items = {}
        self.revision = 0
        self.history = []
        self.changed = asyncio.Event()
        self.down = None
        self.window = [0, 0, 0]
        self.servers = {}  # the listener of each machine
        self.turned_away = set()  # machines that get no answer
        self.leader = None  # the machine that wrote the leader record last

    async def serve(self, machine):
        """Returns an address of the store for one machine."""
        async def handle(method, target, headers, body):
            if machine in self.turned_away:
                raise Silent
            answer = await self.handle(method, target, headers, body)
            if machine in self.turned_away:
                raise Silent
            if target == "/kv-txn" and answer[0] == 200 and b'"work/leader"' in body.split(b'"SetKeys"')[-1]:
                self.leader = machine
            return answer
        self.servers[machine] = HttpServer(handle)
        await self.servers[machine].start(self.world.ip)
        return self.servers[machine].address

    def put(self, key, value):
        """Writes a value as the operator and the workers do."""
        self.revision += 1
        self.set(key, base64.b64encode(value).decode(), 0)
        self.notify()

    def delete(self, key):
        self.revision += 1
        if self.items.pop(key, None):
            self.history.append((now_ms(), {"Key": key, "Revision": self.revision, "Deleted": True}))
        self.notify()

    def set(self, key, value, lease):
        created = self.items[key]["Created"] if key in self.items else self.revision
        item = {"Key": key, "Value": value, "Revision": self.revision, "Created": created, "Lease": lease}
        self.items[key] = item
        self.history.append((now_ms(), item))

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def check_rate(self, write):
        second = now_ms() // 1000
        if self.window[0] != second:
            self.window = [second, 0, 0]
        self.window[1 + write] += 1
        return self.window[1 + write] <= (400 if write else 2_000)

    def check_down(self):
        if self.down == "silent":
            raise Silent
        if self.down == "reset":
            raise Reset
        return self.down == "busy"

    async def handle(self, method, target, headers, body):
        if self.check_down():
            return 503, {}
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if not self.check_rate(url.path == "/kv-txn"):
            return 429, {}
        await asyncio.sleep(0.004)
        if url.path == "/kv-key":
            item = self.items.get(query["Key"])
            return (200, {**item, "StoreRevision": self.revision}) if item else (404, {})
        if url.path == "/kv-range":
            return 200, self.range(query["Prefix"], query.get("After", ""))
        if url.path == "/kv-watch":
            return await self.watch(query["Prefix"], int(query["After"]), int(query["WaitMs"]))
        if url.path == "/kv-txn":
            return self.txn(json.loads(body))
        return 404, {}

    def range(self, prefix, after):
        keys = sorted(it for it in self.items if it.startswith(prefix) and after < it)
        items, size = [], 0
        for key in keys:
            size += len(self.items[key]["Value"])
            if len(items) == PAGE_ITEMS or (items and 1_000_000 < size):
                break
            items.append(self.items[key])
        return {"items": items, "HasMore": len(items) < len(keys), "StoreRevision": self.revision}

    async def watch(self, prefix, after, wait_ms):
        until = now_ms() + wait_ms
        while True:
            if self.check_down():
                return 503, {}
            events = [it for _, it in self.history if after < it["Revision"] and it["Key"].startswith(prefix)]
            left = until - now_ms()
            if events or left <= 0:
                return 200, {"events": events, "StoreRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 100) / 1000)
            except TimeoutError:
                pass

    def txn(self, txn):
        rows = [*txn.get("Expect", []), *txn.get("SetKeys", []), *txn.get("Remove", [])]
        keys = [it["Key"] for it in txn.get("SetKeys", [])] + txn.get("Remove", [])
        if 32 < len(rows):
            return 400, {}
        if any(it.startswith(("op/", "servers/")) for it in keys):
            return 403, {}
        expected = txn.get("Expect", [])
        revision_of = lambda key: self.items[key]["Revision"] if key in self.items else 0
        if any(revision_of(it["Key"]) != it["Revision"] for it in expected):
            return 412, {"items": [self.items.get(it["Key"], {"Key": it["Key"], "Revision": 0}) for it in expected]}
        self.revision += 1
        for it in txn.get("SetKeys", []):
            self.set(it["Key"], it["Value"], it.get("Lease", 0))
        for key in txn.get("Remove", []):
            if self.items.pop(key, None):
                self.history.append((now_ms(), {"Key": key, "Revision": self.revision, "Deleted": True}))
        self.notify()
        return 200, {"Revision": self.revision}


class Run:
    """A run of a task, as its worker saw it."""

    def __init__(self, worker, task, number, checkpoint):
        self.worker, self.life, self.task, self.number = worker, worker.life, task, number
        self.checkpoint = checkpoint
        self.started_at, self.caller = now_ms(), None
        self.ended_at = self.how = self.end_number = self.taken_at = None
        self.timer = None
        self.lapses = worker.lapses  # when the lease of this life had lapsed

    def is_active(self):
        return self.ended_at is None

    def is_done_and_noted(self):
        """Whether it ended done and that was taken note of, with the lease held between the two."""
        if self.how != "done" or self.taken_at is None:
            return False
        return not any(self.ended_at <= it <= self.taken_at for it in self.lapses)


class Gang:
    """The members of one run of a gang, on all workers."""

    def __init__(self, count):
        self.count, self.members, self.begun_at, self.resumed_ms = count, {}, None, 0
        self.work_ms = 0

    def saved(self):
        """Returns the gang's newest checkpoint."""
        if self.begun_at is None:
            return None
        worked = self.resumed_ms + max(0, now_ms() - self.begun_at)
        steps = worked // CHECKPOINT_INTERVAL_MS
        return f"{steps * CHECKPOINT_INTERVAL_MS:08x}" if steps else ""


class Worker:
    """A worker, with one life after the other."""

    def __init__(self, world, name, zone, rack, cpu, mem_mb):
        self.world, self.name, self.zone, self.rack = world, name, zone, rack
        self.cpu, self.mem_mb, self.life, self.server, self.service = cpu, mem_mb, 0, None, SERVICE

    async def begin(self, same=False):
        """Begins a life, under a new id at a new address or under the id and at the address of the last one."""
        self.life += 1
        port = int(self.server.address.split(":")[1]) if same else 0
        if not same:
            self.id = f"i-{self.name}{self.life}{random.randrange(1 << 24):06x}"
        self.poller = None  # the machine that looked at it last, and when and for how long it asked to wait
        self.asked_at = (0, 0)
        self.born, self.began_at = int(time.time() * 1000), now_ms()
        self.fence = self.lease_until = self.seq = 0
        self.running, self.ended, self.next_end, self.rejected = {}, [], 1, {}
        self.is_up, self.changed, self.lapses = True, asyncio.Event(), []
        self.server = HttpServer(self.handle)
        await self.server.start(self.world.ip, port)
        self.world.note(f"worker {self.name} begins as {self.id} at {self.server.address}")
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.watch_lease())]

    async def crash(self):
        """Ends the life at once, without a word."""
        self.is_up = False
        self.world.note(f"worker {self.id} crashes with {len(self.running)} runs")
        for it in self.tasks:
            it.cancel()
        await self.server.stop()
        for run in list(self.running.values()):
            self.finish(run, "lost")
        expires = 3 * HEARTBEAT_MS / 1000
        asyncio.get_running_loop().call_later(expires, self.expire, self.id, self.life)

    def expire(self, ident, life):
        """Removes the entry of a life after three silent heartbeat intervals."""
        if self.id != ident or (self.life == life and not self.is_up):
            self.world.store.delete(f"servers/{ident}")

    def clock(self):
        return now_ms() - self.began_at

    async def beat(self):
        while True:
            self.seq += 1
            entry = {"Service": self.service, "Address": self.server.address, "Zone": self.zone, "Version": "v1",
                     "Slots": 8, "State": "ready", "ColdLeftMs": 0, "Labels": ["a", self.rack],
                     "Capacity": {"Cpu": self.cpu, "MemMb": self.mem_mb, "Gpu": 0}, "Machine": f"m-{self.name}",
                     "ClockMs": self.clock(), "Seq": self.seq, "born": self.born}
            if self.world.store.down is None:
                self.world.store.put(f"servers/{self.id}", json.dumps(entry).encode())
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.lease_until <= self.clock():
                self.lapses.append(now_ms())
                for run in list(self.running.values()):
                    self.end(run, "lapsed")

    def used(self):
        demands = [self.world.demand(it) for it in self.running]
        return sum(it[0] for it in demands), sum(it[1] for it in demands)

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def extend(self, end_by_ms):
        if end_by_ms is not None:
            self.lease_until = max(self.lease_until, min(end_by_ms, self.clock() + HOLD_MAX_MS))

    async def handle(self, method, target, headers, body):
        call = json.loads(body) if body else {}
        if target == "/health":
            return 200, {}
        expected = headers.get("x-expected-instance")
        if expected is not None and expected != self.id:
            return 421, {}
        token = call.get("FencingToken", 0)
        if token < self.fence:
            return 409, {"ClockMs": self.clock(), "Reason": "fence", "born": self.born}
        self.fence = token
        if target == "/run-start":
            call["Caller"] = self.world.caller(headers["peer-port"])
            return self.start(call)
        if target == "/run-stop":
            return self.stop(call)
        if target == "/hold":
            self.poller = self.world.caller(headers["peer-port"])
            self.asked_at = (now_ms(), call.get("WaitMs", 0))
            return await self.hold(call)
        if target == "/pace":
            return 200, {"ClockMs": self.clock(), "born": self.born}
        return 404, {}

    def answer(self, status, **fields):
        return status, {"ClockMs": self.clock(), "born": self.born, **fields}

    def start(self, call):
        task, number = call["Task"], call["Run"]
        running = self.running.get(task)
        if running and running.number == number:
            self.extend(call.get("EndByMs"))
            return self.answer(200)
        if number <= self.rejected.get(task, 0) or (running and number < running.number):
            self.extend(call.get("EndByMs"))
            return self.answer(409, Reason="old")
        if call.get("EndByMs", 0) <= self.clock():
            return self.answer(409, Reason="late")
        self.extend(call.get("EndByMs"))
        cpu, mem_mb = self.world.demand(task)
        used = self.used()
        if self.cpu < used[0] + cpu or self.mem_mb < used[1] + mem_mb:
            return self.answer(409, Reason="room")
        if running:
            self.end(running, "stopped")
        run = Run(self, task, number, call.get("Checkpoint", ""))
        self.running[task] = run
        self.world.started(run, call)
        if self.world.step(task).get("Gang"):
            self.world.join_gang(run)
        else:
            work_ms = self.world.work_ms(task)
            run.timer = asyncio.get_running_loop().call_later(work_ms / 1000, self.end, run, "done")
        return self.answer(200)

    def stop(self, call):
        task, number = call["Task"], call["Run"]
        self.rejected[task] = max(self.rejected.get(task, 0), number)
        run = self.running.get(task)
        if run and run.number <= number:
            asyncio.get_running_loop().call_later(STOP_MS / 1000, self.end, run, "stopped")
        return self.answer(200)

    def saved(self, run):
        if not self.world.step(run.task).get("SavesProgress"):
            return ""
        gang = self.world.gang_of(run)
        saved = gang.saved() if gang else None
        return run.checkpoint if saved is None else saved

    def end(self, run, how):
        """Ends a run that the worker lists as ended."""
        if not run.is_active() or not self.is_up or run.life != self.life:
            return
        saved = self.saved(run)
        run.end_number = self.next_end
        self.next_end += 1
        self.ended.append([run.end_number, run.task, run.number, how, saved])
        self.rejected[run.task] = max(self.rejected.get(run.task, 0), run.number)
        self.world.ends[(self.id, self.life, run.end_number)] = run
        self.finish(run, how)
        self.notify()

    def finish(self, run, how):
        run.ended_at, run.how = now_ms(), how
        if run.timer:
            run.timer.cancel()
        self.running.pop(run.task, None)
        self.world.note(f"{self.id} {run.task} run {run.number} ended: {how}")
        self.world.leave_gang(run, how)

    async def hold(self, call):
        self.extend(call.get("EndByMs"))
        last_seen = call.get("LastSeen", 0)
        if self.next_end <= last_seen:
            self.world.note(f"{self.id} is told LastSeen {last_seen} by {self.poller}, and has had {self.next_end - 1} ends")
        while self.ended and self.ended[0][0] <= last_seen:
            run = self.world.ends[(self.id, self.life, self.ended.pop(0)[0])]
            run.taken_at = now_ms()
        until, life = now_ms() + min(call.get("WaitMs", 0), 2_000), self.life
        while not self.ended and now_ms() < until and self.is_up and self.life == life:
            try:
                await asyncio.wait_for(self.changed.wait(), (until - now_ms()) / 1000)
            except TimeoutError:
                pass
        if not self.is_up or self.life != life:
            raise Reset
        running = [[it.task, it.number, self.saved(it), self.world.percent(it), 0] for it in self.running.values()]
        return self.answer(200, Running=running, EndedRuns=self.ended[:MAX_ENDS])


class Node:
    """A process of the system on one machine."""

    def __init__(self, world, name, zone, ip):
        self.world, self.name, self.zone, self.ip = world, name, zone, ip
        self.front, self.readiness = free_port(ip), free_port(ip)
        self.first_port = free_ports(ip)
        self.process = None

    def start(self):
        world = self.world
        settings = {
            "NodeName": self.name, "Role": "node", "MachineClass": "front", "ServedRoles": "front",
            "Ip": self.ip, "Zone": self.zone, "Region": world.regions[self.zone],
            "Zones.north": world.regions["north"], "Zones.south": world.regions["south"],
            "ListenAddrs.Front": f"{self.ip}:{self.front}", "ListenAddrs.Readiness": f"{self.ip}:{self.readiness}",
            "PortRange": f"{self.first_port},{self.first_port + 1}", "Seeds": "", "Bootstrap": "true",
            "Limits.CpuShare": "0.5", "Limits.CpuCores": "1", "Limits.MemoryMb": "260", "Limits.MaxFds": "4100",
            "Limits.LinkMbps": "1000.0", "Discovery": "platform", "EntryMode": "vip",
            "HeartbeatMs": str(HEARTBEAT_MS), "Orders": "push", "platform.Address": world.store.servers[self.name].address,
            "platform.form": "kv", "platform.WritesPerS": "400", "platform.ReadsPerS": "2000",
            "platform.RetentionS": "20", "platform.ValueBytes": "1048576", "platform.MinTtlMs": "1000",
        }
        path = os.path.join(world.folder, f"{self.name}.conf")
        with open(path, "w") as f:
            f.writelines(f"{name}={value}\n" for name, value in settings.items())
        env = {it: os.environ[it] for it in ("PATH", "HOME", "LANG") if it in os.environ}
        log = open(os.path.join(world.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen(world.command, cwd=REPO, env={**env, "MUSTARDCOVE_NODE_FILE": path},
                                        stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        world.note(f"process {self.name} starts")

    def signal(self, number):
        self.world.note(f"process {self.name} gets {number.name}")
        self.process.send_signal(number)

    async def request(self, method, path, body=None, deadline_ms=3_000):
        """Sends a caller's request; returns the status and the body, or None."""
        data = json.dumps(body).encode() if body is not None else b""
        head = (f"{method} {path} HTTP/1.1\r\nhost: {HOST}\r\ncontent-type: application/json\r\n"
                f"x-deadline-ms: {deadline_ms}\r\nconnection: close\r\ncontent-length: {len(data)}\r\n\r\n")
        try:
            return await asyncio.wait_for(self.exchange(head.encode() + data), deadline_ms / 1000)
        except (OSError, TimeoutError, ValueError, IndexError):
            return None

    async def exchange(self, data):
        reader, writer = await asyncio.open_connection(self.ip, self.front)
        try:
            writer.write(data)
            answer = await reader.read()
        finally:
            writer.close()
        head, _, body = answer.partition(b"\r\n\r\n")
        return int(head.split()[1]), json.loads(body) if body else {}


def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


def free_ports(ip):
    """Returns the first of two free ports in a row."""
    while True:
        first = free_port(ip)
        try:
            with socket.socket() as s:
                s.bind((ip, first + 1))
                return first
        except OSError:
            pass


class World:
    """The deployment, and the record of what was sent, answered and run."""

    def __init__(self, case):
        self.case, self.began_at = case, now_ms()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.ip = f"127.{random.randrange(16, 240)}.{random.randrange(1, 250)}.1"
        self.lines, self.runs, self.ends = [], [], {}
        self.submissions, self.gangs = {}, {}
        self.nodes, self.workers, self.callers = [], [], {}
        self.regions = {"north": "home", "south": "home"}
        self.store = Store(self)
        with open(os.path.join(REPO, "deploy/system.toml"), "rb") as f:
            roles = tomllib.load(f)["roles"]
        self.command = roles["node"]["run"].split()

    def note(self, text):
        self.lines.append(f"{(now_ms() - self.began_at) / 1000:8.3f} {text}")

    def put_manifest(self, version, service=SERVICE, services=(SERVICE,), attempts=3):
        """Writes a manifest whose one queue is sent to a service."""
        manifest = {
            "Version": version,
            "Routes": [{"Name": "bind", "Hostname": HOST, "Prefix": PREFIX, "RouteType": "unsafe", "TimeoutMs": 3000,
                        "TargetLatencyMs": 1000, "Priority": 0, "Service": service, "Attempts": attempts,
                        "Stretch": 2.0}],
            "Services": [{"Name": it, "HealthPath": "/health", "MaxConns": 64, "Protocol": "h1",
                          "TlsEnabled": False, "RejectsOverload": True, "Standby": False} for it in services],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000}}
        self.store.put("op/config", json.dumps(manifest).encode())
        self.note(f"manifest {version} sends the queue to {service}")

    async def start(self, nodes, workers, cpu=32_000, mem_mb=128_000, services=(SERVICE,)):
        """Starts the deployment; workers take the services in turn."""
        self.put_manifest(1, services=services)
        for i in range(workers):
            worker = Worker(self, "abcdefgh"[i], ["north", "south"][i % 2], f"r-{i // 8}", cpu, mem_mb)
            worker.service = services[i % len(services)]
            await worker.begin()
            self.workers.append(worker)
        base = self.ip.rsplit(".", 1)[0]
        for i in range(nodes):
            node = Node(self, f"front-{i + 1}", ["north", "south"][i % 2], f"{base}.{10 + i}")
            await self.store.serve(node.name)
            node.start()
            self.nodes.append(node)
        until = now_ms() + 20_000
        while now_ms() < until:
            await asyncio.sleep(0.2)
            answers = [await it.request("GET", PREFIX) for it in self.nodes]
            if all(it is not None and it[0] == 200 for it in answers):
                await asyncio.sleep(5.0)  # the workers are found and recorded
                return
        raise RuntimeError("the system did not become ready")

    async def submit(self, body, tries=5, nodes=None):
        """Submits until a node accepts; returns the id, or None."""
        ident = f"{random.getrandbits(64):016x}"
        self.submissions[ident] = body
        for _ in range(tries):
            node = random.choice(nodes or self.nodes)
            answer = await node.request("POST", PREFIX + ident, body)
            status = answer[0] if answer else None
            self.note(f"POST {ident} at {node.name}: {status}")
            if status is not None and 200 <= status < 300:
                return ident
            await asyncio.sleep(0.3)
        return None

    async def state(self, ident):
        """Asks for a submission's state; None without an answer."""
        node = random.choice(self.nodes)
        answer = await node.request("GET", PREFIX + ident)
        status, body = answer if answer else (None, {})
        self.note(f"GET {ident} at {node.name}: {status} {body.get('State')}")
        return body.get("State") if status == 200 else status

    def caller(self, port):
        """Returns the machine whose process owns a local port; on real machines its address shows that."""
        if port not in self.callers:
            with open("/proc/net/tcp") as f:
                rows = [it.split() for it in f.readlines()[1:]]
            inodes = {f"socket:[{it[9]}]" for it in rows if int(it[1].split(":")[1], 16) == port}
            for node in self.nodes:
                folder = f"/proc/{node.process.pid}/fd"
                for fd in os.listdir(folder) if os.path.exists(folder) else []:
                    try:
                        if os.readlink(f"{folder}/{fd}") in inodes:
                            self.callers[port] = node.name
                    except OSError:
                        pass
        return self.callers.get(port)

    def step(self, task):
        ident, _, step, _ = task.split(".")
        return self.submissions[ident]["Steps"][int(step)]

    def demand(self, task):
        step = self.step(task)
        return step.get("Cpu", 0), step.get("MemMb", 0)

    def work_ms(self, task):
        spec = self.submissions[task.split(".")[0]]["TaskSpec"]
        return int(spec.split("ms=")[1].split()[0])

    def percent(self, run):
        gang = self.gang_of(run)
        if gang:
            worked = 0 if gang.begun_at is None else gang.resumed_ms + max(0, now_ms() - gang.begun_at)
            return min(99, worked * 100 // max(1, gang.work_ms))
        return min(99, (now_ms() - run.started_at) * 100 // max(1, self.work_ms(run.task)))

    def started(self, run, call):
        extra = f" checkpoint {run.checkpoint!r}" if run.checkpoint else ""
        run.caller = call["Caller"]
        self.note(f"{run.worker.id} {run.task} run {run.number} started by {run.caller}, "
                  f"token {call['FencingToken']}{extra}")
        spec = self.submissions[run.task.split(".")[0]]["TaskSpec"]
        if call["TaskSpec"] != spec:
            self.note(f"{run.task} was started with another TaskSpec")
        self.runs.append(run)

    # Gangs: the members of one run work once all of them are present, and can
    # only go on from one and the same checkpoint.

    def gang_key(self, run):
        return run.task.rsplit(".", 1)[0], run.number

    def gang_of(self, run):
        return self.gangs.get(self.gang_key(run))

    def join_gang(self, run):
        count = self.step(run.task)["Count"]
        gang = self.gangs.setdefault(self.gang_key(run), Gang(count))
        gang.members[run.task] = run
        gang.work_ms = self.work_ms(run.task)
        loop = asyncio.get_running_loop()
        checkpoints = {it.checkpoint for it in gang.members.values()}
        if len(gang.members) == count and len(checkpoints) == 1:
            self.begin_gang(gang, checkpoints.pop())
        else:
            run.timer = loop.call_later(GANG_TIMEOUT_MS / 1000, run.worker.end, run, "alone")

    def begin_gang(self, gang, checkpoint):
        loop = asyncio.get_running_loop()
        gang.resumed_ms = int(checkpoint, 16) if checkpoint else 0
        restore_ms = RESTORE_MS if checkpoint else 0
        gang.begun_at = now_ms() + restore_ms
        left_ms = restore_ms + max(0, gang.work_ms - gang.resumed_ms)
        for run in gang.members.values():
            if run.timer:
                run.timer.cancel()
            run.timer = loop.call_later(left_ms / 1000, run.worker.end, run, "done")
        self.note(f"gang of {len(gang.members)} works from {gang.resumed_ms} ms on")

    def leave_gang(self, run, how):
        gang = self.gang_of(run)
        if gang is None or how in ("done", "broken", "alone"):
            return
        for other in gang.members.values():
            if other.is_active():
                other.worker.end(other, "broken")

    def find_twice(self):
        """Returns the violations of TWICE."""
        by_task, found = {}, []
        for run in self.runs:
            earlier = by_task.setdefault(run.task, [])
            beside = [it for it in earlier if it.ended_at is None or run.started_at < it.ended_at]
            done = [it for it in earlier if it not in beside and it.is_done_and_noted()]
            start = f"{run.started_at / 1000 - self.began_at / 1000:.3f} {run.task}: run {run.number} starts"
            if beside:
                found.append(f"{start} beside run {beside[0].number}")
            elif done:
                found.append(f"{start} {run.started_at - done[0].ended_at} ms after run {done[0].number} had ended "
                             f"done, which was taken note of {done[0].taken_at - done[0].ended_at} ms after the end")
            earlier.append(run)
        return found

    def close(self, verdict, violations):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        self.lines.append(f"trouble: {self.trouble}; {len(self.runs)} runs; violations: {len(violations)}")
        self.lines.extend(violations)
        self.lines.append(f"exit {verdict}")
        with open(os.path.join(self.case, "record.txt"), "w") as f:
            f.write("\n".join(self.lines) + "\n")
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def play(scenario, case):
    """Plays a scenario, which returns the violations, and exits with the verdict."""
    world = World(case)
    violations, verdict = [], 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        async def bounded():
            return await asyncio.wait_for(scenario(world), 110)
        violations = asyncio.run(bounded())
        verdict = 1 if violations else 0
    except Exception as error:  # the case could not run
        world.note(f"the case could not run: {error!r}")
    finally:
        world.close(verdict, violations)
    print("\n".join(violations[:10]))
    print(f"violations: {len(violations)}, exit {verdict}")
    sys.exit(verdict)
