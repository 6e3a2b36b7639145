"""Gangs end; one minion of each drains and leaves, the others are cut off and report their ends later: the holder crashes."""
import asyncio
import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from lib.deployment import CannotRun, job_id, route, run  # noqa: E402

FOLDER = Path(__file__).resolve().parent
# TROUBLE=0 does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "d4a3hwrr6x73d3zji9n7"
WORKERS = 48
# In each round 3 of 48 minions drain, and 6 are cut off.
GANGS = 3
TASKS = 3
MAX_ROUNDS = 11
TASK_S = 2.0
SPEC_BYTES = (150, 460, 460, 500, 900, 1800)
CUTS_S = (4.0, 5.2)
EXITS = 3
MACHINES = 2


def machines_with_exits(d):
    """The machines on which processes have ended by themselves three times."""
    return {i for _, i, _ in d.exits if sum(1 for e in d.exits if e[1] == i) >= EXITS}


async def background(d):
    """Ordinary small jobs."""
    while True:
        step = {"count": 2, "cpu": 1000, "memMb": 1024, "gpus": 0, "estimateMs": 500, "duration": 0.5}
        for instance in (0, 1):
            await d.submit(instance, "/roster/", job_id(), KEY, [step], attempts=1, spec_bytes=random.choice(SPEC_BYTES))
        await asyncio.sleep(0.1)


async def play_round(d):
    gang = {"count": TASKS, "cpu": 13000, "memMb": 26000, "gpus": 8, "estimateMs": 2000, "gang": True, "sameRack": True,
            "duration": TASK_S}
    jobs = [job_id() for _ in range(GANGS)]
    seen = len(d.fleet.starts)
    for job in jobs:
        if await d.submit(0, "/retouch/", job, KEY, [gang]) != 200 and await d.submit(1, "/retouch/", job, KEY, [gang]) != 200:
            raise CannotRun("the job wasn't accepted")
    for _ in range(400):
        await asyncio.sleep(0.02)
        at = {s[2]: s[1] for s in d.fleet.starts[seen:]}
        members = [[at.get(f"{job}.0.0.{i}") for i in range(TASKS)] for job in jobs]
        if all(all(it) for it in members):
            break
    else:
        raise CannotRun("a gang didn't start")
    await asyncio.sleep(0.2)
    if not d.trouble:
        await asyncio.sleep(TASK_S + 2)
        return
    began, exits = time.monotonic(), len(d.exits)
    for first, *_ in members:
        first.state, first.remaining_ms = "draining", 2500
        first.report()
        d.record("drain reported", worker=first.id)
    await asyncio.sleep(0.6)
    cut_at = time.monotonic()
    for _, *others in members:
        for worker in others:
            worker.cut("silent")
    await asyncio.sleep(2.0)
    for first, *_ in members:
        first.leave("left")
    for i, seconds in enumerate(CUTS_S):
        await asyncio.sleep(cut_at + seconds - time.monotonic())
        for _, *others in members:
            others[i].heal()
    while len(d.exits) == exits and time.monotonic() < began + 8.5:
        await asyncio.sleep(0.05)
    if len(d.exits) > exits:
        await asyncio.sleep(2.5)


async def scenario(d):
    capacity = {"cpu": 32000, "memMb": 65536, "gpus": 8}
    for i in range(WORKERS):
        d.add_worker(f"i-{i:08x}", "midwest-a", ["a", f"r1-{i // 8 + 1}"], capacity)
    d.configure([route("r-retouch", "/retouch/", 1), route("r-roster", "/roster/", 2)],
                [{"name": "school", "apiKeys": [KEY], "priority": 1, "guaranteed": {"gpus": 8}}])
    await d.start()
    await d.ready()
    watch = asyncio.ensure_future(d.restart_ended())
    traffic = asyncio.ensure_future(background(d))
    rounds = 0
    while rounds < MAX_ROUNDS and d.now() < 98 and len(machines_with_exits(d)) < MACHINES:
        await play_round(d)
        rounds += 1
        if not d.trouble and rounds == 3:
            break
    watch.cancel()
    traffic.cancel()
    d.record("rounds", played=rounds, exits=len(d.exits))
    if len(machines_with_exits(d)) >= MACHINES:
        d.broke("Fault: processes ended by themselves three times on each of two machines: "
                + ", ".join(f"{at:.1f} s instance {i + 1} with {code}" for at, i, code in d.exits))


run(FOLDER, ["midwest-a", "southeast-a"], scenario, TROUBLE)
