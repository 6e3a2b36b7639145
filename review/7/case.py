"""The holder is killed while one worker has ended more than 500 runs of which it has not been told that they are taken note of."""
import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
import world

# Twelve jobs of 72 tasks, the largest size of batch-shade; together they fit one worker.
JOBS = [f"{i:016x}" for i in range(0x1A00, 0x1A0C)]
STEP = {"count": 72, "cpu": 70, "memMb": 140, "estimateMs": 10000}
WORK_S = 10.0
# Time for the workers to end everything under the new holder.
REST_S = 24


async def run_case(w, trouble):
    await w.open(instances=2)
    for i in range(2):
        # 8 ms each way, as between two regions of the site.
        await w.add_worker(f"i-{i}", "bne-a", f"r1-{i}", {"cpu": 64000, "memMb": 131072, "gpus": 8}, lambda task: WORK_S, rtt_s=0.016)
    for it in w.instances:
        it.start()
    await w.ready()
    await asyncio.sleep(4)
    first = time.monotonic()
    for job in JOBS:
        if not await w.submit(w.instances, "/shade/", job, [STEP]):
            raise world.CannotRun(f"job {job} was not accepted")
        await asyncio.sleep(0.02)
    # Right before the first runs end.
    await asyncio.sleep(max(0.0, first + WORK_S - time.monotonic()))
    running = max(len(it.runs) for it in w.workers)
    w.record(f"tasks at work: {[len(it.runs) for it in w.workers]}, ended: {[it.end_count for it in w.workers]}")
    if running <= world.Worker.MAX_ENDS:
        raise world.CannotRun(f"only {running} tasks at work on one worker")
    if trouble:
        w.instances[w.store.holder].signal(signal.SIGKILL)
    await asyncio.sleep(REST_S)
    for it in w.instances:
        if it.process.poll() is None:
            for job in JOBS[:1]:
                await w.call(it, "GET", f"/shade/{job}")
    lapsed = [t for t, events in w.history.items() if any(kind == "end" and how == "lapsed" for _, kind, _, _, how in events)]
    if lapsed:
        raise world.CannotRun(f"{len(lapsed)} leases lapsed")
    return [f"TWICE: {task}: {text}" for task, text in world.doubled(w.history)]


world.main(HERE, run_case)
