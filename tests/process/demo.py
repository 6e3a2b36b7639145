"""Runs both example deployments under load, kills an entry instance meanwhile, and prints the outcomes of all work."""

import argparse
import collections
import json
import signal
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor

from harness import ROOT, Deployment

DEPLOYMENTS = [
    {
        "name": "hartwell",
        "zones": [("midwest", "midwest-a"), ("southeast", "southeast-a"), ("northwest", "northwest-a")],
        "service": "retake",
        "cores": 32,
        "memory_mib": 65536,
        "organisations": ["hartwell-unified", "lakeview", "pine-ridge", "saint-brendan"],
    },
    {
        "name": "moreton-bay",
        "zones": [("brisbane", "bne-a"), ("townsville", "tsv-a"), ("toowoomba", "twb-a")],
        "service": "engraving",
        "cores": 64,
        "memory_mib": 131072,
        "organisations": ["mayors-office", "councillors", "event-coordinators", "school-liaison"],
    },
]

SHAPES = [
    # (tasks, accelerators, cores, memory_mib, adjacency, run_time_s)
    (1, 1, 2, 4096, "any", 60),
    (1, 0, 4, 8192, "any", 30),
    (4, 8, 24, 49152, "rack", 240),
    (2, 8, 24, 49152, "rack", 120),
    (16, 1, 2, 4096, "rack", 180),
]


def submit_jobs(deployment, organisations, count):
    """Submits small and gang jobs through all instances; returns the number of responses by error code."""

    def submit(i):
        tasks, accelerators, cores, memory, adjacency, run_time = SHAPES[i % len(SHAPES)]
        args = ["submit", f"--name=job-{i}", f"--kind=shape-{i % len(SHAPES)}", f"--tasks={tasks}", f"--accelerators={accelerators}", f"--cores={cores}",
                f"--memory_mib={memory}", f"--adjacency={adjacency}", f"--run_time_s={run_time}", f"--priority={['normal', 'urgent', 'background'][i % 3]}"]
        if i % 7 == 0:
            args.append("--noidempotent")
        if i % 3 == 0:
            args.append("--checkpointable")
        if i % 19 == 18:
            args[5] = "--accelerators=64"  # fits no worker
        return deployment.cli(*args, token="test-" + organisations[i % len(organisations)])

    with ThreadPoolExecutor(8) as pool:
        results = list(pool.map(submit, range(count)))
    answers = collections.Counter()
    for it in results:
        try:
            code = json.loads(it.stdout or it.stderr).get("code", "accepted")
        except ValueError:
            code = "accepted" if it.returncode == 0 else (it.stderr.strip().splitlines() or ["?"])[0][:60]
        answers[code] += 1
    return answers


def run(config, quick, directory):
    workers, endpoints, jobs, rate, seconds = (8, 12, 40, 200, 5) if quick else (17, 50, 120, 600, 10)
    print(f"== {config['name']}: {3 * workers} workers of 8 accelerators, {endpoints} endpoints, 3 entry instances, {jobs} jobs; "
          f"run times at 1/100")
    failures = []
    with Deployment(config["name"], config["zones"], config["service"], config["cores"], config["memory_mib"], directory=directory) as deployment:
        deployment.start_platform()
        deployment.start_workers(workers, speed=0.01)
        deployment.start_endpoints(endpoints)
        for i, (region, zone) in enumerate(config["zones"]):
            deployment.start_entry(f"entry-{i}", region, zone)
        if not deployment.wait_until(lambda: all(deployment.ready(it) for it in deployment.entries), 10, "entry instances to be ready"):
            return ["not ready"]
        if quick:
            publish_dir = directory + f"/{config['name']}-documents"
            scale_guarantees(config["name"], publish_dir)
        else:
            publish_dir = str(ROOT / "examples" / config["name"])
        published = deployment.cli("publish", publish_dir)
        if published.returncode != 0:
            print(published.stdout, published.stderr)
            return ["publish failed"]
        deployment.wait_until(lambda: all(deployment.holder(zone) for _, zone in config["zones"]), 15, "a holder in each zone")

        callers = ",".join(f"{it}/{it}-office:test-{it}:{8 if i == 0 else 1}" for i, it in enumerate(config["organisations"]))
        entries = ",".join(it["address"] for it in deployment.entries.values())
        load = deployment.start("load_generator", f"--entries={entries}", f"--service={config['service']}", f"--callers={callers}", f"--rate={rate}",
                       f"--seconds={seconds}", "--orders=0.1", "--duplicates=0.3", "--counts=" + ",".join(deployment.endpoint_control))
        with ThreadPoolExecutor(1) as pool:
            submitted = pool.submit(submit_jobs, deployment, config["organisations"], jobs)
            time.sleep(seconds / 2)
            victim = deployment.holder(config["zones"][0][1]) or "entry-0"
            print(f"killing {victim}")
            deployment.entries[victim]["process"].signal(signal.SIGKILL)
            time.sleep(0.5)
            deployment.start_entry(victim, *config["zones"][int(victim[-1])])  # restarted, as the platform would do
            answers = submitted.result()
        cancelled = cancel_some(deployment)
        summary = json.loads(load.child.communicate(timeout=60)[0])
        deployment.wait_until(lambda: all(it["state"] == "finished" for it in deployment.jobs()), 60, "all jobs to finish")
        deployment.wait_until(lambda: audit(deployment)[0] == 0, 20, "a clean audit")
        failures += report(config["name"], deployment, answers, cancelled, summary)
        for name, it in deployment.entries.items():
            it["process"].signal(signal.SIGTERM)
        for name, it in deployment.entries.items():
            if it["process"].wait(10) != 0:
                failures.append(f"{name} did not drain")
    return failures


def scale_guarantees(name, directory):
    """Writes the example documents with half of each guaranteed gang, because --quick runs half as many workers."""
    import pathlib
    import re

    target = pathlib.Path(directory)
    target.mkdir(parents=True, exist_ok=True)
    for source in (ROOT / "examples" / name).glob("*.acaciarail.toml"):
        text = source.read_text()
        text = re.sub(r"^tasks = (\d+)$", lambda m: f"tasks = {max(1, int(m.group(1)) // 2)}", text, flags=re.M)
        (target / source.name).write_text(text)


def cancel_some(deployment):
    waiting = [it["id"] for it in deployment.jobs() if it["state"] == "queued"][:5]
    if waiting:
        deployment.cli("cancel", *waiting)
    return len(waiting)


def audit(deployment):
    completed = deployment.cli("audit")
    try:
        return completed.returncode, json.loads(completed.stdout)
    except ValueError:
        return completed.returncode, {}


def report(name, deployment, answers, cancelled, summary):
    failures = []
    jobs = deployment.jobs()
    outcomes = collections.Counter(it.get("outcome") or it["state"] for it in jobs)
    code, audited = audit(deployment)
    open_paths = [it["subject"] for it in audited.get("paths", []) if it["state"] == "open"]
    faults = audited.get("faults", [])
    rows = [
        ("jobs accepted", answers.get("accepted", 0)),
        ("jobs run", outcomes.get("succeeded", 0)),
        ("jobs failed", outcomes.get("failed", 0)),
        ("jobs lost (non-idempotent, not repeated)", outcomes.get("lost", 0)),
        ("jobs cancelled", outcomes.get("cancelled", 0)),
        ("jobs refused after acceptance", outcomes.get("refused", 0)),
    ]
    rows += [(f"jobs not accepted: {it}", n) for it, n in sorted(answers.items()) if it != "accepted"]
    rows += [
        ("requests sent", summary["total"]["sent"]),
        ("requests answered", summary["total"]["good"]),
    ]
    rows += [(f"requests refused: {it}", n) for it, n in sorted((summary.get("by_code") or {}).items())]
    rows += [(f"requests without answer: {it}", n) for it, n in sorted((summary.get("by_client_failure") or {}).items())]
    orders = summary["orders"]
    rows += [
        ("wrong or truncated answers", summary["wrong"] + summary["truncated"]),
        ("non-idempotent requests", orders["started"]),
        ("repeats of non-idempotent requests", orders["ran_more_than_once"]),
        ("untrue not-run answers", summary["untrue_not_run"]),
        ("accepted work without outcome", len(open_paths)),
        ("audit faults", len(faults)),
    ]
    for label, value in rows:
        print(f"  {label:<48} {value}")
    if outcomes.keys() - {"succeeded", "failed", "lost", "cancelled", "refused"}:
        failures.append(f"{name}: jobs without outcome: {dict(outcomes)}")
    if open_paths:
        failures.append(f"{name}: open in the audit: {open_paths[:5]}")
    if faults or code != 0:
        failures.append(f"{name}: audit exit {code}: {faults[:3]}")
    for key, value in (("wrong answers", summary["wrong"] + summary["truncated"]), ("repeated orders", orders["ran_more_than_once"]),
                       ("untrue not-run", summary["untrue_not_run"])):
        if value:
            failures.append(f"{name}: {key}: {value}")
    return failures


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true", help="smaller sizes and a shorter run")
    quick = parser.parse_args().quick
    failures = []
    with tempfile.TemporaryDirectory() as directory:
        for config in DEPLOYMENTS:
            failures += run(config, quick, directory)
    print("demo: " + ("ok" if not failures else "FAILED"))
    for it in failures:
        print("  " + it)
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
