"""A machine that the store turned away trusts its old desired state as soon as it has read the first of several newer ones."""
import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from lib.deployment import BOUNDS, job_id, route, run  # noqa: E402

FOLDER = Path(__file__).resolve().parent
# TROUBLE=0 does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEPT = "d4a3hwrr6x73d3zji9n7"
REVOKED = "3hh2b9wu3fexd9dnn2ct"
EXTRA_ROUTES = 350
CUT_S = 9.0
CHANGES = 5
CALLERS = 4
CALL_PAUSE_S = 0.01


async def scenario(d):
    capacity = {"cpu": 32000, "memMb": 65536, "gpus": 8}
    for i in range(8):
        d.add_worker(f"i-{i:08x}", "midwest-a", ["a", "r1-1"], capacity)
    routes = [route("r-proof", "/proof/", 0)] + [route(f"r-{i}", f"/extra{i}/", 2) for i in range(EXTRA_ROUTES)]

    def tenants(keys):
        return [{"name": "school", "apiKeys": keys, "priority": 1, "guaranteed": {"gpus": 8}}]

    d.configure(routes, tenants([KEPT, REVOKED]))
    await d.start()
    await d.ready()
    # The store is in another region than this machine.
    d.store_links[1].delay = 0.008
    await asyncio.sleep(2)
    if d.trouble:
        d.record("the store turns instance 2 away")
        d.store_links[1].set("reset")
    began = time.monotonic()
    for i in range(CHANGES):
        await asyncio.sleep(0.5)
        routes[0] = routes[0] | {"timeoutMs": 3000 + i}
        d.configure(routes, tenants([KEPT, REVOKED]))
    await asyncio.sleep(0.5)
    revoked = d.configure(routes, tenants([KEPT]))
    d.record("key taken away")
    accepted = []

    async def caller():
        while time.monotonic() < began + CUT_S + 2.5:
            await asyncio.sleep(CALL_PAUSE_S)
            sent = time.monotonic()
            step = {"count": 1, "cpu": 500, "memMb": 256, "gpus": 0, "estimateMs": 500, "duration": 0.5}
            job = job_id()
            if await d.submit(1, "/proof/", job, REVOKED, [step], attempts=1) == 200:
                accepted.append((sent - revoked, job))

    callers = [asyncio.ensure_future(caller()) for _ in range(CALLERS)]
    await asyncio.sleep(began + CUT_S - time.monotonic())
    d.store_links[1].set("up")
    d.record("the store serves instance 2 again")
    await asyncio.gather(*callers)
    await asyncio.sleep(1)
    late = [(after, job) for after, job in accepted if after > BOUNDS["revokeMs"] / 1000]
    if late:
        ran = sum(1 for s in d.fleet.starts if any(s[2].startswith(job) for _, job in late))
        d.broke(f"CONFIG: {len(late)} requests with the key were answered with success, sent {late[0][0]:.2f} to {late[-1][0]:.2f} s "
                f"after it was taken away; {ran} tasks of them were started")


run(FOLDER, ["midwest-a", "southeast-a", "northwest-a"], scenario, TROUBLE)
