"""A gang that saves progress goes on after one of its workers has crashed."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "support-3"))
import fleet as f  # noqa: E402

GANG = {"Count": 4, "Cpu": 1000, "MemMb": 256, "EstimatedMs": 7000, "Gang": True,
        "SavesProgress": True}
IDS = [f"{0xA1B2C3D400000000 + i:016x}" for i in range(6)]


def check(fleet):
    """The rules on what the workers were told and what they listed."""
    values = {}
    for _, task, number, _, checkpoint in fleet.starts:
        values.setdefault((task.rsplit(".", 1)[0], number), set()).add(checkpoint)
    for (step, number), sent in sorted(values.items()):
        if 1 < len(sent):
            fleet.breaks("UNASKED", f"the members of run {number} of the gang {step} were told to "
                                    f"start with different checkpoints: {sorted(sent)}")


async def body(system, trouble):
    await system.open(nodes=3, workers=8, racks=4, cpu=8000)
    fleet = system.fleet
    for sid in IDS:
        status = await system.submit(sid, [GANG], 7000)
        if status != 200:
            raise RuntimeError(f"not accepted: {status}")
        await asyncio.sleep(0.27)
    until = asyncio.get_running_loop().time() + 15
    while asyncio.get_running_loop().time() < until:
        whole = [it for it in fleet.gangs.values() if it.whole]
        if len(whole) == len(IDS):
            break
        await asyncio.sleep(0.05)
    await asyncio.sleep(2.0)
    if trouble:
        # One of eight workers crashes: srv_crash, with how = dark.
        hosts = [it.worker for it in fleet.gangs.values() for it in it.members.values()]
        victim = max(set(hosts), key=hosts.count)
        fleet.disruption(f"worker {victim.id} crashes and is back after 4.5 s")
        victim.crash()
        await asyncio.sleep(4.5)
        await victim.begin()
        fleet.disruption(f"worker {victim.id} is back")
    # GANG: no disruption is near from ContactMs after it.
    until = asyncio.get_running_loop().time() + 45
    alone_from = asyncio.get_running_loop().time() + f.CONTACT_S
    states = {}
    while asyncio.get_running_loop().time() < until:
        states = {sid: await system.state(sid) for sid in IDS}
        if all(it == "completed" for it in states.values()):
            break
        await asyncio.sleep(1)
    system.record(f"states at the end: {states}")
    check(fleet)
    for at, task, number, how, worker in fleet.ends:
        if how == "alone" and alone_from < at:
            fleet.breaks("GANG", f"{task} run {number} on {worker} ends alone, no disruption near")
    for sid, state in states.items():
        if state != "completed":
            fleet.breaks("LOST", f"{sid} is {state}, 45 s after the worker is back, with room for it")


f.run_case(HERE, body)
