"""One response of the state service takes 300 ms while a job of higher priority arrives."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
import kit

SLOW_S = 0.3
WAIT_S = 92.0  # the rule allows 90 s


async def case(record, trouble):
    world = kit.pilbara(record)
    try:
        # Two machines of 8 CPUs; the cloud has no further ones.
        await world.start([("wellhead-small", field, False) for field in world.fields[:2]])
        if not await world.wait_ready():
            raise RuntimeError("the controllers are not ready")
        await asyncio.sleep(8)
        if trouble:
            # The next write of the list of machines and their jobs takes a few hundred ms.
            world.state.slow_prefix = ("roster/", SLOW_S)
        low = world.spawn(world.submit(world.job(
            "run-000100", crew="curtin-hydraulics", flight="transient-backfill", lift="best_effort",
            strings=2, cpus=8.0, mem_gb=13.0, airtime_s=300.0, size_gb=0.2,
        )))
        await asyncio.sleep(0.12)
        await world.submit(world.job(
            "run-000001", flight="nom-gateway", shape="standing", lift="urgent", strings=2, cpus=8.0,
            mem_gb=8.1, airtime_s=0.0, size_gb=0.2, gusts=False,
        ))
        await low
        if trouble and world.state.slow_prefix is not None:
            raise RuntimeError("there was no such write")
        waited, up, idle = 0.0, 0, 0
        while waited < WAIT_S:
            await asyncio.sleep(5)
            waited += 5
            up = sum(1 for string in world.where if string.startswith("run-000001/"))
            idle = sum(1 for w in world.machines.values()
                       if not w.gone and all(t.state == "exited" for t in w.tasks.values()))
            record.say(waited, "s: replicas of run-000001:", up, "idle machines:", idle,
                       (await world.poll("run-000001") or (0, 0))[1], (await world.poll("run-000100") or (0, 0))[1])
        if any(node.process.returncode is not None for node in world.nodes):
            raise RuntimeError("a controller has ended")
        if up < 2:
            return f"{up} of 2 replicas run {WAIT_S:.0f} s after the job was accepted, with {idle} of 2 machines idle"
        return None
    finally:
        await world.stop()


kit.main(case, HERE)
