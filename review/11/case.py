# SPDX-License-Identifier: Apache-2.0
"""The owner is stopped for a planned restart while one worker is cut off and runs on. Its machine is
in a wave. The next owner has had no answer of that worker, and has its machine taken down."""
import asyncio
import signal
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "sim3"))
from stand import BOUNDS, play  # noqa: E402

JOB = "77aa319324582b14"
TASKS, MAY_MISS = 6, 1
CUT_S = 5.5
STEP = {"count": TASKS, "cpu": 2000, "memMb": 512, "estRuntimeMs": 320, "longRunning": True, "image": "img-1",
        "may_miss": MAY_MISS}


def at_work(site):
    now = time.monotonic()
    return {run.task: worker for worker in site.workers.values() for run in worker.runs.values()
            if run.percent(now) == 100 and run.stop_at is None}


async def case(site, trouble):
    broken, last_at_work = [], {}

    async def watch():
        while True:
            now = time.monotonic()
            last_at_work.update({task: now for task in at_work(site)})
            await asyncio.sleep(0.02)

    def upkeep(machine, died):
        """AVAIL: tasks at work on the machine ended by the upkeep, and the others of their step that are away."""
        now = time.monotonic()
        ended = [run.task for run in died if run.percent(now) == 100 and run.stop_at is None]
        idle = [task for task, at in last_at_work.items()
                if task not in ended and (now - at) * 1000 >= BOUNDS["notice_ms"]]
        others = len(ended) - 1 + len(idle)
        site.record(f"upkeep of {machine}: ends {len(ended)} tasks at work at once; {len(idle)} others not at work "
                    f"for {BOUNDS['notice_ms']} ms; may_miss is {MAY_MISS}")
        if ended and others >= MAY_MISS:
            broken.append(f"AVAIL: upkeep of {machine} ended {len(ended)} tasks at work of a step with may_miss "
                          f"{MAY_MISS}, so that {others} others of it were away")

    site.on_upkeep = upkeep
    await site.submit(0, JOB, [STEP])
    await site.until("all tasks are at work", lambda: len(at_work(site)) == TASKS, 15)
    site.later(watch())
    await asyncio.sleep(3)
    machine = Counter(worker.machine for worker in at_work(site).values()).most_common(1)[0][0]
    worker, owner = site.workers[machine], site.owner()
    site.record(f"{machine} has {len(worker.runs)} of the {TASKS} tasks; the owner is edge-ikeja-{owner + 1}")
    if trouble:
        worker.cut = asyncio.Event()
        site.record(f"worker {worker.id} on {machine} is cut off from all daemons, and runs on")

        async def heal():
            await asyncio.sleep(CUT_S)
            worker.cut.set()
            worker.cut = None
            site.record(f"worker {worker.id} on {machine} is reached again")

        async def restart():
            site.daemons[owner].send_signal(signal.SIGTERM)
            site.record(f"SIGTERM to edge-ikeja-{owner + 1}")
            process = site.daemons[owner]
            await site.until("it has ended", lambda: process.poll() is not None, BOUNDS["graceS"])
            site.record(f"edge-ikeja-{owner + 1} has ended")
            site.start_daemon(owner)

        site.later(heal())
        site.later(restart())
    await asyncio.sleep(0.5)
    site.ask_upkeep(1, [machine], 20, 1)
    await site.until("the upkeep has begun", lambda: (machine, 1) in site.cloud.done, 40)
    await asyncio.sleep(6)
    return broken


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).resolve().parent, daemons=3, machines=8))
