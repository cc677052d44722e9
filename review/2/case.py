"""Copies of old reports reach the controllers just as a new leader begins, and commands are held up."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
sys.dont_write_bytecode = True

from standins import cielo, deliver_copy, job, now, run_case, running_tasks  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WARM = "run-000001"
JOBS = [f"run-{number:06}" for number in range(101, 113)]
HANG_S = 25.0  # as long as on the site's days
CRASH_BEFORE_S = 3.1  # before the end of the hang
BACK_AFTER_S = 0.5
HELD_UP_S = 3.0  # commands are held up 2 to 16 s


def place(world, uid):
    """The machine on which the job's only task runs, or none."""
    found = [worker for worker, task in running_tasks(world, uid) if task.state == "running"]
    return found[0] if found else None


def all_run(world):
    return all(place(world, uid) for uid in JOBS)


async def run(world):
    await world.start(["heredia-a", "heredia-b", "cartago-main"])
    known = await world.wait_for(
        lambda: len(world.workers) >= 19 and all(w.handle > 0 for w in world.workers.values()), 20,
        "all workers know the leader",
    )
    if not known:
        return 2
    # The image gets to all machines, as it is after some hours of operation.
    await world.submit(job(
        WARM, flight="thumbnail-render", crew="customer-care", strings=38, cpus=2.0, mem_gb=4.8, sail="img-01",
        size_gb=1.5, airtime_s=1.0, run_s=1.0,
    ))
    warm = await world.wait_for(
        lambda: all("img-01" in w.images and now() > w.images["img-01"] for w in world.workers.values()), 25,
        "the image on all machines",
    )
    if not warm:
        return 2
    await world.wait_for(lambda: not any(w.tasks for w in world.workers.values()), 20, "the first job is over")
    for uid in JOBS:
        await world.submit(job(
            uid, flight="thumbnail-render", crew="customer-care", strings=1, cpus=2.0, mem_gb=4.8,
            sail="img-01", size_gb=1.5, airtime_s=100.0, run_s=100.0,
        ))
    if not await world.wait_for(lambda: all_run(world), 25, "all tasks run"):
        return 2
    await asyncio.sleep(2.5)
    first = {uid: place(world, uid) for uid in JOBS}
    old_reports = {w.name: w.reports[-1] for w in first.values()}
    if not TROUBLE:
        await asyncio.sleep(45.0)
        return 1 if world.violations else 0
    # The machines of all tasks hang for longer than their lease; the tasks start elsewhere.
    for worker in set(first.values()):
        worker.hung_until = now() + HANG_S
        world.record.write(worker.name, f"hangs for {HANG_S} s")
    moved = await world.wait_for(
        lambda: all(place(world, uid) not in (None, first[uid]) for uid in JOBS), 25, "all tasks run elsewhere",
    )
    hang_end = min(w.hung_until for w in first.values())
    if not moved or now() > hang_end - CRASH_BEFORE_S:
        return 2
    await asyncio.sleep(hang_end - CRASH_BEFORE_S - now())
    second = {uid: place(world, uid) for uid in JOBS}
    hosts = {w.name: w for w in second.values()}
    idle_reports = {w.name: [r for r in w.reports if not r["strings"]][-1] for w in second.values()}
    claims = []

    def changed(key, value):
        # The copies for the next leader arrive just as it begins.
        if key == "live/leader" and value is not None and not claims:
            claims.append(now())
            asyncio.ensure_future(copies_of_old_reports())

    async def copies_of_old_reports():
        await asyncio.sleep(0.15)
        await asyncio.gather(*(
            deliver_copy(world, world.workers[name], report) for name, report in old_reports.items()
        ))

    def redirected(worker, node):
        if worker.name in waiting:
            waiting.discard(worker.name)
            asyncio.ensure_future(copy_of_idle_report(worker))

    async def copy_of_idle_report(worker):
        await asyncio.sleep(0.1)
        await deliver_copy(world, worker, idle_reports[worker.name])

    waiting = set(hosts)
    for worker in hosts.values():
        worker.late_until, worker.late_by = now() + 8.0, HELD_UP_S
        worker.move_delay = 0.4
    def answered(worker, node, report, value):
        world.record.write(
            worker.name,
            f"report {report['launch']}, {report['tick']} with {[t['string'] for t in report['strings']]} answered "
            f"200 by {node.name}, {len(value['signals'])} commands",
        )

    world.on_answered = answered
    world.state.on_change = changed
    world.on_redirected = redirected
    for node in world.nodes:
        node.kill()
    await asyncio.sleep(BACK_AFTER_S)
    for node in world.nodes:
        node.start()
    await asyncio.sleep(14.0)
    if not all(node.is_running() for node in world.nodes):
        world.violate("ended", "a controller ended by itself")
    return 1 if world.violations else 0


run_case(run, cielo(), HERE)
