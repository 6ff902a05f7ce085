"""ORDER: a submission that runs many times, at an interval that is not a whole
number of milliseconds."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support-2"))
from standins import play

ID = "00000000000d0001"
RUNS = 500
INTERVAL_MS = 40.8
WHOLE_INTERVAL_MS = 41
EARLY_MS = 250


async def case(system, has_trouble):
    await system.start(nodes=3, workers=8)
    interval_ms = INTERVAL_MS if has_trouble else WHOLE_INTERVAL_MS
    start_at_ms = int(time.time() * 1000) + 1500
    unix_ms = time.time() * 1000 - time.monotonic() * 1000
    step = {"Count": 1, "Cpu": 100, "MemMb": 16, "EstimatedMs": 200}
    await system.submit(
        ID,
        [step],
        "ms=200",
        RunCount=RUNS,
        StartAtMs=start_at_ms,
        IntervalMs=interval_ms,
    )
    system.record("submission", start_at_ms=start_at_ms, interval_ms=interval_ms, runs=RUNS)
    await asyncio.sleep(1.5 + RUNS * interval_ms / 1000 + 2.0)
    for it in system.fleet.runs:
        due_ms = start_at_ms + int(it.task.split(".")[1]) * interval_ms
        early_ms = due_ms - (unix_ms + it.started * 1000)
        if EARLY_MS < early_ms:
            system.fleet.breaks("ORDER", f"{it.task} starts {early_ms:.0f} ms before its time")
    await system.state(ID)


play(__file__, case)
