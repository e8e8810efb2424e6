# SPDX-License-Identifier: Apache-2.0
"""A hundred and ten small jobs are to run every ten seconds for a day. As on the platform, a daemon that exceeds its
`memoryMb` is killed and started again."""
import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "sim2"))
import sim

JOBS, RUNS, INTERVAL_MS, MEMORY_MB, RESTART_S = 110, 24 * 360 if sim.TROUBLE else 8, 10_000, 260, 0.5
SMALL = dict(count=1, cpu=500, memMb=100, estRuntimeMs=200)
ORDINARY = "00000000000000ff"


def memory_mb(process):
    try:
        lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
    except OSError:
        return 0
    return next((int(line.split()[1]) // 1024 for line in lines if line.startswith("VmRSS")), 0)


async def limit_memory(world, daemon, kills, most):
    while True:
        await asyncio.sleep(0.05)
        used = memory_mb(daemon.process)
        most[0] = max(most[0], used)
        if used > MEMORY_MB:
            world.record(f"{daemon.name} uses {used} MB, {MEMORY_MB} MB is the limit: the platform ends it")
            daemon.process.send_signal(signal.SIGKILL)
            await daemon.process.wait()
            kills[daemon.name] = kills.get(daemon.name, 0) + 1
            await asyncio.sleep(RESTART_S)
            await daemon.start()


async def scenario(world):
    await world.begin(3, 6)
    kills, most = {}, [0]
    for daemon in world.daemons:
        world.spawn(limit_memory(world, daemon, kills, most))
    first = int(time.time() * 1000) + 60_000
    accepted = 0
    for number in range(JOBS):
        status = await world.submit(f"1{number:015x}", [SMALL], tries=8, maxRuns=RUNS, firstRunMs=first,
                                    intervalMs=INTERVAL_MS)
        accepted += status == 200
        await asyncio.sleep(0.08)
    status = await world.submit(ORDINARY, [SMALL], tries=40)
    handed_in = world.record.now()
    await asyncio.sleep(25)
    begun = [start[0] - handed_in for start in world.starts if start[2].startswith(ORDINARY)]
    world.record(f"{accepted} of {JOBS} jobs accepted, at most {most[0]} MB, ended for memory: {kills}; the ordinary job: "
                 f"{status}, begun after {begun}")
    often = [name for name, count in kills.items() if count >= 3]
    if len(often) >= 2:
        return (f"FAULT: {len(often)} of {len(world.daemons)} daemons were ended three times or more for memory over the "
                f"limit of {MEMORY_MB} MB: {kills}; the ordinary job: {status}, begun after {begun}")
    return None


sim.main(Path(__file__).resolve().parent, scenario)
