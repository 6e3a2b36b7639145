"""The rack that holds the data of a job's second step is lost for good while the first step runs."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "lib-2"))
import world

RACKS = 6
WORKERS_PER_RACK = 8
CAPACITY = {"cpu": 64000, "memMb": 131072, "gpus": 8}
LOST_RACK = "r1-3"
JOB = "00000000000b5a1d"
# batch-shade: tasks of 5.6 cores, up to 11 s; estimates are off by up to 0.9 of the work.
STEPS = [{"count": 4, "cpu": 5600, "memMb": 8192, "gpus": 1, "estimateMs": 8000},
         {"count": 4, "cpu": 5600, "memMb": 8192, "gpus": 1, "estimateMs": 20500, "affinity": LOST_RACK, "dependsOn": [0]}]
FIRST_STEP_S = 8.0
SECOND_STEP_S = 10.8
FAR_FACTOR = 3
# finish_s, and how long a job may have nothing at work then.
FINISH_S = 14.0
IDLE_S = 3.0


async def run_case(w, trouble):
    await w.open(instances=2)
    for rack in range(RACKS):
        for i in range(WORKERS_PER_RACK):
            name = f"r1-{rack}"
            far = 1 if name == LOST_RACK else FAR_FACTOR
            await w.add_worker(f"i-{rack}-{i}", "bne-a", name, CAPACITY,
                               lambda task, far=far: FIRST_STEP_S if task.split(".")[2] == "0" else SECOND_STEP_S * far)
    for it in w.instances:
        it.start()
    await w.ready()
    await asyncio.sleep(4)
    if not await w.submit(w.instances, "/shade/", JOB, STEPS):
        raise world.CannotRun("the job was not accepted")
    end_of_traffic = w.record.now()
    await asyncio.sleep(4)
    for it in w.workers if trouble else []:
        if it.rack == LOST_RACK:
            w.record(f"{it.name}: lost for good")
            await it.crash()
    if trouble:
        # Three check-in intervals of silence, then the platform removes the entries.
        await asyncio.sleep(4.5)
        for it in w.workers:
            if it.rack == LOST_RACK:
                w.store.put("keyed.servers", it.name, None)
    await asyncio.sleep(max(0.0, end_of_traffic + FINISH_S + IDLE_S - w.record.now()))
    judged = w.record.now()
    await w.call(w.instances[0], "GET", "/shade/" + JOB)
    await asyncio.sleep(25)
    first = {t: e for t, e in w.history.items() if t.split(".")[2] == "0"}
    first_done = [at for e in first.values() for at, kind, _, _, how in e if kind == "end" and how == "done"]
    if len(first_done) < 4 or max(first_done) > judged - IDLE_S - 2:
        raise world.CannotRun("the first step wasn't done in time")
    second = [(at, kind) for t, e in w.history.items() if t.split(".")[2] == "1" for at, kind, _, _, _ in e]
    starts = sorted(at for at, kind in second if kind == "start")
    w.record(f"first step done at {max(first_done):.3f}, judged at {judged:.3f}, first start of the second step at {starts[:1]}")
    if not starts or starts[0] > judged:
        return [f"LOST: from {judged - IDLE_S:.3f} to {judged:.3f}, {FINISH_S:.0f} s after the end of the traffic, the job has nothing at work, "
                f"its second step's turn has come at {max(first_done):.3f}, and all {RACKS * WORKERS_PER_RACK - 8} other workers are idle"]
    return []


world.main(HERE, run_case)
