"""Workers drain and leave while the machines of the system are stopped and started in turn."""

import asyncio
import base64
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "support-3"))
import fleet as f  # noqa: E402

WORKERS, ROUNDS = 16, 5
DRAIN_S = 2.5  # DrainMs
NOTED_S = 0.1  # an end counts as taken note of 100 ms after a worker has listed it
STAYS_S = 0.12  # the worker leaves this long after it has listed an end
# Steps side by side, whose tasks end one after the other.
STEPS = [{"Count": 6, "Cpu": 200, "MemMb": 64, "EstimatedMs": 4000} for _ in range(12)]
WORK_MS = [3000 + 250 * i for i in range(len(STEPS))]


def leader(system):
    item = system.store.items.get("work/leader")
    value = base64.b64decode(item["Value"]) if item else b""
    named = [it for it in system.nodes if f"{it.name}.".encode() in value]
    return named[0] if named else None


async def restart(system, node):
    await node.process.wait()
    await asyncio.sleep(0.3)
    await node.start()
    system.record(f"{node.name} is started again")


async def play(system, trouble, number, noted):
    """A worker drains and leaves; the machine that leads is stopped just before."""
    fleet = system.fleet
    sid = f"{0xD000000000000000 + number:016x}"
    if await system.submit(sid, STEPS, WORK_MS) != 200:
        raise RuntimeError("not accepted")
    await asyncio.sleep(1.5)
    worker = max((it for it in fleet.workers if it.up), key=lambda it: len(it.runs))
    fleet.record(f"{worker.id}: drains, with {len(worker.runs)} runs")
    worker.drain()
    await asyncio.sleep(DRAIN_S + 0.3)
    lists = asyncio.get_running_loop().create_future()
    worker.on_listed = lambda _, end: lists.done() or lists.set_result(end)
    try:
        end = await asyncio.wait_for(lists, 4)
    except asyncio.TimeoutError:
        worker.leave()
        return
    # The answer with the end is on its way.
    await asyncio.sleep(0)
    node = leader(system)
    if trouble and node:
        system.record(f"SIGTERM to {node.name}, which leads")
        node.send(signal.SIGTERM)
        asyncio.get_running_loop().create_task(restart(system, node))
    fleet.record(f"{worker.id}: has listed the end of {end[1]} run {end[2]} ({end[3]})")
    await asyncio.sleep(STAYS_S)
    at = time.monotonic()
    lapsed = worker.lease <= worker.clock()
    for it in worker.ended:
        listed = worker.listed.get(it[0])
        if listed and NOTED_S <= at - listed and it[3] == "done" and not lapsed:
            noted[it[1]] = (it[2], at, worker.id)
    worker.leave()


async def body(system, trouble):
    await system.open(nodes=4, workers=WORKERS, racks=4, cpu=8000)
    fleet, noted = system.fleet, {}
    for number in range(ROUNDS):
        await play(system, trouble, number, noted)
        await asyncio.sleep(11)
    for at, task, number, worker, _ in fleet.starts:
        if task in noted and noted[task][1] < at:
            run, _, first = noted[task]
            fleet.breaks("TWICE", f"{task} run {number} starts on {worker.id} {at - noted[task][1]:.1f} s after "
                                  f"run {run} had ended done on {first}, which had listed that and worked on "
                                  f"for over {NOTED_S} s")
    system.record(f"{len(noted)} ends as done that had been listed when their worker left")


f.run_case(HERE, body)
