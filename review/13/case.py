"""Two of three machines and one of eight workers are lost for good; spare machines take their place."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "support-3"))
import lasting  # noqa: E402
import fleet as f  # noqa: E402


async def body(system, trouble):
    sid = await lasting.begin(system)
    watch = asyncio.create_task(lasting.watch(system, sid, 50))
    if trouble:
        # The worker with most of the tasks, and two machines, that which leads among them.
        worker = max(system.fleet.workers, key=lambda it: len(it.runs))
        leads = lasting.leader(system)
        others = [it for it in system.nodes if it is not leads]
        system.fleet.disruption(f"two of three machines and {worker.id} are lost for good")
        worker.crash()
        await asyncio.gather(system.replace(leads, 2), system.replace(others[0], 2))
    await watch


f.run_case(HERE, body)
