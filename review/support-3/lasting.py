"""Tasks that last, and the check of the rule LOST on them."""

import asyncio
import base64
import time

STEP = {"Count": 8, "Cpu": 500, "MemMb": 256, "EstimatedMs": 500, "LongRunning": True}
SID = "9c0e7a21d94b36f8"
AFTER_S, FOR_S, CALM_S = 6.0, 3.0, 4.0


def leader(system):
    item = system.store.items.get("work/leader")
    value = base64.b64decode(item["Value"]) if item else b""
    return next(it for it in system.nodes if f"{it.name}.".encode() in value)


async def begin(system):
    await system.open(nodes=3, workers=8, racks=4, cpu=8000)
    if await system.submit(SID, [STEP], 1e9) != 200:
        raise RuntimeError("not accepted")
    until = time.monotonic() + 15
    while sum(len(it.runs) for it in system.fleet.workers) < STEP["Count"]:
        if until < time.monotonic():
            raise RuntimeError("the tasks do not run")
        await asyncio.sleep(0.1)
    # Polls have listed all runs, and the list of members is stored.
    await asyncio.sleep(5)
    return SID


async def watch(system, sid, for_s):
    """A task may be without a run for FOR_S, from AFTER_S after its last run, unless these FOR_S
    or the CALM_S before them are disturbed. Nearly all of the capacity is free."""
    fleet = system.fleet
    tasks = [f"{sid}.0.0.{i}" for i in range(STEP["Count"])]
    last_run, broken, began = {it: time.monotonic() for it in tasks}, set(), time.monotonic()
    while time.monotonic() - began < for_s:
        now = time.monotonic()
        for task in tasks:
            if fleet.running(task):
                last_run[task] = now
            idle_from = max(last_run[task] + AFTER_S, fleet.disrupted_at + CALM_S)
            if task not in broken and idle_from + FOR_S <= now:
                broken.add(task)
                fleet.breaks("LOST", f"{task} has had no run for {now - last_run[task]:.1f} s, "
                                     f"{now - fleet.disrupted_at:.1f} s after the last disruption")
        await asyncio.sleep(0.05)
    for task in sorted(broken):
        running = bool(fleet.running(task))
        system.record(f"{task}: {'runs' if running else 'has no run'} at the end of the watch, last one "
                      f"{time.monotonic() - last_run[task]:.1f} s before")
