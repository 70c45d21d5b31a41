"""Instances under test, as separate processes: started, signalled and watched by id."""
import asyncio
import json
import os
import pathlib
import shutil
import signal
import time

GRACE_S = 6.0  # of the settings: time between SIGTERM and the process's own end


class Instance:
    """One process; `expected_end` says whether it was told to end."""

    def __init__(self, role, index, deployment):
        self.role, self.index, self.deployment = role, index, deployment
        self.address = f"127.{deployment.net}.{1 if role == 'control' else 2}.{index + 1}"
        self.name = f"{role}-{index}"
        self.folder = deployment.folder / self.name
        self.process = None
        self.starts = 0
        self.expected_end = False
        self.disturbed = []  # spans in which the soak did something to this instance

    def settings(self, first_start):
        d = self.deployment
        deployment = {
            "founders": [f"127.{d.net}.1.{i + 1}:{d.control_port}" for i in range(d.controls)],
            "first_start": first_start, "server_list": f"127.0.0.1:{d.list_port}",
            "server_list_rate": 40.0, "grace_s": int(GRACE_S), "quota_overage": 0.1,
            "quota_slack": d.quota_slack, "quota_window_s": 8}
        http = f"{self.address}:{d.control_port}"
        if self.role == "entry":
            http = f"{self.address}:{d.front_port}"
            deployment |= {"readiness": f"{self.address}:{d.ready_port}", "retry_ratio": 0.2,
                           "retry_slack": 50, "retry_window_s": 10}
        content = {"instance": {"address": self.address, "name": self.name, "failure_domain": "a"},
                   "role": self.role, "http": {"listen": http, "threads": 1},
                   "wire": {"listen": f"{self.address}:{d.wire_port}"}, "deployment": deployment}
        if self.role == "control":
            content["data_folder"] = str(self.folder / "data")
        return json.dumps(content, indent=1)  # JSON is YAML

    async def start(self, first_start=False):
        self.folder.mkdir(parents=True, exist_ok=True)
        (self.folder / "data").mkdir(exist_ok=True)
        file = self.folder / "settings.yaml"
        file.write_text(self.settings(first_start))
        self.starts += 1
        self.expected_end = False
        log = open(self.folder / "log.txt", "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(self.deployment.daemon), str(file), stdout=log, stderr=log)
        log.close()
        asyncio.create_task(self.watch(self.process))

    async def watch(self, process):
        code = await process.wait()
        if process is self.process and not self.expected_end:
            self.deployment.ledger.broken("EXIT", f"{self.name} ended by itself, code {code}")

    def send(self, which):
        if self.running():
            os.kill(self.process.pid, which)

    def running(self):
        return self.process is not None and self.process.returncode is None

    async def end(self, which, wait_s=GRACE_S + 3.0):
        """Ends the process with a signal; SIGKILL follows if it stays beyond its grace."""
        self.expected_end = True
        process = self.process
        self.send(which)
        try:
            await asyncio.wait_for(process.wait(), wait_s)
        except asyncio.TimeoutError:
            self.deployment.ledger.broken("STOP", f"{self.name} did not end within its grace")
            process.kill()
            await process.wait()

    def wipe(self):
        shutil.rmtree(self.folder / "data", ignore_errors=True)

    def use(self):
        """Open descriptors and resident memory in MB."""
        pid = self.process.pid
        files = len(os.listdir(f"/proc/{pid}/fd"))
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
        resident = next(l for l in status.splitlines() if l.startswith("VmRSS")).split()[1]
        return files, int(resident) / 1024

    def disturb(self, seconds):
        now = time.monotonic()
        self.disturbed.append((now, now + seconds))

    def calm(self, since, until, margin=3.0):
        """Whether nothing was done to the instance in a span and some time before it."""
        return all(until < a or since > b + margin for a, b in self.disturbed)


async def end_all(instances):
    for item in instances:
        item.expected_end = True
        item.send(signal.SIGCONT)
        item.send(signal.SIGKILL)
        if item.process is not None:
            await item.process.wait()
