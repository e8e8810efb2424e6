"""Clients that give up on a job whose acceptance is unclear cancel it. See claim.txt."""
import os
import random
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standin"))
from standins import BOUNDS, STARTS, Deployment, job, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))
# The dose of the sheet of ksf-ho for `platform_lost`, and of `kinds` for its variant `late`.
SHARE, FOR_S, LATE_S = 0.35, 4.5, (1.0, 6.0)
# Jobs come as in a burst: one every 25 ms. One in five is cancelled soon after its acceptance.
JOBS, GAP_S, CANCELLED_SHARE = 180, 0.025, 0.2
STEPS, STEP_MS = 5, 5000
CANCEL_S, CONTACT_S = BOUNDS["cancel_ms"] / 1000, BOUNDS["contactMs"] / 1000


def main():
    folder = Path(__file__).resolve().parent
    with Deployment(folder, daemons=4, workers=8) as here:
        if not here.wait_ready():
            print("the daemons do not become ready")
            return 2
        time.sleep(2)
        return run(here)


def run(here):
    chance = random.Random(SEED)
    lock, late = threading.Lock(), []
    begin = now()

    def fault(daemon, method, path, body):
        if not TROUBLE or path != "/v1/kv-txn" or now() > begin + FOR_S:
            return None
        with lock:
            if chance.random() >= SHARE:
                return None
            delay = chance.uniform(*LATE_S)
            late.append(now() + delay)
        here.record(f"store: loses the answer to a write of {daemon}, does it {delay:.1f} s later")
        return "late", delay

    here.store.fault = fault
    answers, acks = {}, {}
    body = job(",".join([str(STEP_MS)] * STEPS), *steps())
    clients = []
    for number in range(JOBS):
        order = here.daemons[:]
        random.Random(SEED * 1000 + number).shuffle(order)
        cancels = random.Random(SEED * 2000 + number).random() < CANCELLED_SHARE
        words = (here, f"{0xab00000000000000 + number:016x}", body, order, cancels, answers, acks)
        clients.append(threading.Thread(target=client, args=words))
        clients[-1].start()
        time.sleep(GAP_S)
    for thread in clients:
        thread.join()
    here.store.fault = lambda *call: None
    # All late writes are done by then, and each task of a job that runs on has begun.
    time.sleep(max(0, begin + FOR_S + LATE_S[1] + STEPS * STEP_MS / 1000 + 2 - now()))
    return judge(here, begin, answers, acks, late)


def steps():
    for number in range(STEPS):
        yield 1, STEP_MS, {"cpu": 500, "memMb": 256, **({"sinceRev": [number - 1]} if number else {})}


def client(here, name, body, order, cancels, answers, acks):
    """Hands a job in. It cancels the job if it is not told whether it was taken, or if it wants to."""
    status, _ = here.ask(order[0], "POST", name, body)
    answers[name] = status
    if status in (200, 429, 503) and not (status == 200 and cancels):
        return
    for daemon in order[1:] + order[:1]:
        status, _ = here.ask(daemon, "DELETE", name)
        if status in (200, 410):
            acks[name] = (now(), status)
            return
        time.sleep(0.2)


def judge(here, begin, answers, acks, late):
    """UNASKED: a machine in touch starts a task later than cancel_ms after the job's cancelling was
    acknowledged. Only starts count that come so long after the last write was done late that the store
    has been stable for contactMs, and all machines in touch for contactMs more."""
    last = max([begin + FOR_S, *late]) if TROUBLE else begin
    calm = last + 2 * CONTACT_S
    broken = {}
    for at, key, number, worker in STARTS:
        name = key.split(".")[0]
        if name in acks and at > acks[name][0] + CANCEL_S and at > calm:
            broken.setdefault(name, []).append((at, key, worker))
    unclear = sorted(name for name, status in answers.items() if status not in (200, 429, 503))
    lines = [
        f"{len(answers)} jobs; not told whether taken: {len(unclear)}; cancelled: {len(acks)}, with 200: "
        f"{sum(s == 200 for _, s in acks.values())}, with 410: {sum(s == 410 for _, s in acks.values())}",
        f"{len(late)} writes lost their answer; all machines in touch from {calm:.1f} s on",
        f"jobs with a task started more than {CANCEL_S:.0f} s after the acknowledged cancelling: {len(broken)}",
    ]
    for name, starts in sorted(broken.items()):
        at, status = acks[name]
        state = here.ask(here.daemons[0], "GET", name)
        lines.append(f"{name}: POST got {answers[name]}, DELETE got {status} at {at:.1f} s, then GET gets {state}; "
                     + ", ".join(f"{key} starts at {when:.1f} s on {worker}" for when, key, worker in starts))
    for line in lines:
        here.record("judge: " + line)
        print(line)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
