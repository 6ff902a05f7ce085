"""TWICE: a submission with more due occurrences than a leader begins at once, and
the process that leads is killed."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support-2"))
from standins import play

RUNS = 3_000
INTERVAL_MS = 1_000
WORK_MS = 500
# Drawn for each round, from the submission.
KILLED_AFTER_S = (0.5, 1.3)
BACK_S = 1.0
# It takes occurrences that began after the last record of the progress, at most
# 0.2 s before the kill, so another submission follows if there were none.
ROUNDS = 14


async def play_round(system, has_trouble, id):
    # All occurrences are due: the last one was a second ago.
    start_at_ms = int(time.time() * 1000) - RUNS * INTERVAL_MS
    step = {"Count": 1, "Cpu": 50, "MemMb": 16, "EstimatedMs": WORK_MS}
    await system.submit(
        id,
        [step],
        f"ms={WORK_MS}",
        RunCount=RUNS,
        StartAtMs=start_at_ms,
        IntervalMs=INTERVAL_MS,
    )
    await asyncio.sleep(system.random.uniform(*KILLED_AFTER_S))
    if has_trouble:
        leader = system.leader()
        await leader.kill()
        await asyncio.sleep(BACK_S)
        await leader.start()
        await system.wait_ready([leader])
    until = time.monotonic() + 20
    while time.monotonic() < until and await system.state(id) != "completed":
        await asyncio.sleep(0.5)
    await asyncio.sleep(0.5)


async def case(system, has_trouble):
    system.fleet.is_brief = True
    await system.start(nodes=3, workers=8)
    for number in range(ROUNDS if has_trouble else 3):
        await play_round(system, has_trouble, "%016x" % (0xD0001 + number))
        if system.fleet.starts_after_done():
            break


play(__file__, case)
