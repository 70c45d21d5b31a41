#!/usr/bin/env python3
"""Randomised soak test of the platform's daemon; see README.md."""
import argparse
import asyncio
import json
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time

import ledger as checks
from processes import Instance, kill_all
from servers import EVENT_COUNT, Server, ServerList, answer_body, event, make_document, read_message

PLANTED_FAULTS = ["twice", "refused", "own", "leaving", "pause", "stop", "exit", "document",
                  "revert", "quota", "recover", "leak"]
CALL_RATE = 70  # calls per second
QUOTA_RATE = 10.0  # requests per second of the workspace with a quota
QUOTA_SLACK = 20
RECOVERY_TIMEOUT_S = 12.0  # service has recovered this long after the last fault
MAX_SCHEDULING_DELAY_S = 0.5  # a run with a longer scheduling delay is inconclusive


class Call:
    def __init__(self, number, kind, entry, key):
        self.id, self.kind, self.entry, self.key = f"c-{number}", kind, entry, key
        self.at_most_once = kind in ("unsafe", "once")
        self.sent = 0.0
        self.reported_not_executed = False
        self.cut_allowed = False
        self.status = None

    def is_expected(self, body, executions):
        if self.kind in ("stream", "once"):
            return body == b"".join(event(self.id, n) for n in range(1, EVENT_COUNT + 1))
        return any(body == answer_body(self.id, server) for server, _ in executions)


class Deployment:
    """The deployment under test, the test doubles around it, and the schedule of faults."""

    instance_type = Instance
    services = ["s"] * 4  # one server each

    def __init__(self, options, folder):
        self.options, self.folder = options, folder
        self.daemon = pathlib.Path(options.daemon).resolve()
        self.plant = options.plant
        self.random = random.Random(options.seed)
        self.checker = checks.Checker(options.plant)
        self.subnet = 64 + options.seed % 128
        base = 20000 + options.seed * 7 % 9000
        self.wire_port, self.control_port, self.api_port, self.ready_port = range(base, base + 4)
        self.control_count, self.quota_slack = 3, QUOTA_SLACK
        self.servers, self.calls = [], 0
        self.scheduling_delay = 0.0
        self.disk_wiped = False
        self.published_version = 0
        self.last_fault_at = 0.0
        self.successes_after_faults = []  # when calls were sent that succeeded after the last fault

    async def start(self):
        self.server_list = ServerList(self)
        await self.server_list.start()
        self.list_port = self.server_list.port
        for service in self.services:
            await self.add_server(service)
        self.control_instances = [self.instance_type("control", i, self)
                                  for i in range(self.control_count)]
        self.entry_instances = [self.instance_type("entry", i, self)
                                for i in range(self.options.size)]
        for instance in self.entry_instances:
            instance.shutting_down = False
        for instance in self.control_instances + self.entry_instances:
            shutil.rmtree(instance.folder, ignore_errors=True)  # left by an earlier run with --keep
            await instance.start(first_start=True)
        for _ in range(100):
            if await self.publish() and all([await self.is_ready(e) for e in self.entry_instances]):
                return True
            await asyncio.sleep(0.1)
        return False

    async def add_server(self, service="s"):
        server = Server(f"i-{len(self.servers)}", self, service)
        await server.start()
        server.listed_state = "ready"
        self.servers.append(server)

    # --- calls over sockets ---

    async def http(self, address, port, request, timeout_s):
        """Returns status (None without a head), body, and whether the answer is complete."""
        reader, writer = await asyncio.wait_for(asyncio.open_connection(address, port), 1.0)
        status, body = None, b""
        try:
            writer.write(request)
            async with asyncio.timeout(timeout_s):
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                status = int(head.split(" ", 2)[1])
                if "chunked" in head.lower():
                    while True:
                        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                        body += (await reader.readexactly(size + 2))[:-2]
                        if size == 0:
                            return status, body, True
                length = next((int(l.split(":")[1]) for l in head.split("\r\n")
                               if l.lower().startswith("content-length")), 0)
                body = await reader.readexactly(length)
                return status, body, True
        except (ConnectionError, asyncio.IncompleteReadError, TimeoutError, OSError):
            return status, body, False
        finally:
            writer.close()

    async def is_ready(self, entry):
        try:
            status, _, _ = await self.http(entry.address, self.ready_port,
                                           b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", 1.0)
            return status == 200
        except (OSError, TimeoutError):
            return False

    async def publish(self):
        version = self.published_version + 1
        body = make_document(version, QUOTA_RATE).encode()
        request = b"POST /Config.Put HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(
            body) + body
        for instance in self.random.sample(self.control_instances, len(self.control_instances)):
            try:
                status, _, complete = await self.http(instance.address, self.control_port,
                                                      request, 3.5)
            except (OSError, TimeoutError):
                continue
            if complete and status == 200:
                self.published_version = version
                recorded_version = version + 1 if self.plant == "document" else version
                self.checker.acknowledged.append((time.monotonic(), recorded_version))
                return True
        return False

    async def call(self):
        self.calls += 1
        kind = self.random.choices(["safe", "unsafe", "stream", "once"], [3, 3, 2, 1])[0]
        key = "kq" if self.random.random() < 0.35 else "k"
        entries = [e for e in self.entry_instances if e.is_running()]
        if not entries:
            return
        call = Call(self.calls, kind, self.random.choice(entries), key)
        self.checker.calls[call.id] = call
        request = (f"{'GET' if kind == 'safe' else 'POST'} /{kind}/x HTTP/1.1\r\n"
                   f"Host: h.example\r\nAttempt-Id: {call.id}\r\nKey: {key}\r\n"
                   "Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n").encode()
        call.sent = time.monotonic()
        try:
            status, body, complete = await self.http(call.entry.address, self.api_port, request,
                                                     6.0)
        except (OSError, TimeoutError):
            self.checker.outcome_counts["refused"] += 1
            return
        # A server that fails or the deadline may cut a stream; a graceful shutdown may not.
        call.cut_allowed = (time.monotonic() - call.sent > 3.9 or status is not None or
                            any(s.fault for s in self.servers))
        self.checker.on_answer(call, status, body, complete)
        if complete and status == 200 and self.last_fault_at and call.sent > self.last_fault_at:
            self.successes_after_faults.append(call.sent)

    async def probe_documents(self):
        """Requests, from each entry instance, routes that only one document version has."""
        while True:
            await asyncio.sleep(0.25)
            for entry in self.entry_instances:
                if not entry.is_running() or not self.published_version:
                    continue
                start_count, now = entry.start_count, time.monotonic()
                newest = self.published_version
                for version in {newest, max(1, newest - 1)}:
                    self.calls += 1
                    call = Call(self.calls, "safe", entry, "k")
                    self.checker.calls[call.id] = call
                    call.sent = time.monotonic()
                    request = (f"GET /doc-{version}/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: "
                               f"{call.id}\r\nKey: k\r\nDeadline-Ms: 1000\r\n\r\n").encode()
                    try:
                        status, _, complete = await self.http(entry.address, self.api_port,
                                                              request, 2.0)
                    except (OSError, TimeoutError):
                        continue
                    if complete and status == 200 and entry.start_count == start_count:
                        self.checker.on_document_served(entry, start_count, version, call.sent)
                        if self.plant == "revert":
                            self.checker.on_document_served(entry, start_count, version - 1,
                                                            call.sent + 9)
                due = [n for at, n in self.checker.acknowledged
                       if at < now - checks.APPLY_TIMEOUT_S]
                seen = self.checker.newest_served.get((entry.name, start_count), (0, 0))[0]
                late = due and seen < due[-1] and self.checker.acknowledged[-1][1] == due[-1]
                undisturbed = all(i.undisturbed(now - 5.0, now)
                                  for i in self.control_instances + [entry])
                served = any(s.fault is None and s.listed_state == "ready" for s in self.servers)
                if late and undisturbed and served and start_count == entry.start_count:
                    self.checker.add_violation(
                        "CONFIG", f"{entry.name} has {seen}, {due[-1]} was acknowledged")

    async def measure_scheduling_delay(self):
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.02)
            self.scheduling_delay = max(self.scheduling_delay, time.monotonic() - before - 0.02)

    # --- faults ---

    def draw_schedule(self):
        kinds = ["term_entry", "term_entry", "kill_entry", "stop_entry", "hup", "term_control",
                 "kill_control", "stop_control", "wipe_control", "server", "server", "server",
                 "leave", "publish", "publish"]
        # A separate generator, since the draws of the concurrent load depend on timing.
        draw = random.Random(self.options.seed)
        schedule, at = [], 1.0
        while at < self.options.seconds - 3.0:
            schedule.append((round(at, 2), draw.choice(kinds), draw.random()))
            at += draw.choice([0.1, 0.6, 1.5])
        # Some planted faults only show under one kind of injected fault.
        forced = {"leaving": "leave", "pause": "server", "stop": "term_entry"}.get(self.plant)
        if forced:
            schedule = [(1.0 + n / 2, forced, 0.99) for n in range(4)]
        return schedule[:self.options.prefix] if self.options.prefix else schedule

    async def inject(self, kind, draw):
        pick = lambda items: items[int(draw * len(items))]
        if kind == "publish":
            await self.publish()
        elif kind == "server":
            ready = [s for s in self.servers if s.listed_state == "ready"]
            fault = pick(["silent", "reset", "slow", "shed", "pause", "lost", "pause"])
            # One server may get nearly all of this load: a planted fault goes to every server.
            chosen = ready if self.plant == "pause" else [pick(ready)]
            for server in chosen:
                server.fault = fault
            await asyncio.sleep(1.5)
            for server in chosen:
                server.fault = None
        elif kind == "leave":
            ready = [s for s in self.servers if s.listed_state == "ready" and s.state == "ready"]
            if len(ready) > 2:
                server = pick(ready)
                await self.add_server()
                server.state = "leaving"
                await asyncio.sleep(checks.DRAIN_DELAY_S + 1.5)  # the list lags behind the notice
                server.listed_state = "draining"
                await asyncio.sleep(1.5)
                server.listed_state = None
                await asyncio.sleep(1.0)
                server.shut_down()
        elif kind == "hup":
            pick(self.entry_instances + self.control_instances).send_signal(signal.SIGHUP)
        else:
            await self.disturb_instance(kind, pick)

    async def disturb_instance(self, kind, pick):
        action, role = kind.split("_")
        instances = self.entry_instances if role == "entry" else self.control_instances
        instance = pick(instances)
        disturbed = [i for i in instances
                     if i.disturbances and i.disturbances[-1][1] > time.monotonic()]
        if not instance.is_running() or (role == "control" and disturbed) or instance in disturbed:
            return
        if action == "wipe" and self.disk_wiped:
            return  # a control group of three tolerates the loss of one disk
        self.disk_wiped = self.disk_wiped or action == "wipe"
        instance.record_disturbance(9.0 if action == "term" else 4.0)
        if action == "stop":
            instance.send_signal(signal.SIGSTOP)
            await asyncio.sleep(1.5)
            instance.send_signal(signal.SIGCONT)
        else:
            instance.shutting_down = action == "term"
            signum = signal.SIGTERM if action == "term" and self.plant != "stop" else signal.SIGKILL
            await instance.stop(signum)
            if action == "wipe":
                instance.wipe()
            await asyncio.sleep(0.3)  # callers have seen cut connections by then
            instance.shutting_down = False
            await instance.start()
        instance.disturbances[-1] = (instance.disturbances[-1][0], time.monotonic() + 1.0)

    # --- a run ---

    async def load(self, until):
        self.load_until = until
        pending = set()
        while time.monotonic() < self.load_until:
            task = asyncio.create_task(self.call())
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(self.random.expovariate(CALL_RATE))
        if pending:
            await asyncio.wait(pending, timeout=8.0)

    async def run(self):
        try:
            return await self.run_schedule()
        finally:
            await kill_all(getattr(self, "control_instances", []) +
                           getattr(self, "entry_instances", []))

    async def run_schedule(self):
        if not await self.start():
            print("soak: the deployment did not start", file=sys.stderr)
            return 3
        monitors = [asyncio.create_task(t)
                    for t in (self.measure_scheduling_delay(), self.probe_documents())]
        begin = time.monotonic()
        await self.load(begin + 1.5)
        if not all(i.is_running() for i in self.entry_instances + self.control_instances):
            print("soak: an instance exited during startup; check whether its ports are in use",
                  file=sys.stderr)
            return 3
        before = {i.name: i.resource_usage() for i in self.entry_instances + self.control_instances}
        schedule = self.draw_schedule()
        (self.folder / "schedule.json").write_text(json.dumps(schedule, indent=1))
        loading = asyncio.create_task(self.load(float("inf")))
        faults = []
        for at, kind, draw in schedule:
            await asyncio.sleep(max(0.0, begin + at - time.monotonic()))
            faults.append(asyncio.create_task(self.inject(kind, draw)))
        if self.plant == "exit":
            self.entry_instances[0].process.kill()
        await asyncio.gather(*faults)
        if self.plant == "recover":
            for server in self.servers:
                server.fault = "shed"
        self.last_fault_at = time.monotonic()
        self.load_until = self.last_fault_at + RECOVERY_TIMEOUT_S + 2.0
        await loading
        await self.check_final_state(before)
        for task in monitors:
            task.cancel()
        return self.report(schedule)

    async def check_final_state(self, before):
        after = [t for t in self.successes_after_faults
                 if t > self.last_fault_at + RECOVERY_TIMEOUT_S]
        # Half of two seconds of load; 0.65 is the share of calls without a quota.
        if len(after) < 0.5 * CALL_RATE * 2.0 * 0.65:
            self.checker.add_violation("RECOVER",
                                       f"{len(after)} calls served in the last two seconds")
        self.checker.check_quota(QUOTA_RATE, QUOTA_SLACK)
        await asyncio.sleep(1.0)
        for instance in self.entry_instances + self.control_instances:
            if instance.start_count > 1 or not instance.is_running():
                continue
            files, memory = instance.resource_usage()
            had_files, had_memory = before[instance.name]
            if self.plant == "leak":
                had_files, had_memory = -100, -100
            if files > had_files + 40 or memory > had_memory + 48:
                self.checker.add_violation(
                    "LEAK", f"{instance.name}: {had_files} files, {had_memory:.0f} MB "
                    f"before, {files} and {memory:.0f} after")
        newest = max((n for _, n in self.checker.acknowledged), default=0)
        read = None
        for _ in range(20):  # an instance that can't confirm the newest document answers 503
            read = read or await self.read_back()
            await asyncio.sleep(0.2)
        if read is None or read < newest:
            self.checker.add_violation("CONFIG", f"{newest} was acknowledged, {read} is read back")

    async def read_back(self):
        for instance in self.control_instances:
            version = await self.read_from(instance)
            if version is not None:
                return version
        return None

    async def read_from(self, instance):
        """Returns the version that a control instance reads back, None without an answer."""
        try:
            status, body, complete = await self.http(
                instance.address, self.control_port,
                b"GET /Config.Get HTTP/1.1\r\nHost: x\r\n\r\n", 2.0)
        except (OSError, TimeoutError):
            return None
        return json.loads(body)["version"] if complete and status == 200 else None

    def report(self, schedule):
        kinds = sorted({promise for promise, _ in self.checker.violations})
        print(f"soak seed={self.options.seed} seconds={self.options.seconds} "
              f"size={self.options.size} faults={len(schedule)} calls={self.calls} "
              f"answers={dict(self.checker.outcome_counts)} "
              f"delay_ms={self.scheduling_delay * 1e3:.0f}")
        for promise, detail in self.checker.violations[:12]:
            print(f"  broken {promise}: {detail}")
        if self.scheduling_delay > MAX_SCHEDULING_DELAY_S:
            print(f"  starved: a scheduling delay of {self.scheduling_delay:.2f} s; "
                  "this run says nothing")
            return 2
        print("  " + (f"promises broken: {', '.join(kinds)}" if kinds else "no promise broken"))
        return 1 if kinds else 0


def find_failing_prefix(options, folder):
    """Finds the smallest prefix of the schedule that still fails, by bisection."""
    length = len(json.loads((folder / "schedule.json").read_text()))
    low, high = 0, length
    while low + 1 < high:
        middle = (low + high) // 2
        rerun = subprocess.run([sys.executable, __file__, "--daemon", options.daemon, "--seed",
                                str(options.seed), "--seconds", str(options.seconds), "--size",
                                str(options.size), "--prefix", str(middle)],
                               stdout=subprocess.DEVNULL, check=False)
        low, high = (low, middle) if rerun.returncode == 1 else (middle, high)
    print(f"  smallest prefix that fails: {high} of {length} faults")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--daemon", default="build/platform/tarragond-platform")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--size", type=int, default=3)
    parser.add_argument("--keep")
    parser.add_argument("--plant")
    parser.add_argument("--prefix", type=int, default=0)
    parser.add_argument("--minimise", action="store_true")
    options = parser.parse_args()
    if options.plant == "list":
        print("\n".join(PLANTED_FAULTS))
        return 0
    if options.plant not in (None, *PLANTED_FAULTS) or not pathlib.Path(options.daemon).exists():
        parser.error("unknown planted fault, or daemon not found at the given path")
    with tempfile.TemporaryDirectory(prefix="tarragon-soak-") as scratch:
        folder = pathlib.Path(options.keep or scratch)
        folder.mkdir(parents=True, exist_ok=True)
        deployment = Deployment(options, folder)
        code = asyncio.run(deployment.run())
        if code == 1 and options.minimise:
            find_failing_prefix(options, folder)
        return code


if __name__ == "__main__":
    sys.exit(main())
