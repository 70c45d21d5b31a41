#!/usr/bin/env python3
"""Memory, descriptors and service of an instance beside misbehaving clients; see README.md."""
import argparse
import asyncio
import collections
import contextlib
import json
import pathlib
import resource
import signal
import subprocess
import sys
import tempfile
import time

import crowd_clients as clients
import servers
from crowd_clients import MB
from processes import Instance
from soak import QUOTA_RATE, Deployment

# Settings that give the instance a small machine. A daemon that does not know one of them (its
# --check rejects the file) is run without it, and has to stay within the same bounds.
MACHINE_MB = 64
BUDGET_BYTES = 8 * MB  # twice the largest request, the smallest budget that the specification allows
SOCKET_BUFFER_BYTES = 65536
SMALL_MACHINE = {"deployment.memory_mb": MACHINE_MB,
                 "http.limits.max_buffered_bytes": BUDGET_BYTES,
                 "http.limits.socket_buffer_bytes": SOCKET_BUFFER_BYTES}
DESCRIPTOR_LIMIT = 4096  # as on the machines of the specification
LOW_DESCRIPTOR_LIMIT = 500  # exhausted by the largest crowd
RESERVED_DESCRIPTORS = 200

# Memory bounds, from the resident memory that the same process had before the crowd ("rest"):
#   peak: rest + budget + budget + clients * CONNECTION_BYTES, at most the machine's memory. The
#     second budget is an allowance for buffers that are held twice while they grow, and for
#     fragmentation; a connection has its read buffer, its parser and its coroutine.
#   after the clients have left: rest + budget, since the allocator may keep what it can reuse.
CONNECTION_BYTES = 64 * 1024
# Bytes in a connection's kernel buffers: a receive and a send buffer, each of which the kernel
# makes twice as large as requested. They count towards the memory of the process.
QUEUED_BYTES = 2 * 2 * SOCKET_BUFFER_BYTES
SPARE_DESCRIPTORS = 32  # files and connections between instances that are opened during the crowd

SETTLE_S = 15.0  # the clients have this long to send
HOLD_S = 2.0  # the connections are then held at least this long
ANSWER_S = 30.0  # an ordinary request is retried this long
RELEASE_S = 30.0  # memory is back below its bound this long after the clients have left
SAMPLE_S = 0.1
REST_REQUESTS = 40

Case = collections.namedtuple("Case", "name target port clients behave reads descriptors")


def case(name, count, behave, target="entry", port="api_port", reads=True,
         descriptors=DESCRIPTOR_LIMIT):
    return Case(name, target, port, count, behave, reads, descriptors)


CASES = [
    case("bodies", 100, clients.body("/unsafe/x")),
    case("bodies-no-route", 100, clients.body("/none/x")),
    case("bodies-readiness", 100, clients.body("/ready"), port="ready_port"),
    case("chunks-64", 100, clients.chunked(64, clients.BODY_BYTES)),
    case("chunks-1", 100, clients.chunked(1, clients.SMALL_BODY_BYTES)),
    case("fields-open", 300, clients.fields(complete=False)),
    case("fields-complete", 300, clients.fields(complete=True)),
    case("oversized", 30, clients.oversized),
    case("pipelined", 50, clients.pipelined, reads=False),
    case("slow-senders", 200, clients.slow_sender),
    case("slow-readers", 80, clients.slow_reader, reads=False),
    case("half-open", 550, clients.silent, descriptors=LOW_DESCRIPTOR_LIMIT),
    case("operators", 100, clients.body("/Config.Put"), "control", "control_port"),
    case("wire-garbage", 50, clients.wire_garbage, "control", "wire_port"),
    case("wire-huge", 50, clients.wire_huge, "control", "wire_port"),
    case("wire-idle", 550, clients.silent, "control", "wire_port",
         descriptors=LOW_DESCRIPTOR_LIMIT),
]


class CouldNotRun(Exception):
    pass


class LargeServer(servers.Server):
    """A backend server with answers of 4 MB at paths that end with /large."""

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=MB)
        self.port = self.server.sockets[0].getsockname()[1]

    async def handle_request(self, reader, writer):
        while True:
            start, headers, _ = await servers.read_message(reader)
            request_id, path = headers.get("attempt-id", ""), start.split(" ")[1]
            fields = ["Response-Signature: s"]
            if path.startswith("/stream/"):
                await self.stream_large(writer, request_id, fields)
                continue
            answer = bytes(4 * MB - 1024) if path.endswith("/large") else \
                servers.answer_body(request_id, self.name)
            writer.write(self.response(request_id, 200, fields, answer))
            await writer.drain()

    async def stream_large(self, writer, request_id, fields):
        lines = ["HTTP/1.1 200 OK", f"Attempt-Id: {request_id}", *fields,
                 "Content-Type: text/event-stream", "Transfer-Encoding: chunked", "", ""]
        writer.write("\r\n".join(lines).encode())
        for number in range(1, 4097):
            data = f"id: {number}\ndata: {'x' * 1000}\n\n".encode()
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class SmallInstance(Instance):
    """An instance on a small machine, with a limit on its descriptors."""

    def settings(self, first_start):
        content = json.loads(super().settings(first_start))
        for path, value in self.deployment.machine.items():
            set_path(content, path, value)
        return json.dumps(content, indent=1)

    async def launch(self, settings_file):
        # Set before the daemon starts, since it may derive its number of connections from it.
        count = self.deployment.descriptors
        with open(self.folder / "log.txt", "ab") as log:
            return await asyncio.create_subprocess_exec(
                str(self.deployment.daemon), str(settings_file), stdout=log, stderr=log,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (count, count)))

    def status_kb(self, field):
        """Returns 0 for a process that has ended, which the checks on processes report."""
        with contextlib.suppress(OSError):
            for line in pathlib.Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith(field + ":"):
                    return int(line.split()[1])
        return 0

    def queued_bytes(self):
        """Bytes in the receive and send queues of the TCP sockets at this instance's address."""
        octets = "".join(f"{int(part):02X}" for part in reversed(self.address.split(".")))
        total = 0
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            columns = line.split()
            if columns[1].startswith(octets) and columns[3] != "0A":  # 0A: a listening socket
                total += sum(int(queue, 16) for queue in columns[4].split(":"))
        return total


def set_path(content, path, value):
    *parents, last = path.split(".")
    for name in parents:
        content = content.setdefault(name, {})
    content[last] = value


def accepted_settings(options, folder):
    """Returns those of `SMALL_MACHINE` that the daemon's --check accepts."""
    deployment = CrowdDeployment(options, folder, CASES[0], {})
    deployment.list_port = 1
    instance = SmallInstance("entry", 0, deployment)

    def is_accepted(machine):
        deployment.machine = machine
        file = folder / "check.yaml"
        file.write_text(instance.settings(True))
        run = subprocess.run([deployment.daemon, "--check", file], capture_output=True, text=True,
                             timeout=30, check=False)
        return run.returncode == 0, run.stdout + run.stderr

    accepted, output = is_accepted({})
    if not accepted:
        raise CouldNotRun(f"the daemon rejects the settings of an entry instance: {output}")
    return {path: value for path, value in SMALL_MACHINE.items() if is_accepted({path: value})[0]}


class CrowdDeployment(Deployment):
    """One deployment for one case."""

    instance_type = SmallInstance
    services = ["s"] * 3

    def __init__(self, options, folder, chosen, machine):
        super().__init__(options, folder)
        self.case, self.machine, self.descriptors = chosen, machine, chosen.descriptors
        several = chosen.port == "wire_port"
        self.control_count = 3 if several else 1
        self.options.size = 2 if several else 1
        self.sampled = {"descriptors": 0, "queued_bytes": 0}
        self.failures, self.figures = [], {}

    async def add_server(self, service="s"):
        server = LargeServer(f"i-{len(self.servers)}", self, service)
        await server.start()
        server.listed_state = "ready"
        self.servers.append(server)

    async def publish(self):
        """Publishes through the first control instance, with limits that allow large heads."""
        version = self.published_version + 1
        document = json.loads(servers.make_document(version, QUOTA_RATE))
        document["limits"] = {"max_header_bytes": 65536, "max_body_bytes": clients.BODY_BYTES,
                              "header_timeout_ms": 10000, "idle_timeout_ms": 15000}
        body = json.dumps(document).encode()
        request = b"POST /Config.Put HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body)
        with contextlib.suppress(OSError, TimeoutError):
            status, _, complete = await self.http(self.control_instances[0].address,
                                                  self.control_port, request + body, 3.5)
            if complete and status == 200:
                self.published_version = version
                return True
        return False

    async def request(self):
        self.calls += 1
        call = clients.head("GET", "/safe/x", request_id=f"ordinary-{self.calls}")
        with contextlib.suppress(OSError, TimeoutError):
            status, _, complete = await self.http(self.entry_instances[0].address, self.api_port,
                                                  call, 3.0)
            return complete and status == 200
        return False

    async def until(self, attempt, seconds):
        end = time.monotonic() + seconds
        while not await attempt():
            if time.monotonic() > end:
                return False
            await asyncio.sleep(0.2)
        return True

    def expect(self, check, value, bound, held):
        self.figures[check] = {"value": value, "bound": bound, "held": held}
        if not held:
            self.failures.append(f"case={self.case.name} check={check} value={value} bound={bound}")

    def expect_below(self, check, value, bound):
        self.expect(check, value, bound, value <= bound)

    async def sample(self, instance):
        while True:
            with contextlib.suppress(OSError, StopIteration):  # the process has ended
                self.sampled["descriptors"] = max(self.sampled["descriptors"],
                                                  instance.resource_usage()[0])
                self.sampled["queued_bytes"] = max(self.sampled["queued_bytes"],
                                                   instance.queued_bytes())
            await asyncio.sleep(SAMPLE_S)

    async def run_schedule(self):
        if not await self.start():
            raise CouldNotRun(f"case {self.case.name}: the deployment did not start")
        for _ in range(REST_REQUESTS):
            if not await self.until(self.request, ANSWER_S):
                raise CouldNotRun(f"case {self.case.name}: no answer before the crowd")
        await asyncio.sleep(1.0)
        instances = self.control_instances + self.entry_instances
        before = {i.name: i.process.pid for i in instances}
        target = (self.control_instances if self.case.target == "control" else
                  self.entry_instances)[0]
        files_at_rest, _ = target.resource_usage()
        rest = target.status_kb("VmRSS") * 1024
        crowd = clients.Crowd(target.address, getattr(self, self.case.port), self.case.clients,
                              self.case.behave, self.options.seed, self.case.reads)
        sampling = asyncio.create_task(self.sample(target))
        crowd.start()
        try:
            settled = await self.until_settled(crowd)
            answered = await self.until(self.request, ANSWER_S)
            await asyncio.sleep(HOLD_S)
        finally:
            await crowd.stop()
        lives = all(i.is_running() and i.process.pid == before[i.name] for i in instances)
        self.expect("lives", lives, True, lives)
        if lives:
            released = await self.await_release(target, rest + BUDGET_BYTES)
            answered_after = await self.until(self.request, ANSWER_S)
            published = await self.until(self.publish, ANSWER_S)
            lives = all(i.is_running() for i in instances)
            self.expect("lives_after", lives, True, lives)
        sampling.cancel()
        if not lives:
            return
        self.expect("answered_during", answered, True, answered)
        self.expect("answered_after", answered_after, True, answered_after)
        self.expect("published_after", published, True, published)
        count = self.case.clients
        peak_bound = min(rest + 2 * BUDGET_BYTES + count * CONNECTION_BYTES, MACHINE_MB * MB)
        self.expect_below("peak_kb", target.status_kb("VmHWM"), peak_bound // 1024)
        self.expect_below("released_kb", released // 1024, (rest + BUDGET_BYTES) // 1024)
        # Each request needs a descriptor for its connection and one for that to its server.
        self.expect_below("descriptors", self.sampled["descriptors"],
                          min(self.descriptors - RESERVED_DESCRIPTORS,
                              files_at_rest + 2 * count + SPARE_DESCRIPTORS))
        self.expect_below("queued_kb", self.sampled["queued_bytes"] // 1024,
                          count * QUEUED_BYTES // 1024)
        self.figures |= {"rest_kb": rest // 1024, "descriptors_at_rest": files_at_rest,
                         "clients": count, "closed_by_instance": crowd.closed_by_peer,
                         "all_sent": settled}

    async def until_settled(self, crowd):
        async def attempt():
            return crowd.settled()
        return await self.until(attempt, SETTLE_S)

    async def await_release(self, target, bound):
        """Returns the resident memory once it is within the bound, or after `RELEASE_S`."""
        end = time.monotonic() + RELEASE_S
        while target.status_kb("VmRSS") * 1024 > bound and time.monotonic() < end:
            await asyncio.sleep(0.2)
        return target.status_kb("VmRSS") * 1024


async def run_case(options, folder, chosen, machine):
    deployment = CrowdDeployment(options, folder / chosen.name, chosen, machine)
    await deployment.run()
    for server in deployment.servers:
        server.shut_down()
    deployment.server_list.server.close()
    for promise, detail in deployment.checker.violations:
        deployment.failures.append(f"case={chosen.name} check={promise} value={detail} bound=none")
    summary = " ".join(f"{name}={f['value']}/{f['bound']}" if isinstance(f, dict) else f"{name}={f}"
                       for name, f in deployment.figures.items())
    print(f"crowd case={chosen.name} {'FAILED' if deployment.failures else 'held'} {summary}")
    for failure in deployment.failures:
        print(f"  failed {failure}")
    sys.stdout.flush()
    return {"case": chosen.name, "seed": options.seed, "held": not deployment.failures,
            "failures": deployment.failures, "figures": deployment.figures}


def run_all(options, chosen):
    results = []
    with tempfile.TemporaryDirectory(prefix="tarragon-crowd-") as scratch:
        folder = pathlib.Path(options.keep or scratch)
        folder.mkdir(parents=True, exist_ok=True)
        try:
            machine = accepted_settings(options, folder)
            print(f"crowd seed={options.seed} settings={sorted(machine) or 'none of the new ones'}")
            for one in chosen:
                results.append(asyncio.run(run_case(options, folder, one, machine)))
        except (CouldNotRun, clients.ClientError, OSError, subprocess.SubprocessError) as error:
            print(f"crowd: could not run: {error}", file=sys.stderr)
            return 1 if any(not r["held"] for r in results) else 2
        finally:
            if options.json:
                pathlib.Path(options.json).write_text(json.dumps(results, indent=1) + "\n")
    return 0 if all(r["held"] for r in results) else 1


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--daemon", default="build/platform/tarragond-platform")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--case", help="one case instead of all; `list` prints their names")
    parser.add_argument("--keep", help="keeps settings and logs in this folder")
    parser.add_argument("--json", help="writes the figures to this file")
    parser.set_defaults(plant=None, size=1)
    try:
        options = parser.parse_args()
    except SystemExit as end:
        return 3 if end.code else 0
    if options.case == "list":
        print("\n".join(c.name for c in CASES))
        return 0
    chosen = [c for c in CASES if options.case in (None, c.name)]
    if not chosen or not pathlib.Path(options.daemon).exists():
        print("crowd: unknown case, or daemon not found at the given path", file=sys.stderr)
        return 3
    # The clients and backend servers need more descriptors than the usual soft limit.
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)
    return run_all(options, chosen)


if __name__ == "__main__":
    sys.exit(main())
