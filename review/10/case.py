"""CONFIG: the store turns the machine that leads away, and a manifest sends the
queue to another service meanwhile."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support-2"))
from regions import Regions
from standins import SERVICE, CannotRun, play

NEW_SERVICE = "press-two"
# 9 s are the limit; the rest is for delays of the script.
TURNED_AWAY_S = 8.95
CONFIG_APPLY_S = 2.5
# By as much an unstable core stretches that bound at most. The store serves all
# others, but it may count as one that is disturbed.
MAX_STRETCH_S = 6.0


async def case(system, has_trouble):
    # One machine by itself, whose way to the store is the first view; nothing
    # else lies between the regions here.
    await system.start_regions(nodes=(1, 2), workers=(0, 8), services=(SERVICE, NEW_SERVICE))
    leader, *others = system.nodes
    if system.leader() is not leader:
        raise CannotRun(f"{system.leader_name()} leads")
    loop = asyncio.get_running_loop()
    began = loop.time()
    if has_trouble:
        system.views[0].is_busy = True
        system.record("the store turns a machine away", node=leader.name)
    await asyncio.sleep(0.05)
    system.put_manifest(NEW_SERVICE)
    await asyncio.sleep(CONFIG_APPLY_S + MAX_STRETCH_S + 0.03)
    sent = []
    while loop.time() < began + TURNED_AWAY_S - 0.08:
        id = "%016x" % (0xF0000 + len(sent))
        step = {"Count": 2, "Cpu": 500, "MemMb": 64, "EstimatedMs": 200}
        body = {"TaskSpec": "ms=200", "Steps": [step]}
        answer = await system.request("POST", id, body, nodes=others)
        if answer and answer[0] == 200:
            sent.append(id)
        await asyncio.sleep(0.02)
    await asyncio.sleep(max(0, began + TURNED_AWAY_S - loop.time()))
    if has_trouble:
        system.views[0].is_busy = False
        system.record("the store serves all machines")
    await asyncio.sleep(3.0)
    late = [it for it in system.fleet.runs if it.task.split(".")[0] in sent]
    if not late:
        raise CannotRun("nothing has run")
    for it in late:
        if it.worker.service == SERVICE and it.caller_region == 1:
            system.fleet.breaks(
                "CONFIG",
                f"{it.task}, accepted by a calm machine over {CONFIG_APPLY_S + MAX_STRETCH_S} s"
                f" after the confirmation of the manifest, is run by {SERVICE}, on the order of a calm"
                f" machine",
            )


play(__file__, case, kind=Regions)
