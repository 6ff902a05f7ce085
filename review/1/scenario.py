"""A step of many short tasks, and an outage of the store while they run."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
from world import play  # noqa: E402

TASKS = 600
SUBMISSIONS = 4
OUTAGE_S = 4.5


async def scenario(world):
    await world.start(nodes=3, workers=2)
    step = {"Count": TASKS, "Cpu": 200, "MemMb": 256, "EstimatedMs": 300}
    body = {"TaskSpec": "ms=300 ", "Steps": [step]}
    accepted = [await world.submit(body) for _ in range(SUBMISSIONS)]
    if None in accepted:
        raise RuntimeError("a submission was not accepted")
    await asyncio.sleep(1.0)
    if world.trouble:
        world.store.down = "busy"
        world.note("the store is down")
        await asyncio.sleep(OUTAGE_S)
        world.store.down = None
        world.note("the store is back")
    for _ in range(60):
        await asyncio.sleep(0.5)
        if all([await world.state(it) == "completed" for it in accepted]):
            break
    return world.find_twice()


play(scenario, HERE)
