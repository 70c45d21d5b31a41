"""A small deployment for the review's scripts.

Starts the project's own program with the commands, templates and environment of deploy/system.toml
on loopback addresses, as separate processes, and plays the platform: the settings files, the list of
servers, the operator and backend servers. Uses the Python standard library only.
"""
import http.client
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
FRONT_PORT, READINESS_PORT, CONTROL_PORT = 8221, 8224, 8229
INTERNAL_PORTS = [7600, 7615]
LIST_RATE_PER_S = 40.0
LONGEST_RUN_S = 115  # a script may run for 120 s
BOUNDS = {"seed_lag_s": 3, "address_reuse_s": 2, "stable_window_ms": 3000, "ack_ms": 4000,
          "catch_up_s": 4, "drain_ms": 3000, "grace_s": 8, "loss_slack_ms": 200,
          "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
          "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 52,
          "quota_window_s": 8, "quota_overage": 0.1, "quota_slack": 190000, "recovery_s": 12,
          "pass_ms": 120, "retry_after_s": 10}


def lookup(fields, path):
    value = fields
    for name in path.split("."):
        if isinstance(value, list):
            value = value[int(name)] if int(name) < len(value) else None
        else:
            value = (value or {}).get(name)
    return value


def render(template, fields):
    """Fills in the placeholders that the project's templates use: `{{a.b}}` and `{{a|json}}`."""
    def replace(match):
        path, _, form = match.group(1).partition("|")
        value = lookup(fields, path)
        if form == "json":
            return json.dumps(value)
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(map(str, value))
        return "" if value is None else str(value)
    return re.sub(r"\{\{([^}#^/]+)\}\}", replace, template)


def read_roles(deploy_file):
    """Returns command, template and environment of each role of the deploy file."""
    roles, role = {}, None
    for line in deploy_file.read_text(encoding="utf-8").splitlines():
        section = re.fullmatch(r"\[(?:roles\.)?([\w-]+)\]", line.strip())
        if section:
            role = roles.setdefault(section.group(1), {"env": {}})
            continue
        name, _, value = line.partition("=")
        if role is None or name.strip() not in ("run", "template", "env"):
            continue
        if name.strip() == "env":
            role["env"] = dict(re.findall(r'(\w+)\s*=\s*"([^"]*)"', value))
        else:
            role[name.strip()] = value.strip().strip('"')
    return roles


class Record:
    """record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.lock = threading.Lock()

    def write(self, text):
        with self.lock:
            line = f"{time.monotonic() - self.started:8.3f} {text}"
            self.file.write(line + "\n")
            self.file.flush()
            print(line, flush=True)


class CannotRun(Exception):
    """The case could not be tried; the script ends with exit code 2."""


class Machine:
    """One machine of the platform with one process."""

    def __init__(self, deployment, role, name, address, zone):
        self.deployment, self.role, self.name = deployment, role, name
        self.address, self.zone = address, zone
        self.folder = deployment.folder / name
        self.folder.mkdir()
        (self.folder / "data").mkdir()
        self.process = None
        self.is_removed = False    # for good; the operator's list does not name it any more
        self.has_started = False

    def fields(self, first_start):
        is_core = self.role == "control"
        return {
            "node_name": self.name, "role": self.role, "ip": self.address, "zone": self.zone,
            "machine_class": "core" if is_core else "edge",
            "listen": {"control": f"{self.address}:{CONTROL_PORT}",
                       "front": f"{self.address}:{FRONT_PORT}",
                       "readiness": f"{self.address}:{READINESS_PORT}"},
            "internal_port_range": INTERNAL_PORTS, "seeds": self.deployment.seeds(),
            "first_start": first_start, "data_dir": str(self.folder / "data") if is_core else None,
            "cloud": {"address": self.deployment.list_address, "rate_per_s": LIST_RATE_PER_S},
            "bounds": BOUNDS}

    def start(self, first_start=False):
        role = self.deployment.roles[self.role]
        settings = self.folder / "boot.yaml"
        template = (REPOSITORY / role["template"]).read_text()
        settings.write_text(render(template, self.fields(first_start)))
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": str(self.folder),
                       "LANG": "C.UTF-8"}
        for name, value in role.get("env", {}).items():
            environment[name] = value.replace("/etc/tarragonspar/boot.yaml", str(settings))
        with open(self.folder / "log.txt", "ab") as log:
            self.process = subprocess.Popen(role["run"].split(), cwd=REPOSITORY, env=environment,
                                            stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.has_started = True
        self.deployment.record.write(f"start   {self.name} at {self.address}"
                                     f"{' first start' if first_start else ''}")

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)
            self.deployment.record.write(f"signal  {signal.Signals(number).name} to {self.name}")

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def runs(self):
        return self.process is not None and self.process.poll() is None


class Deployment:
    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self.roles = read_roles(REPOSITORY / "deploy/system.toml")
        for role in self.roles.values():
            if not (REPOSITORY / role["run"].split()[0]).exists():
                raise CannotRun(f"{role['run']} is not built")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.subnet, self.reservation = self.reserve_subnet()
        self.machines, self.servers, self.stopping = [], [], False
        self.is_founded = False
        self.list_socket = self.listen_free()
        self.list_address = f"127.0.0.1:{self.list_socket.getsockname()[1]}"
        threading.Thread(target=self.serve_list, daemon=True).start()

    @staticmethod
    def reserve_subnet():
        """Returns the second number of free loopback addresses, and the socket that reserves it.

        The socket is bound as long as the deployment lasts, so that two scripts that run at the
        same time take different addresses.
        """
        numbers = list(range(20, 250))
        random.shuffle(numbers)
        for number in numbers:
            reservation = socket.socket()
            try:
                reservation.bind((f"127.{number}.0.1", INTERNAL_PORTS[0]))
                for port in (FRONT_PORT, READINESS_PORT, CONTROL_PORT, *INTERNAL_PORTS):
                    with socket.socket() as probe:
                        probe.bind((f"127.{number}.1.1", port))
                return number, reservation
            except OSError:
                reservation.close()
        raise CannotRun("no free loopback addresses")

    @staticmethod
    def listen_free(address="127.0.0.1"):
        server = socket.socket()
        server.bind((address, 0))
        server.listen(256)
        return server

    def add(self, role, zone="z1"):
        index = sum(m.role == role for m in self.machines)
        address = f"127.{self.subnet}.{1 if role == 'control' else 2}.{index + 1}"
        machine = Machine(self, role, f"{role}-{index + 1}", address, zone)
        self.machines.append(machine)
        return machine

    def controls(self):
        return [m for m in self.machines if m.role == "control" and m.runs()]

    def seeds(self):
        """The `control` addresses of three machines, as the operator's list has them.

        Machines that are down for a while stay in the list; those that were removed don't. At the
        first start all machines get the same three addresses.
        """
        controls = [m for m in self.machines if m.role == "control" and not m.is_removed]
        listed = [m for m in controls if m.has_started] if self.is_founded else controls
        return [f"{m.address}:{CONTROL_PORT}" for m in listed[:3]]

    def start_all(self):
        """Starts the whole system for the first time."""
        for machine in list(self.machines):
            machine.start(first_start=True)
        self.is_founded = True

    def check_processes(self):
        """Raises `CannotRun` where a process ended by itself, so that no case is due to that."""
        for machine in self.machines:
            if not machine.is_removed and not machine.runs():
                raise CannotRun(f"{machine.name} does not run, code {machine.process.returncode}")

    # --- the platform's list of servers ---

    def serve_list(self):
        while not self.stopping:
            try:
                connection, _ = self.list_socket.accept()
            except OSError:
                return
            threading.Thread(target=self.answer_list, args=(connection,), daemon=True).start()

    def answer_list(self, connection):
        with connection:
            try:
                connection.settimeout(5)
                data = b""
                while b"\r\n\r\n" not in data:
                    received = connection.recv(4096)
                    if not received:
                        return
                    data += received
                entries = [s.entry() for s in self.servers if s.listed]
                body = json.dumps({"instances": entries, "next": None}).encode()
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                   b"Connection: close\r\nContent-Length: %d\r\n\r\n" % len(body)
                                   + body)
            except OSError:
                return

    # --- the operator ---

    def call_control(self, machine, method, path, body=None, timeout_s=1.0):
        """Returns the status and the body, or None where there was no clear answer in time."""
        connection = http.client.HTTPConnection(machine.address, CONTROL_PORT, timeout=timeout_s)
        try:
            connection.request(method, path, body, {"Content-Type": "application/json"})
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def publish(self, manifest, within_s):
        """Sends a manifest, to one machine after the other, until it is acknowledged."""
        body = json.dumps(manifest)
        until = time.monotonic() + within_s
        tries = 0
        while time.monotonic() < until:
            controls = self.controls()
            machine = controls[tries % len(controls)]
            tries += 1
            answer = self.call_control(machine, "POST", "/Config.Put", body)
            if answer and answer[0] == 200:
                self.record.write(f"put     version {manifest['version']} acknowledged by "
                                  f"{machine.name} at try {tries}")
                return True
            if answer and answer[0] in (400, 409, 412, 413, 422):
                self.record.write(f"put     version {manifest['version']} refused by "
                                  f"{machine.name}: {answer[0]} {answer[1][:120]!r}")
                return False
            time.sleep(0.1)
        self.record.write(f"put     version {manifest['version']} not acknowledged in {within_s} s "
                          f"and {tries} tries")
        return False

    def read(self, within_s):
        """Returns the version that is read back, from whichever machine answers, or None."""
        until = time.monotonic() + within_s
        tries = 0
        while time.monotonic() < until:
            controls = self.controls()
            machine = controls[tries % len(controls)]
            tries += 1
            answer = self.call_control(machine, "GET", "/Config.Get")
            if answer and answer[0] == 200:
                version = json.loads(answer[1])["version"]
                self.record.write(f"get     version {version} read from {machine.name}")
                return version
            time.sleep(0.1)
        self.record.write(f"get     nothing read in {within_s} s and {tries} tries")
        return None

    def leader(self, within_s=8.0):
        """Returns the control machine whose log says last that it leads."""
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            for machine in self.controls():
                lines = (machine.folder / "log.txt").read_text(errors="replace").splitlines()
                states = [l for l in lines if "event=control_group " in l]
                if states and " leads=1 " in states[-1] and " is_current=1 " in states[-1]:
                    return machine
            time.sleep(0.05)
        return None

    def end(self):
        self.stopping = True
        for machine in self.machines:
            if machine.process is not None and machine.runs():
                os.kill(machine.process.pid, signal.SIGCONT)
                machine.process.kill()
            if machine.process is not None:
                machine.process.wait()
        for server in self.servers:
            server.close()
        self.list_socket.close()
        self.reservation.close()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def manifest(version, routes=(), services=("s",), tenants=None):
    content = {
        "version": version,
        "routes": [route("base"), *routes],
        "services": [{"name": name, "health_path": "/health", "max_connections": 96,
                      "protocol": "h1", "tls": False} for name in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
    if tenants is not None:
        content["tenants"] = tenants
    return content


def route(name, kind="safe", service="s", attempts=2, resumable=False, anonymous=True):
    return {"name": name, "host": "h.example", "path_prefix": f"/{name}/", "kind": kind,
            "timeout_ms": 3000, "target_latency_ms": 300, "priority": 0, "service": service,
            "max_attempts": attempts, "allow_anonymous": anonymous, "session_affinity": False,
            "resumable": resumable, "target_gap_ms": 800}


def run_case(case_folder, play):
    """Plays a case and returns its exit code: 1 the rule was broken, 0 it held, 2 it couldn't run."""
    deployment = None
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, lambda *_: sys.exit(2))  # still ends all processes
    signal.alarm(LONGEST_RUN_S)
    trouble = sys.argv[1:] != ["--trouble", "off"]
    try:
        deployment = Deployment(case_folder)
        deployment.record.write(f"trouble {'on' if trouble else 'off'}")
        broken = play(deployment, trouble)
        deployment.record.write(f"result  {'BROKEN: ' + broken if broken else 'held'}")
        return 1 if broken else 0
    except CannotRun as why:
        print(f"the case can't run: {why}", flush=True)
        if deployment is not None:
            deployment.record.write(f"result  can't run: {why}")
        return 2
    except Exception:  # an error of the script is no result
        traceback.print_exc()
        return 2
    finally:
        if deployment is not None:
            deployment.end()
