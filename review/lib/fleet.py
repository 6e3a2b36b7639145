"""Stand-in for the minions: leases, fencing, stops, gangs and check-ins as in PROTOCOL.md."""
import asyncio
import json
import time

from .http import Link, serve, to_json

HEARTBEAT_S = 1.5
STOP_S = 0.1
FAR_FACTOR = 3


class Run:
    def __init__(self, task, number, at, duration, demand):
        self.task, self.number, self.at, self.duration, self.demand = task, number, at, duration, demand
        self.begun = at
        self.timer = None
        self.gang = None
        # What the minion was when the run started; a later life of it may differ.
        self.worker = None
        self.labels = []
        self.fence = 0
        self.life = 0
        self.ends_before = 0
        self.life_s = 0.0
        self.polls_before = 0
        self.entry_s = None  # since the entry of this life was written; None before that
        self.lease_ms = 0  # as requested
        # Number among the ends of the minion, time and kind of its own end; the number is 0 for an end that the minion doesn't list.
        self.end_number = 0
        self.ended_at = None
        self.how = None

    def percent(self, now):
        if self.begun is None:
            return 0
        return max(0, min(100, int(100 * (now - self.begun) / self.duration)))


class Fleet:
    """All minions of a deployment, and what they have run."""

    def __init__(self, store, record, hold_max_ms, gang_s):
        self.store, self.record = store, record
        self.hold_max_ms, self.gang_s = hold_max_ms, gang_s
        self.workers = []
        self.jobs = {}  # id -> steps, with `duration` in seconds for each
        self.starts = []  # (time, worker, task, run)
        self.ends = []  # (time, worker, task, run, how)
        self.acknowledged = []  # (time, worker, task, run, how)
        self.runs = []  # every Run, in the order of the starts
        self.gangs = {}

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job][int(step)]

    async def expire_entries(self):
        """The platform removes the entry of a minion after three check-in intervals of silence."""
        while True:
            await asyncio.sleep(0.1)
            for worker in self.workers:
                silent = time.monotonic() - worker.last_beat > 3 * HEARTBEAT_S
                if worker.listed and silent:
                    worker.listed = False
                    self.record("entry removed", worker=worker.id)
                    self.store.put("keyed.servers", worker.id, b"")


class Worker:
    def __init__(self, fleet, worker_id, address, service, zone, labels, capacity):
        self.fleet, self.id, self.address = fleet, worker_id, address
        self.service, self.zone, self.labels, self.capacity = service, zone, labels, capacity
        self.link = Link()
        self.cut_from_store = False
        self.state = "ready"
        self.remaining_ms = 0
        self.listed = False
        self.last_beat = 0.0
        self.gone = False
        self.began = time.monotonic()
        self.born = int(time.time() * 1000)
        self.until = 0
        self.token = 0
        self.runs = {}  # (task, run) -> Run
        self.refused = {}  # task -> highest run that was stopped or has ended
        self.ended = []  # [N, task, run, how, saved]
        self.next_end = 1
        self.changed = asyncio.Event()
        self.server = None
        self.life = 1
        self.polls = 0  # answered in this life
        self.entry_at = None  # when the entry of this life was written first
        self.restarting = False
        fleet.workers.append(self)

    def clock(self):
        return int((time.monotonic() - self.began) * 1000) + 1000

    async def start(self):
        self.server = await serve(self.address, self.handle, self.link)
        asyncio.ensure_future(self.check_in())
        asyncio.ensure_future(self.watch_lease())

    def entry(self):
        out = {"service": self.service, "address": "%s:%d" % self.address, "zone": self.zone, "version": "v1", "slots": 8,
               "state": self.state, "coldLeftMs": 0, "capacity": self.capacity, "labels": self.labels, "clockMs": self.clock(),
               "sequence": 1, "born": self.born}
        if self.state == "draining":
            out["remainingMs"] = self.remaining_ms
        return to_json(out)

    def report(self):
        """Writes the entry, unless the store can't be reached."""
        if not self.cut_from_store and not self.gone:
            self.listed = True
            self.last_beat = time.monotonic()
            self.entry_at = self.entry_at or self.last_beat
            self.fleet.store.put("keyed.servers", self.id, self.entry())

    async def check_in(self):
        while not self.gone:
            if not self.cut_from_store:
                self.last_beat = time.monotonic()
                if not self.listed:
                    self.report()
            await asyncio.sleep(HEARTBEAT_S if self.listed else 0.1)

    def cut(self, mode):
        """Cuts the minion off from all machines and from the store; it runs on."""
        self.fleet.record("minion cut off", worker=self.id, mode=mode)
        self.link.set(mode)
        self.cut_from_store = True

    def heal(self):
        self.fleet.record("minion back", worker=self.id)
        self.link.set("up")
        self.cut_from_store = False

    def leave(self, how, silent=False):
        """The minion exits or crashes: all that it runs ends, and it answers nothing more; with `silent`, it has no power."""
        self.fleet.record("minion gone", worker=self.id, how=how)
        self.gone = True
        for run in list(self.runs.values()):
            self.end(run, "gone", listed=False)
        self.link.set("silent" if silent else "reset")
        self.server.close()
        if how == "left":
            self.listed = False
            self.fleet.store.put("keyed.servers", self.id, b"")

    async def restart(self, labels, pause, entry_delay=0.0):
        """The minion crashes and starts again under its id and address, with `labels`, after `pause` seconds.

        The new life knows nothing of before: `born`, its clock, fence, ends and refused runs begin anew. Its entry is written `entry_delay`
        seconds after its start; until then the store holds that of the life before.
        """
        self.fleet.record("minion restarts", worker=self.id, runs=len(self.runs), before=self.labels, after=labels,
                          pause=f"{pause:.3f}", entry_delay=f"{entry_delay:.3f}")
        self.restarting = self.cut_from_store = True
        self.entry_at = None
        self.link.set("reset")
        self.server.close()
        for run in list(self.runs.values()):
            self.end(run, "gone", listed=False)
        await asyncio.sleep(pause)
        self.life += 1
        self.labels = labels
        self.began = time.monotonic()
        self.born = int(time.time() * 1000)
        self.until = self.token = self.polls = 0
        self.refused, self.ended, self.next_end = {}, [], 1
        self.link.set("up")
        self.server = await serve(self.address, self.handle, self.link)
        self.fleet.record("minion is back", worker=self.id, life=self.life, labels=labels, born=self.born)
        if entry_delay > 0:
            await asyncio.sleep(entry_delay)
        self.cut_from_store = self.restarting = False
        self.report()
        self.fleet.record("entry written", worker=self.id, life=self.life, labels=labels)

    async def watch_lease(self):
        while not self.gone:
            await asyncio.sleep(0.02)
            if self.runs and self.clock() > self.until:
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")

    def used(self):
        total = {"cpu": 0, "memMb": 0, "gpus": 0}
        for run in self.runs.values():
            for name in total:
                total[name] += run.demand[name]
        return total

    def end(self, run, how, listed=True):
        # A timer of an earlier life must not end a run of the same number in this one.
        if self.runs.get((run.task, run.number)) is not run:
            return
        del self.runs[(run.task, run.number)]
        if run.timer:
            run.timer.cancel()
        self.refused[run.task] = max(self.refused.get(run.task, 0), run.number)
        run.ended_at, run.how = time.monotonic(), how
        if listed:
            run.end_number = self.next_end
            self.ended.append([self.next_end, run.task, run.number, how, ""])
            self.next_end += 1
        self.fleet.ends.append((time.monotonic(), self.id, run.task, run.number, how))
        self.fleet.record("run ended", worker=self.id, task=run.task, run=run.number, how=how)
        if run.gang:
            run.gang.member_ended(self, run, how)
        self.changed.set()
        self.changed = asyncio.Event()

    def begin(self, run):
        run.begun = time.monotonic()
        run.timer = asyncio.get_running_loop().call_later(run.duration, self.end, run, "done")

    async def handle(self, method, target, headers, body):
        if headers.get("x-acaciarail-target-instance", self.id) != self.id:
            return 421, b"{}"
        if target == "/health":
            return 200, b"{}"
        request = json.loads(body)
        token = request.get("fenceToken", 0)
        if token < self.token:
            return 409, to_json({"clockMs": self.clock(), "reason": "fence"})
        self.token = token
        if target == "/api/run-start":
            return self.run_start(request)
        if target == "/api/run-stop":
            return self.run_stop(request)
        if target == "/api/hold":
            return await self.hold(request)
        return 404, b"{}"

    def extend(self, until):
        if until is not None:
            self.until = max(self.until, min(until, self.clock() + self.fleet.hold_max_ms))

    def refuse(self, task, number, reason):
        self.fleet.record("start refused", worker=self.id, task=task, run=number, reason=reason)
        return 409, to_json({"clockMs": self.clock(), "reason": reason})

    def run_start(self, request):
        task, number = request["task"], request["run"]
        if request["untilMs"] <= self.clock():
            return self.refuse(task, number, "late")
        if (task, number) in self.runs:
            return 200, to_json({"clockMs": self.clock()})
        self.extend(request["untilMs"])
        if number <= self.refused.get(task, 0):
            return self.refuse(task, number, "old")
        step = self.fleet.step_of(task)
        demand = {name: step.get(name, 0) for name in ("cpu", "memMb", "gpus")}
        used = self.used()
        if any(used[name] + demand[name] > self.capacity[name] for name in demand):
            return self.refuse(task, number, "room")
        run = Run(task, number, time.monotonic(), step["duration"], demand)
        run.worker, run.labels, run.fence, run.life = self, self.labels, self.token, self.life
        run.ends_before, run.life_s, run.polls_before = self.next_end - 1, time.monotonic() - self.began, self.polls
        run.entry_s = run.at - self.entry_at if self.entry_at else None
        run.lease_ms = request["untilMs"] - self.clock()
        self.runs[(task, number)] = run
        self.fleet.runs.append(run)
        self.fleet.starts.append((time.monotonic(), self, task, number))
        self.fleet.record("run started", worker=self.id, labels=self.labels, service=self.service, task=task, run=number)
        if step.get("gang"):
            key = (task.rsplit(".", 1)[0], number)
            gang = self.fleet.gangs.setdefault(key, Gang(self.fleet, step))
            gang.join(self, run)
        else:
            self.begin(run)
        return 200, to_json({"clockMs": self.clock()})

    def run_stop(self, request):
        task, number = request["task"], request["run"]
        self.refused[task] = max(self.refused.get(task, 0), number)
        run = self.runs.get((task, number))
        self.fleet.record("stop", worker=self.id, task=task, run=number, runs=1 if run else 0)
        if run:
            asyncio.get_running_loop().call_later(STOP_S, self.end, run, "stopped")
        return 200, to_json({"clockMs": self.clock()})

    async def hold(self, request):
        life = self.life
        self.extend(request.get("untilMs"))
        seen = request["lastSeen"]
        for end in self.ended:
            if end[0] <= seen:
                self.fleet.acknowledged.append((time.monotonic(), self.id, end[1], end[2], end[3]))
                self.fleet.record("end taken note of", worker=self.id, task=end[1], run=end[2], how=end[3])
        self.ended = [end for end in self.ended if end[0] > seen]
        wait = request.get("waitMs", 0) / 1000
        if wait and not self.ended:
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        if life != self.life:
            # The connection ended with the life that received the call.
            raise ConnectionResetError
        now = time.monotonic()
        self.polls += 1
        running = [[r.task, r.number, "", r.percent(now), r.demand["cpu"]] for r in self.runs.values()]
        return 200, to_json({"clockMs": self.clock(), "born": self.born, "running": running, "ended": self.ended[:500]})


class Gang:
    """One run of a gang: its tasks work from the moment when all are present."""

    def __init__(self, fleet, step):
        self.fleet, self.step = fleet, step
        self.members = []
        self.done = False

    def join(self, worker, run):
        run.gang = self
        run.begun = None
        self.members.append((worker, run))
        if len(self.members) == self.step["count"]:
            racks = {w.labels[1] for w, _ in self.members}
            for w, r in self.members:
                if r.timer:
                    r.timer.cancel()
                r.duration *= FAR_FACTOR if self.step.get("sameRack") and len(racks) > 1 else 1
                w.begin(r)
        else:
            run.timer = asyncio.get_running_loop().call_later(self.fleet.gang_s, worker.end, run, "alone")

    def member_ended(self, worker, run, how):
        if self.done:
            return
        self.done = True
        for other, r in self.members:
            if r is not run:
                other.end(r, how if how == "done" else "broken")
