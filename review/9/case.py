"""LOST: machines were replaced one after the other; then a process is killed,
and a worker is lost for good."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support-2"))
from standins import play

ID = "00000000000a17c5"
MACHINES = 2
WORKERS = 8
TASKS = 6
# REPLACED=0 plays the kill and the loss without the replacements before them.
REPLACED = int(os.environ.get("REPLACED", "3"))
BACK_S = 3.0
# Of the rule: for 3 s, if these and the 4 s before them are calm, from 6 s
# after the task's last run.
CALM_BEFORE_S = 4.0
WITHOUT_RUN_S = 3.0
AFTER_LAST_RUN_S = 6.0


async def case(system, has_trouble):
    await system.start(MACHINES, WORKERS)
    if has_trouble:
        for i in range(REPLACED):
            new = await system.add_node(f"front-{MACHINES + 1 + i}")
            await system.wait_ready([new])
            await system.nodes[i].terminate()
        await asyncio.sleep(6.0)
    alive = [it for it in system.nodes if it.process.returncode is None]
    step = {
        "Count": TASKS,
        "Cpu": 2000,
        "MemMb": 1024,
        "EstimatedMs": 1000,
        "LongRunning": True,
        "AntiAffinity": 1,
    }
    await system.submit(ID, [step], "lasts")
    await asyncio.sleep(6.0)
    system.record("runs", active=len([it for it in system.fleet.runs if it.ended is None]))
    began = time.monotonic()
    if has_trouble:
        leader = system.leader()
        worker = next(it.worker for it in system.fleet.runs if it.ended is None)
        worker.crash(is_dark=True)
        await leader.kill()
        await asyncio.sleep(BACK_S)
        await leader.start()
        await system.wait_ready([leader])
    calm_from = time.monotonic()
    until = time.monotonic() + 45
    reported = set()
    while time.monotonic() < until:
        now = time.monotonic()
        for i in range(TASKS):
            task = f"{ID}.0.0.{i}"
            runs = [it for it in system.fleet.runs if it.task == task]
            if any(it.ended is None for it in runs) or task in reported:
                continue
            last = max([it.ended for it in runs], default=began)
            due = max(calm_from + CALM_BEFORE_S, last + AFTER_LAST_RUN_S) + WITHOUT_RUN_S
            if due < now:
                reported.add(task)
                system.fleet.breaks(
                    "LOST",
                    f"{task}: no run for {now - last:.1f} s, {now - calm_from:.1f} s after"
                    f" the last disruption was over",
                )
        await asyncio.sleep(0.1)
    for it in sorted(reported):
        later = [run for run in system.fleet.runs if run.task == it and run.ended is None]
        system.record("at the end", task=it, runs=bool(later))
    await system.state(ID)


play(__file__, case)
