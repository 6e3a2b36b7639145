"""Workers that are emptied leave once they have reported the ends of their last runs."""
import asyncio
import itertools
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
import world

RACKS = 6
WORKERS = 48
# 0.065 of the workers are emptied at a time, one after the other.
LEAVING = 3
WAVES = 12
WAVE_S = 4.5
CAPACITY = {"cpu": 64000, "memMb": 131072, "gpus": 8}
# Two tasks that fill a worker's GPUs, so that each job has a worker of its own.
STEP = {"count": 2, "cpu": 7500, "memMb": 15000, "gpus": 4, "estimateMs": 1000, "gang": False}
WORK_S = 3.0
SECOND_LATER_S = 0.010
DRAIN_MS = 2500
# An end counts as taken note of so long after it was listed.
NOTED_S = 0.1


class LeavingWorker(world.Worker):
    """Stays for DRAIN_MS after its report, and leaves then as soon as it runs nothing and has answered with each end once."""

    draining = False
    leaving = False
    leaves_at = 0.0
    listed = 0

    def publish(self):
        if self.leaving:
            return
        self.sequence += 1
        entry = {"service": self.world.service, "address": f"127.0.0.1:{self.server.port}", "zone": self.zone, "version": "v1", "slots": 8,
                 "state": "draining" if self.draining else "ready", "coldLeftMs": 0, "sequence": self.sequence, "capacity": self.capacity,
                 "labels": ["a", self.rack], "born": self.born}
        if self.draining:
            entry["remainingMs"] = max(0, int(1000 * (self.leaves_at - time.monotonic())))
        self.world.store.put("keyed.servers", self.name, entry)

    def drain(self):
        self.draining = True
        self.server.end_idle_connections()
        self.leaves_at = time.monotonic() + DRAIN_MS / 1000
        self.world.record(f"{self.name}: reports that it drains, with {list(self.runs)}")
        self.publish()

    async def _hold(self, call):
        status, answer = await super()._hold(call)
        ends = [e[0] for e in answer["ended"]]
        self.world.record(f"{self.name}: answers a hold (lastSeen {call.get('lastSeen', 0)}, waitMs {call.get('waitMs', 0)}, "
                          f"untilMs {call.get('untilMs', '-')}) with ends {ends}")
        for n, task, run, how, _ in answer["ended"]:
            if n > self.listed:
                self.world.history.setdefault(task, []).append((self.world.record.now() + self.server.delay, "listed", self.name, run, how))
        self.listed = max([self.listed, *ends])
        done = self.draining and not self.runs and self.listed >= self.end_count and time.monotonic() >= self.leaves_at
        if done and not self.leaving:
            self.leaving = True
            # The response goes out first.
            asyncio.get_running_loop().call_later(self.server.delay + 0.003, lambda: asyncio.ensure_future(self.leave()))
        return status, answer

    async def leave(self):
        self.world.record(f"{self.name}: leaves")
        for it in self.tasks:
            it.cancel()
        await self.server.stop()
        self.world.store.put("keyed.servers", self.name, None)


async def run_case(w, trouble):
    await w.open(instances=2)
    numbers = itertools.count()

    def works(task):
        return WORK_S + (SECOND_LATER_S if task.endswith(".1") else 0.0)

    async def add():
        n = next(numbers)
        # 8 ms each way, as between two regions of the site.
        it = LeavingWorker(w, f"i-{n}", "bne-a", f"r1-{n % RACKS}", CAPACITY, works, w.bounds["holdMaxMs"] / 1000, w.bounds["stopMs"] / 4000,
                           rtt_s=0.016)
        await it.start()
        w.workers.append(it)

    for _ in range(WORKERS):
        await add()
    for it in w.instances:
        it.start()
    await w.ready()
    await asyncio.sleep(4)
    jobs = itertools.count(0xD00)
    for wave in range(WAVES):
        for _ in range(LEAVING * 3):
            await w.submit(w.instances, "/shade/", f"{next(jobs):016x}", [STEP])
        await asyncio.sleep(0.44)
        busy = [it for it in w.workers if not it.draining and len(it.runs) == 2]
        # Those with earlier ends first: all of them have some after a while.
        busy.sort(key=lambda it: it.end_count == 0)
        for it in busy[:LEAVING] if trouble else []:
            it.drain()
            await add()
        await asyncio.sleep(WAVE_S - 0.44)
    await asyncio.sleep(20)
    out = []
    for task, events in w.history.items():
        done = [(at, worker, run) for at, kind, worker, run, how in events if kind == "listed" and how == "done"]
        for at, kind, worker, run, _ in events:
            for listed, other, other_run in done:
                if kind == "start" and at > listed + NOTED_S and run != other_run:
                    out.append(f"TWICE: {task} run {run} starts on {worker} at {at:.3f}, after {other} had answered at {listed:.3f} that run "
                               f"{other_run} has ended done")
    return out


world.main(HERE, run_case, 118)
