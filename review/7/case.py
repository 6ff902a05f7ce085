"""TWICE: a worker's host loses power and is back at once; then the worker is
cut off."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support-2"))
from standins import CannotRun, play

WORK_MS = 9_000
# Times from the loss of power.
DARK_S = 0.5
SUBMITTED_AT_S = 0.7
CUT_AT_S = 1.4
# 5.5 s are the limit; the rest is for delays of the script.
CUT_S = 5.4
# The start reaches the new life only if no poll has failed before; another
# worker is taken then.
TRIES = 3


async def submit(system, id):
    step = {
        "Count": 16,
        "Cpu": 4000,
        "MemMb": 64,
        "EstimatedMs": WORK_MS,
    }
    await system.submit(id, [step], f"ms={WORK_MS}")


async def play_once(system, has_trouble, number):
    """Returns whether the worker's new life was told to start a task before it
    was cut off."""
    worker = system.fleet.workers[3 + number]
    id = "%016x" % (0xB0010 + number)
    # The system has asked for the worker's lists a moment ago, and the worker
    # holds the answer.
    holds = worker.holds
    while worker.holds == holds:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.2)
    began = asyncio.get_running_loop().time()

    async def sleep_until(at_s):
        await asyncio.sleep(max(0, began + at_s - asyncio.get_running_loop().time()))

    if has_trouble:
        worker.crash(is_dark=True)
        await sleep_until(DARK_S)
        worker.begin_life()
    await sleep_until(SUBMITTED_AT_S)
    await submit(system, id)
    await sleep_until(CUT_AT_S)
    has_started = any(it.worker is worker and id in it.task for it in system.fleet.runs)
    if has_trouble:
        worker.server.is_cut = True
        worker.server.mute()
        system.record("worker is cut off", worker=worker.id)
        await sleep_until(CUT_AT_S + CUT_S)
        worker.server.is_cut = False
        system.record("cut ends", worker=worker.id)
    await sleep_until(20.0)
    await system.state(id)
    return has_started


async def case(system, has_trouble):
    await system.start(nodes=3, workers=8)
    await submit(system, "00000000000b0001")
    await asyncio.sleep(12.0)
    for number in range(TRIES):
        if await play_once(system, has_trouble, number):
            return
    raise CannotRun("no new life was told to start a task in time")


play(__file__, case)
