"""A small deployment of the real programs on loopback, with stand-ins for all that is outside it.

The stand-ins follow the users' pages: the platform renders the settings templates and lists the
servers, servers answer one request on each channel, the operator sends complete manifests.
"""
import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
BOUNDS = {
    "seed_lag_s": 3, "address_reuse_s": 2, "stable_window_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 3000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "rollback_slack_ms": 250, "max_stretch_ms": 5000, "strict_revocation": False,
    "revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 52,
    "quota_window_s": 8, "quota_overage": 0.1, "quota_slack": 190000, "recovery_s": 12,
    "pass_ms": 120, "retry_after_s": 10}


# --- the provider's templates ---

def _find(scopes, path):
    if path == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in path.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def render(template, fields):
    """Fills in a template that has no sections."""
    def one(match):
        name, _, form = match.group(1).partition("|")
        value = _find([fields], name)
        if form == "json":
            return json.dumps(value)
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(str(item) for item in value)
        return json.dumps(value) if isinstance(value, dict) else str(value)
    return re.sub(r"\{\{([^{}#^/]+)\}\}", one, template)


# --- HTTP ---

async def read_head(reader):
    """Returns the start line and the headers (lower-case names; the last value counts)."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return head[0], headers


class Answer:
    """What a client got: `complete` says whether the answer ended as HTTP says."""

    def __init__(self):
        self.status, self.headers, self.body, self.complete, self.error = None, {}, b"", False, ""
        self.closed = False

    def __str__(self):
        return (f"status={self.status} complete={self.complete} bytes={len(self.body)} "
                f"signature={self.headers.get('response-signature')} error={self.error!r}")


async def read_answer(reader, answer):
    start, answer.headers = await read_head(reader)
    answer.status = int(start.split(" ", 2)[1])
    if "chunked" in answer.headers.get("transfer-encoding", "").lower():
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0].strip(), 16)
            answer.body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                break
    else:
        length = int(answer.headers.get("content-length", 0))
        answer.body = await reader.readexactly(length)
    answer.complete = True


async def call(address, port, request, timeout_s=15.0, answer=None):
    """Sends one request on a new channel."""
    answer = answer or Answer()
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(address, port), 1.0)
        writer.write(request)
        async with asyncio.timeout(timeout_s):
            await read_answer(reader, answer)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as error:
        answer.error = type(error).__name__
    finally:
        if writer:
            writer.close()
    return answer


def make_request(method, path, attempt, headers=(), body=b"", key="k1", deadline_ms=5000):
    lines = [f"{method} {path} HTTP/1.1", "Host: h.example", f"Attempt-Id: {attempt}",
             f"Key: {key}", f"Deadline-Ms: {deadline_ms}", *headers]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


# --- the provider, servers ---

class Server:
    """A backend server: one request on a channel, at most `slots` at a time.

    `behave(server, start, headers, body, reader, writer)` writes the answer; the default is a
    sound server with `work_s` of work.
    """

    def __init__(self, deployment, name, service, slots=6, work_s=0.02):
        self.deployment, self.name, self.service, self.slots = deployment, name, service, slots
        self.work_s, self.behave, self.state = work_s, None, "ready"
        self.born = int(time.time() * 1000)
        self.writers = set()

    async def start(self, port=0):
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.listener.sockets[0].getsockname()[1]

    def entry(self):
        models = [{"name": "m", "version": 1, "adapters": []}] if self.service == "models" else []
        return {"id": self.name, "service": self.service, "address": f"127.0.0.1:{self.port}",
                "zone": "a", "version": "v1", "slots": self.slots, "state": self.state,
                "cold_remaining_ms": 0, "stage": "both", "models": models, "born": self.born}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            start, headers = await read_head(reader)
            attempt = headers.get("attempt-id", "")
            if headers.get("expect-instance", self.name) != self.name:
                writer.write(self.answer(421, attempt, b"", ["Not-Executed: 1"]))
                return
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            self.deployment.record(f"server {self.name} runs {attempt} {start}")
            self.deployment.runs.setdefault(attempt, []).append((self.name, time.monotonic()))
            if self.behave:
                await self.behave(self, start, headers, body, reader, writer)
            else:
                await asyncio.sleep(self.work_s)
                writer.write(self.answer(200, attempt, f"ran {attempt}".encode()))
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            try:
                writer.close()
            except OSError:
                pass

    @staticmethod
    def answer(status, attempt, body, extra=("Response-Signature: sig",), close=True):
        lines = [f"HTTP/1.1 {status} X", f"Attempt-Id: {attempt}", *extra,
                 f"Content-Length: {len(body)}"] + (["Connection: close"] if close else [])
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    def crash(self):
        """Ends the server: no listener, all channels reset."""
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Process:
    def __init__(self, deployment, role, index):
        self.deployment, self.role, self.index = deployment, role, index
        self.ip = f"127.{deployment.subnet}.{1 if role == 'control' else 2}.{index + 1}"
        self.name = f"{'core' if role == 'control' else 'edge'}-{index + 1}"
        self.folder = deployment.folder / self.name
        self.process = None
        self.expected_end = False

    def fields(self, first_start):
        d = self.deployment
        control = self.role == "control"
        listen = ({"control": f"{self.ip}:{d.ports[0]}"} if control else
                  {"front": f"{self.ip}:{d.ports[1]}", "readiness": f"{self.ip}:{d.ports[2]}"})
        return {"node_name": self.name, "role": self.role,
                "machine_class": "core" if control else "edge", "ip": self.ip, "zone": "a",
                "region": "r", "zones": {"a": "r"}, "listen": listen,
                "internal_port_range": [d.ports[3], d.ports[3] + 1],
                "seeds": [f"127.{d.subnet}.1.{i + 1}:{d.ports[0]}"
                          for i in range(min(3, d.core_count))],
                "first_start": first_start, "counts_toward_tolerance": control,
                "limits": {"cpu_share": 0.25, "cpu_cores": 1, "memory_mb": 256 if control else 260,
                           "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 128 if control else 0},
                "data_dir": str(self.folder / "data") if control else None, "bounds": BOUNDS,
                "discovery": "cloud", "entry": "vip",
                "cloud": {"address": f"127.0.0.1:{d.list_port}", "rate_per_s": 40.0, "duties": [],
                          "max_lag_ms": 800}}

    async def start(self, first_start=False):
        self.folder.mkdir(parents=True, exist_ok=True)
        (self.folder / "data").mkdir(exist_ok=True)
        role = self.deployment.roles[self.role]
        template = (ROOT / role["template"]).read_text()
        settings = self.folder / "boot.yaml"
        settings.write_text(render(template, self.fields(first_start)))
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= dict(role.get("env", {}))
        # The provider places the settings file; here it stands in the test's own folder.
        env["TARRAGOND_SETTINGS"] = env["TARRAGONSPAR_BOOT"] = str(settings)
        self.expected_end = False
        with open(self.folder / "log.txt", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *[str(ROOT / word) if i == 0 else word
                  for i, word in enumerate(role["run"].split())],
                cwd=ROOT, env=env, stdout=log, stderr=log)
        self.deployment.record(f"{self.name} started")

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.is_running():
            self.deployment.record(f"{self.name} gets {signal.Signals(number).name}")
            os.kill(self.process.pid, number)

    async def kill(self):
        self.expected_end = True
        self.signal(signal.SIGKILL)
        await self.process.wait()

    def log(self):
        return (self.folder / "log.txt").read_text(errors="replace")


class Deployment:
    def __init__(self, record_file, cores=3, edges=2):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="tarragon-review-"))
        self.record_file = open(record_file, "w", encoding="utf-8")
        self.begin = time.monotonic()
        self.core_count = cores
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.roles = deploy["roles"]
        self.subnet, self.ports = self.free_place()
        self.servers, self.runs, self.list_fault = [], {}, None
        self.cores = [Process(self, "control", i) for i in range(cores)]
        self.edges = [Process(self, "entry", i) for i in range(edges)]
        self.version = 0

    @staticmethod
    def free_place():
        draw = random.SystemRandom()
        while True:
            subnet, base = draw.randrange(20, 250), draw.randrange(20000, 29000)
            try:
                for offset in range(6):
                    with socket.socket() as probe:
                        probe.bind((f"127.{subnet}.1.1", base + offset))
                return subnet, [base, base + 1, base + 2, base + 3]
            except OSError:
                continue

    def record(self, text):
        self.record_file.write(f"{time.monotonic() - self.begin:8.3f} {text}\n")
        self.record_file.flush()

    async def start(self, manifest):
        listing = await asyncio.start_server(self.serve_list, "127.0.0.1", 0)
        self.list_port = listing.sockets[0].getsockname()[1]
        for process in self.cores + self.edges:
            await process.start(first_start=True)
        for _ in range(60):
            if await self.publish(manifest):
                break
            await asyncio.sleep(0.25)
        else:
            return False
        for _ in range(60):
            if all([await self.is_ready(edge) for edge in self.edges]):
                return True
            await asyncio.sleep(0.1)
        return False

    async def add_server(self, name, service, **more):
        server = Server(self, name, service, **more)
        await server.start()
        self.servers.append(server)
        return server

    async def serve_list(self, reader, writer):
        try:
            await read_head(reader)
            body = json.dumps({"instances": [s.entry() for s in self.servers if s.state],
                               "next": None}).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close"
                         b"\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def is_ready(self, edge):
        got = await call(edge.ip, self.ports[2], b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", 1.0)
        return got.status == 200

    async def put(self, core, manifest, timeout_s=1.0):
        body = json.dumps(manifest).encode()
        got = await call(core.ip, self.ports[0],
                         b"POST /Config.Put HTTP/1.1\r\nHost: x\r\nContent-Type: application/json"
                         b"\r\nContent-Length: %d\r\n\r\n" % len(body) + body, timeout_s)
        self.record(f"operator puts {manifest['version']} at {core.name}: {got}")
        return got

    async def get(self, core, timeout_s=2.0):
        got = await call(core.ip, self.ports[0], b"GET /Config.Get HTTP/1.1\r\nHost: x\r\n\r\n",
                         timeout_s)
        return json.loads(got.body)["version"] if got.complete and got.status == 200 else None

    async def publish(self, manifest):
        for core in self.cores:
            got = await self.put(core, manifest)
            if got.complete and got.status == 200:
                self.version = manifest["version"]
                return True
        return False

    async def send(self, edge, request, timeout_s=15.0, answer=None):
        return await call(edge.ip, self.ports[1], request, timeout_s, answer)

    async def end(self):
        for process in self.cores + self.edges:
            process.expected_end = True
            if process.is_running():
                os.kill(process.process.pid, signal.SIGCONT)
                os.kill(process.process.pid, signal.SIGKILL)
                await process.process.wait()
        for server in self.servers:
            server.crash()
        self.record_file.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, kind, service, attempts=1, **more):
    return {"name": name, "host": "h.example", "path_prefix": f"/{name}/", "kind": kind,
            "timeout_ms": 5000, "target_latency_ms": 300, "priority": 0, "service": service,
            "max_attempts": attempts, "allow_anonymous": False, "session_affinity": False,
            "resumable": False, "target_gap_ms": 800} | more


def make_manifest(version, routes, services=("desk", "models")):
    engine = {"slots": 4, "kv_capacity": 492195, "kv_token_bytes": 18432, "link_mbps": 370000.0,
              "moves": True, "backups": True, "stride": 4, "most": 12, "pin_ms": 4000.0,
              "hold_ms": 2000.0, "handle_s": 5.0, "models": [{"name": "m"}]}
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/health", "max_connections": 96,
                          "protocol": "h1", "tls": False} |
                         ({"engine": engine} if name == "models" else {}) for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "t1", "api_keys": ["k1"], "priority": 1, "unit": "tokens",
                         "plain_tokens": 200, "rate_per_s": 0, "burst": 0}]}


def run(main, record_file, **size):
    """Runs `main(deployment, trouble)`; it returns the list of broken rules, or None if it could
    not run. Exits with 1 if a rule was broken, 0 if not, 2 if the case couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def guarded():
        deployment = Deployment(record_file, **size)
        try:
            async with asyncio.timeout(110):
                broken = await main(deployment, trouble)
            text = ("the case could not run" if broken is None else
                    f"{len(broken)} broken: " + "; ".join(broken[:10]) if broken else
                    "no rule broken")
            deployment.record(text)
            print(text)
            return 2 if broken is None else 1 if broken else 0
        except TimeoutError:
            deployment.record("the case took too long")
            print("the case took too long")
            return 2
        finally:
            await deployment.end()

    sys.exit(asyncio.run(guarded()))
