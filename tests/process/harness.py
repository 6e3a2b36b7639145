"""Starts the stand-ins and entry instances of one deployment on loopback, for the demo and the process tests."""

import json
import os
import re
import signal
import subprocess
import time
import urllib.error
import urllib.request
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
OPERATOR_TOKEN = "test-operator"
OPERATOR_SHA256 = "1a3bde4175d7cfb457a7710efe93909a67389f0b4b64e25ce75d182308f2f738"


class Process:
    """A child process that prints its ports in the first lines of its output."""

    def __init__(self, args, log_path):
        self.log = open(log_path, "ab")
        self.child = subprocess.Popen(args, stdout=subprocess.PIPE, stderr=self.log, stdin=subprocess.DEVNULL, text=True)

    def read_lines(self, count):
        lines = []
        for _ in range(count):
            line = self.child.stdout.readline()
            if not line:
                raise RuntimeError(f"{self.child.args[0]} ended before it announced its ports")
            lines.append(line.strip())
        return lines

    def signal(self, number):
        if self.child.poll() is None:
            self.child.send_signal(number)

    def wait(self, timeout):
        try:
            return self.child.wait(timeout)
        except subprocess.TimeoutExpired:
            self.child.kill()
            return self.child.wait()

    def close(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.child.wait()
        self.child.stdout.close()
        self.log.close()


class Deployment:
    """One platform, its workers and endpoints, and entry instances. Use as a context manager: it ends all its processes."""

    def __init__(self, name, zones, service, cores, memory_mib, build="release", run_for=300, directory=None):
        self.name = name
        self.zones = zones  # list of (region, zone)
        self.service = service
        self.cores = cores
        self.memory_mib = memory_mib
        self.bin = ROOT / "build" / build / "bin"
        self.run_for = run_for
        self.directory = Path(directory)
        self.processes = []
        self.entries = {}
        self.platform = ""
        self.endpoint_control = []

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for it in self.processes:
            it.close()

    def start(self, program, *args):
        process = Process([str(self.bin / program), *map(str, args)], self.directory / f"{self.name}-{program}.log")
        self.processes.append(process)
        return process

    def start_platform(self, **flags):
        process = self.start("platform_standin", f"--run_for={self.run_for}", *[f"--{k}={v}" for k, v in flags.items()])
        line = process.read_lines(1)[0]
        self.platform = "127.0.0.1:" + re.search(r"port=(\d+)", line).group(1)
        return process

    def start_workers(self, per_zone, speed=1.0, **flags):
        for i, (region, zone) in enumerate(self.zones):
            process = self.start("worker_standin", f"--platform={self.platform}", f"--run_for={self.run_for}", f"--workers={per_zone}",
                                 f"--name_prefix={zone}-w", f"--region={region}", f"--zone={zone}", f"--cores={self.cores}",
                                 f"--memory_mib={self.memory_mib}", f"--speed={speed}", f"--seed={i + 1}",
                                 *[f"--{k}={v}" for k, v in flags.items()])
            process.read_lines(per_zone)

    def start_endpoints(self, count, service_ms=20):
        zones = ",".join(f"{region}/{zone}" for region, zone in self.zones)
        process = self.start("endpoint_standin", f"--platform={self.platform}", f"--run_for={self.run_for}", f"--service={self.service}",
                             f"--count={count}", f"--zones={zones}", f"--service_ms={service_ms}", f"--prefix={self.service}")
        lines = process.read_lines(count)
        self.endpoint_control.append("127.0.0.1:" + re.search(r"port=(\d+)", lines[0]).group(1))
        return process

    def start_entry(self, name, region, zone):
        process = self.start("acaciaraild", f"--name={name}", f"--region={region}", f"--zone={zone}", f"--platform_address={self.platform}",
                             f"--bootstrap_operator_token_sha256={OPERATOR_SHA256}")
        line = process.read_lines(1)[0]
        ports = dict(it.split("=") for it in line.split())
        entry = {"process": process, "address": "127.0.0.1:" + ports["caller_port"], "region": region, "zone": zone}
        self.entries[name] = entry
        self.control({"add": {"name": name, "kind": "entry", "address": "127.0.0.1:" + ports["peer_port"], "region": region, "zone": zone,
                              "state": "live"}})
        return entry

    def control(self, body):
        return http("POST", self.platform, "/control", body)

    def cli(self, *args, token=OPERATOR_TOKEN, entry=None, timeout=20):
        servers = [self.entries[entry]] if entry else list(self.entries.values())
        command = [str(self.bin / "acaciarail"), *map(str, args), "--server=" + ",".join(it["address"] for it in servers), "--output=json"]
        completed = subprocess.run(command, env={**os.environ, "ACACIARAIL_TOKEN": token}, capture_output=True, text=True, timeout=timeout)
        return completed

    def wait_until(self, condition, seconds, what):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if condition():
                return True
            time.sleep(0.05)
        print(f"{self.name}: gave up waiting for {what}")
        return False

    def ready(self, name):
        status, _ = http("GET", self.entries[name]["address"], "/readyz")
        return status == 200

    def status(self, name):
        _, body = http("GET", self.entries[name]["address"], "/v1/status", token=OPERATOR_TOKEN)
        return body if isinstance(body, dict) else {}

    def holder(self, zone):
        """Returns the entry instance that holds the first shard of a zone, or an empty string."""
        for name, it in self.entries.items():
            if it["zone"] == zone and any(s["holder"] and s["recovered"] for s in self.status(name).get("shards", [])):
                return name
        return ""

    def jobs(self):
        for name in self.entries:
            status, body = http("GET", self.entries[name]["address"], "/v1/jobs", token=OPERATOR_TOKEN)
            if status == 200:
                return body["jobs"]
        return []


def http(method, address, path, body=None, token=None, headers=None, timeout=5):
    """Returns (status, parsed JSON or text); status 0 when there was no response."""
    request = urllib.request.Request(f"http://{address}{path}", method=method, data=None if body is None else json.dumps(body).encode())
    for key, value in (headers or {}).items():
        request.add_header(key, value)
    if token:
        request.add_header("Authorization", "Bearer " + token)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as reply:
            status, text = reply.status, reply.read().decode()
    except urllib.error.HTTPError as e:
        status, text = e.code, e.read().decode()
    except OSError:
        return 0, ""
    try:
        return status, json.loads(text)
    except ValueError:
        return status, text
