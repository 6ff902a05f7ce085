"""Requesters leave before their answer and cancel, while answers of the store are lost."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "support-3"))
import fleet as f  # noqa: E402

STEP = {"Count": 2, "Cpu": 500, "MemMb": 128, "EstimatedMs": 1000}
CANCEL_MS = 3000
LOST_S = 4.5  # platform_lost: for_s = 4.5, x = 0.35, how = "late" (done 1 to 6 s later)
SHARE = 0.35
LEAVE_S, LEAVERS = 0.25, 0.4  # give_up: share 0.4, within x = 900 ms at most
ROUNDS = 4


async def request(system, sid, cancelled):
    """A requester; some leave before they have an answer, and then cancel what they have sent."""
    leaves = random.random() < LEAVERS
    node = random.choice(system.nodes)
    system.fleet.work[(sid, 0)] = f.Work(sid, 0, STEP, 1000)
    body = {"TaskSpec": f"task of {sid}", "Steps": [STEP]}
    status, answer = await f.call(node.front, "POST", f.PREFIX + sid, body, timeout=LEAVE_S if leaves else 3.0)
    system.record(f"client: POST {sid} at {node.name}: {status or answer}")
    if status is not None or not leaves:
        return
    for _ in range(5):
        other = random.choice(system.nodes)
        status, answer = await f.call(other.front, "DELETE", f.PREFIX + sid, timeout=3.0)
        system.record(f"client: DELETE {sid} at {other.name}: {status or answer}")
        if status is not None and (status // 100 == 2 or status == 410):
            cancelled[sid] = (time.monotonic(), status)
            return


async def play(system, trouble):
    fleet, cancelled, clients, first = system.fleet, {}, [], len(system.fleet.starts)
    if trouble:
        fleet.disruption(f"{SHARE:.0%} of the writes to the store are done late and not answered")
        system.store.late = lambda _: random.uniform(1, 6) if random.random() < SHARE else None
    began = time.monotonic()
    while time.monotonic() - began < LOST_S:
        sid = f"{random.getrandbits(64):016x}"
        clients.append(asyncio.create_task(request(system, sid, cancelled)))
        await asyncio.sleep(0.04)
    system.store.late = None
    over = time.monotonic()
    system.record("the store answers all writes again")
    await asyncio.gather(*clients)
    await asyncio.sleep(12)
    # UNASKED counts for machines in touch: the core is stable from ContactMs on.
    for at, task, number, worker, _ in fleet.starts[first:]:
        sid = task.split(".")[0]
        if sid not in cancelled or at < over + f.CONTACT_S:
            continue
        after = at - cancelled[sid][0]
        if CANCEL_MS / 1000 < after:
            fleet.breaks("UNASKED", f"{task} run {number} starts on {worker.id} {after:.2f} s after its "
                                    f"cancelling was answered {cancelled[sid][1]}, and "
                                    f"{at - over:.2f} s after the store was sound again")
    system.record(f"{len(clients)} submissions, {len(cancelled)} cancelled by those who had left")


async def body(system, trouble):
    await system.open(nodes=3, workers=8, racks=4, cpu=8000)
    await asyncio.sleep(2)
    for _ in range(ROUNDS):
        await play(system, trouble)


f.run_case(HERE, body)
