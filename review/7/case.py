"""LOST: the workers crash one after the other, and a sound submission is shown
as failed although none of its runs has ended `failed`."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support-2"))
from standins import play

WORKERS = 8
SUBMISSIONS = 6
TASKS = 8
WORK_MS = 15_000
# Each worker crashes twice, one worker at a time.
CRASHES = 2 * WORKERS
EVERY_S = 3.0
DOWN_S = 1.0


async def crash(worker):
    worker.crash()
    await asyncio.sleep(DOWN_S)
    worker.begin_life()


async def case(system, has_trouble):
    await system.start(nodes=3, workers=WORKERS)
    ids = ["%016x" % (0xC00000 + i) for i in range(SUBMISSIONS)]
    for id in ids:
        step = {"Count": TASKS, "Cpu": 1000, "MemMb": 64, "EstimatedMs": WORK_MS}
        await system.submit(id, [step], f"ms={WORK_MS}")
    await asyncio.sleep(2.0)
    downs = []
    order = list(system.fleet.workers)
    for i in range(CRASHES if has_trouble else 0):
        if i % WORKERS == 0:
            system.random.shuffle(order)
        downs.append(asyncio.ensure_future(crash(order[i % WORKERS])))
        await asyncio.sleep(EVERY_S)
    await asyncio.gather(*downs)
    open_ids = set(ids)
    until = time.monotonic() + 45
    while open_ids and time.monotonic() < until:
        for id in sorted(open_ids):
            state = await system.state(id)
            runs = [it for it in system.fleet.runs if it.task.startswith(id)]
            failed = [it for it in runs if it.how == "failed"]
            if state == "failed" and not failed:
                lost = len([it for it in runs if it.how == "lost"])
                system.fleet.breaks(
                    "LOST",
                    f"{id} is shown as failed; of its {len(runs)} runs none has ended failed,"
                    f" {lost} were lost with their worker",
                )
            if state in ("failed", "completed"):
                open_ids.discard(id)
        await asyncio.sleep(1.0)


play(__file__, case)
