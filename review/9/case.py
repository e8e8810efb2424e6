# SPDX-License-Identifier: Apache-2.0
"""Many users come at once to a queue with advice: calls for advice time out, and are sent again behind
those that nobody waits for any more."""
import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "sim3"))
from stand import play  # noqa: E402

# The rate of repay-recalc on ksf-ho, the dose of `burst` in its site file, and the usual traffic after it.
RATE, FACTOR, BURST_S = 4.39, 2.6, 4.0
BEFORE_S, AFTER_S, CALM_S, LIMIT_S, END_S = 6.0, 28.0, 7.0, 3.0, 6.0
ADVICE = {"decide_ms": int(os.environ.get("DECIDE", 90)), "each_ms": 5, "valid_ms": 3000, "good": 3}
STEP = {"count": 4, "cpu": 3500, "memMb": 512, "estRuntimeMs": 700}


async def case(site, trouble):
    accepted, begun = {}, {}
    site.on_begin = lambda worker, run: begun.setdefault(run.task.split(".")[0], time.monotonic())

    async def submit(number):
        job = f"{number + 0x2b31319324580000:016x}"
        site.work.add(job, [STEP])
        status, _ = await site.ask(number % 3, "POST", job, {"spec": f"spec of {job}", "steps": [STEP]})
        if status == 200:
            accepted[job] = time.monotonic()

    start, number, due = time.monotonic(), 0, 0.0
    burst = (BEFORE_S, BEFORE_S + BURST_S)
    while due < BEFORE_S + BURST_S + AFTER_S:
        await asyncio.sleep(max(0.0, start + due - time.monotonic()))
        site.later(submit(number))
        number += 1
        due += 1 / (RATE * (FACTOR if trouble and burst[0] <= due < burst[1] else 1.0))
    await asyncio.sleep(END_S)
    end = time.monotonic()
    calm = start + burst[1] + CALM_S
    later = {job: at for job, at in accepted.items() if at >= calm and at < end - LIMIT_S}
    waits = {job: begun.get(job, end) - at for job, at in later.items()}
    late = [job for job, wait in waits.items() if wait > LIMIT_S]
    never = [job for job in accepted if job not in begun]
    used = sum(worker.used() for worker in site.workers.values()) / 32000 / len(site.workers)
    site.record(f"adviser: {site.adviser.counts}")
    site.record(f"{len(accepted)} of {number} jobs accepted, {len(never)} never began; of {len(later)} accepted from "
                f"{CALM_S} s after the burst on, {len(late)} had nothing running for over {LIMIT_S} s, the longest "
                f"{max(waits.values(), default=0):.1f} s; {used:.0%} of the processors in use in the end")
    if not late:
        return []
    return [f"LOST: {len(late)} of {len(later)} jobs accepted {CALM_S} s and more after the burst had nothing running for "
            f"over {LIMIT_S} s; {len(never)} of all {len(accepted)} never began; {used:.0%} of the processors in use"]


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).resolve().parent, daemons=3, machines=12, advice=ADVICE))
