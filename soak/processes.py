"""Instances under test, as separate processes: started, signalled and monitored by id."""
import asyncio
import contextlib
import json
import os
import pathlib
import shutil
import signal
import time

GRACE_S = 6.0  # `grace_s` of the settings: the process exits within this time after SIGTERM
MAX_FOUNDERS = 3


class Instance:
    """One process; `exit_expected` says whether the soak has signalled it to exit."""

    def __init__(self, role, index, deployment):
        self.role, self.index, self.deployment = role, index, deployment
        self.address = f"127.{deployment.subnet}.{1 if role == 'control' else 2}.{index + 1}"
        self.name = f"{role}-{index}"
        self.folder = deployment.folder / self.name
        self.process = None
        self.start_count = 0
        self.exit_expected = False
        self.disturbances = []  # (start, end) of spans in which the soak disturbs it

    def settings(self, first_start):
        d = self.deployment
        deployment = {
            "founders": [f"127.{d.subnet}.1.{i + 1}:{d.control_port}"
                         for i in range(min(d.control_count, MAX_FOUNDERS))],
            "first_start": first_start, "server_list": f"127.0.0.1:{d.list_port}",
            "server_list_rate": 40.0, "grace_s": int(GRACE_S), "quota_overage": 0.1,
            "quota_slack": d.quota_slack, "quota_window_s": 8}
        http = f"{self.address}:{d.control_port}"
        if self.role == "entry":
            http = f"{self.address}:{d.api_port}"
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
        self.start_count += 1
        self.exit_expected = False
        self.process = await self.launch(file)
        asyncio.create_task(self.watch(self.process))

    async def launch(self, settings_file):
        with open(self.folder / "log.txt", "ab") as log:
            return await asyncio.create_subprocess_exec(
                str(self.deployment.daemon), str(settings_file), stdout=log, stderr=log)

    async def watch(self, process):
        code = await process.wait()
        if process is self.process and not self.exit_expected:
            self.deployment.checker.add_violation("EXIT",
                                                  f"{self.name} ended by itself, code {code}")

    def send_signal(self, signum):
        if self.is_running():
            with contextlib.suppress(ProcessLookupError):  # it ended a moment ago
                os.kill(self.process.pid, signum)

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    async def stop(self, signum, wait_s=GRACE_S + 3.0):
        """Sends a signal and waits for the exit; sends SIGKILL after `wait_s` seconds."""
        self.exit_expected = True
        process = self.process
        self.send_signal(signum)
        try:
            await asyncio.wait_for(process.wait(), wait_s)
        except asyncio.TimeoutError:
            self.deployment.checker.add_violation("STOP",
                                                  f"{self.name} did not end within its grace")
            process.kill()
            await process.wait()

    def wipe(self):
        shutil.rmtree(self.folder / "data", ignore_errors=True)

    def resource_usage(self):
        """Returns the number of open file descriptors and the resident memory in MB."""
        pid = self.process.pid
        files = len(os.listdir(f"/proc/{pid}/fd"))
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
        resident = next(l for l in status.splitlines() if l.startswith("VmRSS")).split()[1]
        return files, int(resident) / 1024

    def record_disturbance(self, seconds):
        now = time.monotonic()
        self.disturbances.append((now, now + seconds))

    def undisturbed(self, since, until, margin=3.0):
        """Whether no disturbance overlaps the span or ends less than `margin` s before it."""
        return all(until < a or since > b + margin for a, b in self.disturbances)


async def kill_all(instances):
    for instance in instances:
        instance.exit_expected = True
        instance.send_signal(signal.SIGCONT)
        instance.send_signal(signal.SIGKILL)
        if instance.process is not None:
            await instance.process.wait()
