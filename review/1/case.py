"""All controllers crash while the state service is down; a machine then reaches no controller."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
sys.dont_write_bytecode = True

from standins import job, now, pilbara, run_case, running_tasks  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WARM, LONG = "run-000001", "run-000002"
TASKS = 20
OUTAGE_S = 10.0  # the site's days have outages of 10 to 25 s
CRASH_AFTER_S = 3.5  # after the beginning of the outage
BACK_AFTER_S = 0.5  # "within a fraction of a second"
MUTE_BEFORE_S = 1.0  # before the end of the outage
MUTE_S = 12.0


async def run(world):
    await world.start(["perth-north", "perth-east", "karratha-edge"])
    known = await world.wait_for(
        lambda: len(world.workers) >= 9 and all(w.handle > 0 for w in world.workers.values()), 20,
        "all workers know the leader",
    )
    if not known:
        return 2
    # The image gets to all machines, as it is after some hours of operation.
    await world.submit(job(WARM, strings=24, run_s=2.0, airtime_s=2.0, frames=["wellhead-small"]))
    small = [w for w in world.workers.values() if w.kind["frame"] == "wellhead-small"]
    await world.wait_for(
        lambda: all("img-01" in w.images and now() > w.images["img-01"] for w in small), 25,
        "the image on all small machines",
    )
    await world.wait_for(lambda: not running_tasks(world, WARM), 20, "the first job's tasks end")
    await world.submit(job(LONG, strings=TASKS, run_s=100.0, airtime_s=100.0, frames=["wellhead-small"]))
    started = await world.wait_for(lambda: len(running_tasks(world, LONG)) == TASKS, 25, "all tasks run")
    if not started:
        return 2
    # The first leader of all has been leading for longer than a term.
    await asyncio.sleep(max(2.0, world.started + 22.0 - now()))
    if TROUBLE:
        muted = max((w for w in small if w.tasks), key=lambda w: w.name)
        since = now()
        world.state.begin_outage(OUTAGE_S)
        await asyncio.sleep(CRASH_AFTER_S)
        for node in world.nodes:
            node.kill()
        await asyncio.sleep(BACK_AFTER_S)
        for node in world.nodes:
            node.start()
        await asyncio.sleep(since + OUTAGE_S - MUTE_BEFORE_S - now())
        muted.mute(MUTE_S)
        await asyncio.sleep(MUTE_S + 3.0)
    else:
        await asyncio.sleep(25.0)
    if not all(node.is_running() for node in world.nodes):
        world.violate("ended", "a controller ended by itself")
    return 1 if world.violations else 0


run_case(run, pilbara(), HERE)
