"""Two regions that can lose each other, beside the stand-ins of standins.py.

Processes of one region reach those of the other through a relay. The addresses
of peers stand in records of the store as text, so each region reads the store
through a view in which the far addresses are those of the relays, which are as
long. Calls to workers and to the store are told apart by the process that opened
the channel.
"""

import asyncio
import base64
import os
import random

from standins import SERVICE, HttpServer, System, Worker

PEERS_PORT = 7720


class Relay:
    """Passes bytes between the regions, or holds them while these are apart."""

    def __init__(self):
        self.is_cut = False
        self.writers = set()

    async def start(self, ip, target):
        self.target = target
        self.server = await asyncio.start_server(self.serve, ip, PEERS_PORT)

    def cut(self):
        """Channels that are open go silent for good."""
        self.is_cut = True

    def heal(self):
        """Channels that were silent end; new ones pass."""
        self.is_cut = False
        for it in list(self.writers):
            it.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        far_writer = None
        try:
            if self.is_cut:
                await asyncio.sleep(1000)
            far_reader, far_writer = await asyncio.open_connection(self.target, PEERS_PORT)
            self.writers.add(far_writer)
            await asyncio.gather(self.copy(reader, far_writer), self.copy(far_reader, writer))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for it in (writer, far_writer):
                if it is not None:
                    self.writers.discard(it)
                    it.transport.abort()

    async def copy(self, reader, writer):
        while True:
            data = await reader.read(65536)
            if not data:
                raise ConnectionError
            if self.is_cut:
                continue
            writer.write(data)
            await writer.drain()


class Regions(System):
    """A deployment of two regions. The store stands in the second."""

    NAMES = ("coast", "inland")

    def __init__(self, folder):
        super().__init__(folder)
        # Relays have addresses of the same length as the processes.
        third = random.randrange(100, 190)
        first = f"127.{random.randrange(60, 250)}"
        self.net = f"{first}.{third}"
        self.far_net = f"{first}.{third + 1}"
        self.region_of_node = {}
        self.relays = []
        self.views = []
        self.rewrites = ([], [])

    def view(self, region):
        async def handle(method, path, query, headers, body):
            answer = await self.store.handle(method, path, query, headers, body)
            status, content = answer
            if method == "GET" and content:
                if "Value" in content:
                    content = self.show(region, content)
                for name in ("items", "events"):
                    if name in content:
                        shown = [self.show(region, it) for it in content[name]]
                        content = {**content, name: shown}
            return status, content

        return handle

    def show(self, region, item):
        if not item["Key"].startswith(("process/", "work/leader")) or "Value" not in item:
            return item
        value = base64.b64decode(item["Value"])
        for own, far in self.rewrites[region]:
            value = value.replace(own, far)
        return {**item, "Value": base64.b64encode(value).decode()}

    def region_of(self, port, called):
        """The region of the process that opened a channel from a port of this
        machine to an address; None if it has closed it."""
        ip = "".join("%02X" % int(it) for it in reversed(called[0].split(".")))
        remote = f"{ip}:{called[1]:04X}"
        inode = None
        with open("/proc/net/tcp", encoding="ascii") as table:
            for row in list(table)[1:]:
                fields = row.split()
                if int(fields[1].split(":")[1], 16) == port and fields[2] == remote:
                    inode = f"socket:[{fields[9]}]"
                    break
        for node in self.nodes:
            if node.process is None or node.process.returncode is not None:
                continue
            folder = f"/proc/{node.process.pid}/fd"
            for fd in os.listdir(folder):
                try:
                    if os.readlink(os.path.join(folder, fd)) == inode:
                        return self.region_of_node[node.name]
                except OSError:
                    pass
        return None

    def settings(self, node):
        region = self.region_of_node[node.name]
        text = super().settings(node)
        changes = {
            "Zone": ("shore", "north")[region],
            "Region": self.NAMES[region],
            "Zones.north": "inland\nZones.shore=coast",
            # The leader is the process with the most of a processor.
            "Limits.CpuShare": ("0.5", "0.1")[region],
            "platform.Address": self.views[region].address,
        }
        lines = []
        for line in text.splitlines():
            name = line.split("=")[0]
            lines.append(f"{name}={changes[name]}" if name in changes else line)
        return "\n".join(lines) + "\n"

    async def start_regions(self, nodes, workers, services=(SERVICE,)):
        for region in (0, 1):
            server = HttpServer(self.view(region))
            await server.start(self.ip())
            self.views.append(server)
        self.worker_regions = {}
        for region in (0, 1):
            for _ in range(workers[region]):
                worker = Worker(self.fleet, len(self.fleet.workers) + 1, self.ip())
                worker.server.region_of = self.region_of
                worker.zone = ("shore", "north")[region]
                worker.service = services[len(self.worker_regions) % len(services)]
                self.worker_regions[worker.id] = region
                await worker.start()
        self.put_manifest()
        self.fleet_task = asyncio.ensure_future(self.fleet.run())
        for region in (0, 1):
            for _ in range(nodes[region]):
                await self.add_to(region)
        await self.wait_ready(self.nodes)
        await asyncio.sleep(3.0)

    async def add_to(self, region):
        name = f"front-{len(self.nodes) + 1}"
        self.region_of_node[name] = region
        ip = f"{self.net}.{self.next_ip + 1}"
        far_ip = f"{self.far_net}.{self.next_ip + 1}"
        relay = Relay()
        await relay.start(far_ip, ip)
        self.relays.append(relay)
        self.rewrites[1 - region].append((f"{ip}:".encode(), f"{far_ip}:".encode()))
        return await self.add_node(name)

    def cut(self):
        for it in self.relays:
            it.cut()
        self.views[0].is_cut = True
        for it in self.fleet.workers:
            it.server.cut_from = {1 - self.worker_regions[it.id]}
            # Entries of the coast do not reach the store.
            it.is_unheard = self.worker_regions[it.id] == 0
        self.record("regions lose each other")

    def heal(self):
        for it in self.relays:
            it.heal()
        self.views[0].is_cut = False
        for it in self.fleet.workers:
            it.server.cut_from = set()
            it.is_unheard = False
        self.record("regions reach each other again")
