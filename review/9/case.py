# SPDX-License-Identifier: Apache-2.0
"""The interface to machines goes down for 5 s after it has carried out an upkeep and before it answers.
The machine's new worker comes meanwhile and gets tasks. They are started a second time elsewhere."""
import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "sim3"))
from stand import play  # noqa: E402

MACHINE, OTHER, KIND = "m-3", "m-4", "b"
FIRST, JOB = "4d21319324582b13", "4d21319324582b14"
DOWN_S = 5.0
# Tasks of 3.5 cores, as those of repay-recalc; the first job takes all the room on the other machine.
BUSY = {"count": 9, "cpu": 3500, "memMb": 512, "estRuntimeMs": 4500, "constraints": KIND}
STEPS = [{"count": 7, "cpu": 3500, "memMb": 512, "estRuntimeMs": 6000, "constraints": KIND},
         {"count": 1, "cpu": 3500, "memMb": 512, "estRuntimeMs": 2250, "constraints": KIND}]


async def case(site, trouble):
    broken, gone = [], asyncio.Event()

    def begun(worker, run):
        others = [other for other in site.workers.values() if other is not worker and other.alive and run.task in other.runs]
        for other in others:
            broken.append(f"TWICE: run {run.number} of {run.task} began on worker {worker.id} while run "
                          f"{other.runs[run.task].number} of it was running on worker {other.id}, which is up")

    site.on_begin = begun
    site.on_upkeep = lambda machine, died: gone.set()
    await asyncio.sleep(3)
    if trouble:
        site.cloud.goes_down_s = DOWN_S
    site.ask_upkeep(1, [MACHINE], 20, 1)
    await asyncio.wait_for(gone.wait(), 20)
    await site.submit(0, FIRST, [BUSY])
    await asyncio.sleep(0.3)
    await site.submit(1, JOB, STEPS)
    state, end = None, time.monotonic() + 40
    while state != "completed" and time.monotonic() < end:
        await asyncio.sleep(1)
        status, answer = await site.ask(2, "GET", JOB)
        state = answer["state"] if status == 200 else state
    return broken


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).resolve().parent, daemons=3, machines=8, kinds={MACHINE: KIND, OTHER: KIND}))
