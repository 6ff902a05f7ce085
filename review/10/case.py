"""CONFIG: the store turns the machine that leads away, and a manifest sends the
queue to another service meanwhile."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support-2"))
from regions import Regions
from standins import SERVICE, CannotRun, play

NEW_SERVICE = "press-two"
TURNED_AWAY_S = 7.0
CONFIG_APPLY_S = 2.5


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
        system.views[0].is_cut = True
        system.record("the store turns a machine away", node=leader.name)
    await asyncio.sleep(1.0)
    system.put_manifest(NEW_SERVICE)
    await asyncio.sleep(CONFIG_APPLY_S + 0.3)
    sent = []
    while loop.time() < began + TURNED_AWAY_S:
        id = "%016x" % (0xF0000 + len(sent))
        step = {"Count": 2, "Cpu": 500, "MemMb": 64, "EstimatedMs": 200}
        body = {"TaskSpec": "ms=200", "Steps": [step]}
        answer = await system.request("POST", id, body, nodes=others)
        if answer and answer[0] == 200:
            sent.append(id)
        await asyncio.sleep(0.15)
    if has_trouble:
        system.views[0].is_cut = False
        system.record("the store serves all machines")
    await asyncio.sleep(3.0)
    late = [it for it in system.fleet.runs if it.task.split(".")[0] in sent]
    if not late:
        raise CannotRun("nothing has run")
    for it in late:
        if it.worker.service == SERVICE and it.caller_region == 1:
            system.fleet.breaks(
                "CONFIG",
                f"{it.task}, accepted by a calm machine over {CONFIG_APPLY_S} s after the"
                f" confirmation of the manifest, is run by {SERVICE}, on the order of a calm"
                f" machine",
            )


play(__file__, case, kind=Regions)
