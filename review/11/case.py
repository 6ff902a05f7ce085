"""All three machines are lost for good, two at once and the third later; spares take their place."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "support-3"))
import lasting  # noqa: E402
import fleet as f  # noqa: E402


async def body(system, trouble):
    sid = await lasting.begin(system)
    watch = asyncio.create_task(lasting.watch(system, sid, 60))
    if trouble:
        # That which leads is among the first two.
        first = lasting.leader(system)
        second, third = [it for it in system.nodes if it is not first]
        system.fleet.disruption("two of three machines are lost for good")
        await asyncio.gather(system.replace(first, 2), system.replace(second, 2))
        await asyncio.sleep(8)
        system.fleet.disruption("the third machine is lost for good")
        await system.replace(third, 2)
    await watch
    status = await system.submit("b000000000000001", [dict(lasting.STEP, LongRunning=False)], 300)
    state = await system.wait_state("b000000000000001", ("completed",), 10)
    system.record(f"a submission at the end was answered {status}, and is {state} 10 s later")


f.run_case(HERE, body)
