"""One minion of each rack leaves; an urgent gang that used to fit on one rack is accepted and never started."""
import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from lib.deployment import CannotRun, job_id, route, run  # noqa: E402

FOLDER = Path(__file__).resolve().parent
# TROUBLE=0 does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "d4a3hwrr6x73d3zji9n7"
RACKS = 6
RACK_WORKERS = 8
TASKS = 8
WAIT_S = 25.0
# Minions that leave at a time: 3 of 48.
LEAVING = 3
# The rule: nothing runs for 3 s; at the end of the day jobs have `finish_s` to end.
IDLE_S = 3.0
FINISH_S = 14.0


async def scenario(d):
    capacity = {"cpu": 32000, "memMb": 65536, "gpus": 8}
    workers = [d.add_worker(f"i-{i:08x}", "midwest-a", ["a", f"r1-{i // RACK_WORKERS + 1}"], capacity)
               for i in range(RACKS * RACK_WORKERS)]
    d.configure([route("r-proof", "/proof/", 0)], [{"name": "school", "apiKeys": [KEY], "priority": 1, "guaranteed": {"gpus": 8}}])
    await d.start()
    await d.ready()
    if d.trouble:
        leaving = workers[::RACK_WORKERS]
        for i in range(0, len(leaving), LEAVING):
            for worker in leaving[i:i + LEAVING]:
                worker.state, worker.remaining_ms = "draining", 2500
                worker.report()
                d.record("drain reported", worker=worker.id)
            await asyncio.sleep(2.7)
            for worker in leaving[i:i + LEAVING]:
                worker.leave("left")
            await asyncio.sleep(1.3)
    alive = [w for w in workers if not w.gone]
    job = job_id()
    gang = {"count": TASKS, "cpu": 3700, "memMb": 7600, "gpus": 8, "estimateMs": 2500, "gang": True, "sameRack": True,
            "duration": 2.5}
    if await d.submit(0, "/proof/", job, KEY, [gang]) != 200:
        raise CannotRun("the job wasn't accepted")
    accepted = d.now()
    while d.now() < accepted + WAIT_S and not d.fleet.starts:
        await asyncio.sleep(0.1)
    idle = d.now() - accepted
    await asyncio.sleep(9)
    state = await d.state(1, "/proof/", job, KEY)
    gpus = sum(w.capacity["gpus"] for w in alive)
    d.record("summary", minions=len(alive), gpus=gpus, needed=TASKS * 8, idle_s=f"{idle:.1f}", state=state)
    if idle > FINISH_S + IDLE_S and gpus >= 2 * TASKS * 8:
        d.broke(f"LOST: the accepted job {job} has had nothing running for {idle:.0f} s, though it needs {TASKS * 8} GPUs and "
                f"{gpus} are idle; its state is {state}")


run(FOLDER, ["midwest-a", "southeast-a"], scenario, TROUBLE)
