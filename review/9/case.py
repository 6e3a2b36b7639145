"""The append of a submission is carried out late; its caller, told 504, asks to cancel the job and is told that there is none."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
import world

JOB = "00000000000c0ffe"
STEP = {"count": 4, "cpu": 5600, "memMb": 8192, "gpus": 1, "estimateMs": 7600}
# Answers of the store are lost for this long; a write that gets no answer is done 1 to 6 s later.
LOST_S = 0.5
LATE_S = 5.5
CANCEL_S = 3.0
CONTACT_S = 3.0


async def run_case(w, trouble):
    await w.open(instances=2)
    for i in range(8):
        await w.add_worker(f"i-{i}", "bne-a", "r1-0", {"cpu": 64000, "memMb": 131072, "gpus": 8}, lambda task: 7.6)
    for it in w.instances:
        it.start()
    await w.ready()
    await asyncio.sleep(4)
    # Any instance but the holder, which isn't disturbed at all.
    taker = next(it for it in w.instances if it.index != w.store.holder)
    begin = w.record.now()
    late = []

    def lose(instance, operation, query):
        in_time = w.record.now() < begin + LOST_S
        if in_time and not late and operation == "log-append" and query["topic"] == "keyed.intake" and instance == taker.index:
            late.append(w.record.now())
            return "late", LATE_S
        return None

    w.store.trouble = lose if trouble else None
    w.jobs[JOB] = [STEP]
    status, _ = await w.call(taker, "POST", "/shade/" + JOB, {"spec": "text", "steps": [STEP]})
    if trouble and (not late or status not in (0, 502, 504)):
        raise world.CannotRun(f"the submission was answered with {status}")
    await asyncio.sleep(0.2)
    acknowledged = None
    for _ in range(5):
        status, _ = await w.call(taker, "DELETE", "/shade/" + JOB)
        if 200 <= status < 300 or status == 410:
            acknowledged = w.record.now()
            break
        await asyncio.sleep(0.3)
    if acknowledged is None:
        return []
    await asyncio.sleep(max(0.0, begin + LATE_S + 16 - w.record.now()))
    status, answer = await w.call(taker, "GET", "/shade/" + JOB)
    w.record(f"cancelling acknowledged at {acknowledged:.3f}")
    out = []
    for task, events in w.history.items():
        for at, kind, worker, run, _ in events:
            # By then the machines have been in touch again, too.
            if kind == "start" and at > acknowledged + CANCEL_S and at > begin + LOST_S + CONTACT_S:
                out.append(f"UNASKED: {task} run {run} starts on {worker} at {at:.3f}, {at - acknowledged:.1f} s after DELETE was answered; "
                           f"GET answers {status} {answer}")
    return out


world.main(HERE, run_case)
