#!/usr/bin/env python3
"""A randomised soak of the platform's daemon; see README.md."""
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

import ledger as promises
from processes import Instance, end_all
from servers import EVENT_COUNT, Server, ServerList, answer_body, event, make_manifest, read_message

PLANTS = ["twice", "refused", "own", "leaving", "pause", "stop", "exit", "document", "revert",
          "quota", "recover", "leak"]
RATE = 70            # calls a second
QUOTA = 10.0         # requests a second of the workspace that is limited
QUOTA_SLACK = 20
RECOVERY_S = 12.0    # after the last fault, service is back
STARVED_S = 0.5      # scheduling delay beyond which nothing can be said


class Call:
    def __init__(self, number, kind, entry, key):
        self.id, self.kind, self.entry, self.key = f"c-{number}", kind, entry, key
        self.at_most_once = kind in ("unsafe", "once")
        self.sent = 0.0
        self.told_not_run = False
        self.server_broke = False
        self.status = None

    def is_expected(self, body, runs):
        if self.kind in ("stream", "once"):
            return body == b"".join(event(self.id, n) for n in range(1, EVENT_COUNT + 1))
        return any(body == answer_body(self.id, server) for server, _ in runs)


class World:
    """The deployment under test, its surroundings, and the schedule."""

    def __init__(self, options, folder):
        self.options, self.folder = options, folder
        self.daemon = pathlib.Path(options.daemon).resolve()
        self.plant = options.plant
        self.random = random.Random(options.seed)
        self.ledger = promises.Ledger(options.plant)
        self.net = 64 + options.seed % 128
        base = 20000 + options.seed * 7 % 9000
        self.wire_port, self.control_port, self.front_port, self.ready_port = range(base, base + 4)
        self.controls, self.quota_slack = 3, QUOTA_SLACK
        self.servers, self.calls = [], 0
        self.lag = 0.0
        self.wiped = False
        self.version = 0
        self.last_fault = 0.0
        self.served_late = []  # moments of successes after the last fault

    async def start(self):
        self.list = ServerList(self)
        await self.list.start()
        self.list_port = self.list.port
        for _ in range(4):
            await self.add_server()
        self.control = [Instance("control", i, self) for i in range(self.controls)]
        self.entry = [Instance("entry", i, self) for i in range(self.options.size)]
        for item in self.entry:
            item.stopping = False
        for item in self.control + self.entry:
            shutil.rmtree(item.folder, ignore_errors=True)  # of an earlier run that was kept
            await item.start(first_start=True)
        for _ in range(100):
            if await self.publish() and all([await self.is_ready(e) for e in self.entry]):
                return True
            await asyncio.sleep(0.1)
        return False

    async def add_server(self):
        server = Server(f"i-{len(self.servers)}", self, "s")
        await server.start()
        server.listed = "ready"
        self.servers.append(server)

    # --- calls over sockets ---

    async def http(self, address, port, text, limit_s):
        """Status (None: no head), body, and whether the answer came to its end."""
        reader, writer = await asyncio.wait_for(asyncio.open_connection(address, port), 1.0)
        status, body = None, b""
        try:
            writer.write(text)
            async with asyncio.timeout(limit_s):
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
        version = self.version + 1
        body = make_manifest(version, QUOTA).encode()
        text = b"POST /Config.Put HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        for item in self.random.sample(self.control, len(self.control)):
            try:
                status, _, whole = await self.http(item.address, self.control_port, text, 3.5)
            except (OSError, TimeoutError):
                continue
            if whole and status == 200:
                self.version = version
                told = version + 1 if self.plant == "document" else version
                self.ledger.documents.append((time.monotonic(), told))
                return True
        return False

    async def call(self):
        self.calls += 1
        kind = self.random.choices(["safe", "unsafe", "stream", "once"], [3, 3, 2, 1])[0]
        key = "kq" if self.random.random() < 0.35 else "k"
        entries = [e for e in self.entry if e.running()]
        if not entries:
            return
        call = Call(self.calls, kind, self.random.choice(entries), key)
        self.ledger.calls[call.id] = call
        text = (f"{'GET' if kind == 'safe' else 'POST'} /{kind}/x HTTP/1.1\r\nHost: h.example\r\n"
                f"Attempt-Id: {call.id}\r\nKey: {key}\r\nDeadline-Ms: 4000\r\n"
                "Content-Length: 0\r\n\r\n").encode()
        call.sent = time.monotonic()
        try:
            status, body, whole = await self.http(call.entry.address, self.front_port, text, 6.0)
        except (OSError, TimeoutError):
            self.ledger.counts["refused"] += 1
            return
        # A server that breaks off, or the deadline, may cut a stream; a planned stop may not.
        call.server_broke = (time.monotonic() - call.sent > 3.9 or status is not None or
                             any(s.trick for s in self.servers))
        self.ledger.ended(call, status, body, whole)
        if whole and status == 200 and self.last_fault and call.sent > self.last_fault:
            self.served_late.append(call.sent)

    async def probe_documents(self):
        """Asks entry instances for routes that only one document has."""
        while True:
            await asyncio.sleep(0.25)
            for entry in self.entry:
                if not entry.running() or not self.version:
                    continue
                starts, now = entry.starts, time.monotonic()
                newest = self.version
                for number in {newest, max(1, newest - 1)}:
                    self.calls += 1
                    call = Call(self.calls, "safe", entry, "k")
                    self.ledger.calls[call.id] = call
                    call.sent = time.monotonic()
                    text = (f"GET /doc-{number}/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: "
                            f"{call.id}\r\nKey: k\r\nDeadline-Ms: 1000\r\n\r\n").encode()
                    try:
                        status, _, whole = await self.http(entry.address, self.front_port, text, 2.0)
                    except (OSError, TimeoutError):
                        continue
                    if whole and status == 200 and entry.starts == starts:
                        self.ledger.saw_document(entry, starts, number, call.sent)
                        if self.plant == "revert":
                            self.ledger.saw_document(entry, starts, number - 1, call.sent + 9)
                due = [n for at, n in self.ledger.documents if at < now - promises.APPLY_S]
                seen = self.ledger.seen_document.get((entry.name, starts), (0, 0))[0]
                late = due and seen < due[-1] and self.ledger.documents[-1][1] == due[-1]
                calm = all(i.calm(now - 5.0, now) for i in self.control + [entry])
                served = any(s.trick is None and s.listed == "ready" for s in self.servers)
                if late and calm and served and starts == entry.starts:
                    self.ledger.broken("CONFIG", f"{entry.name} has {seen}, {due[-1]} was acknowledged")

    async def measure_lag(self):
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.02)
            self.lag = max(self.lag, time.monotonic() - before - 0.02)

    # --- faults ---

    def draw_schedule(self):
        kinds = ["term_entry", "term_entry", "kill_entry", "stop_entry", "hup", "term_control",
                 "kill_control", "stop_control", "wipe_control", "server", "server", "server",
                 "leave", "publish", "publish"]
        # A source of its own: what the load draws meanwhile depends on timing.
        draw = random.Random(self.options.seed)
        schedule, at = [], 1.0
        while at < self.options.seconds - 3.0:
            schedule.append((round(at, 2), draw.choice(kinds), draw.random()))
            at += draw.choice([0.1, 0.6, 1.5])
        # What is planted needs the fault that it belongs to.
        forced = {"leaving": "leave", "pause": "server", "stop": "term_entry"}.get(self.plant)
        if forced:
            schedule = [(1.0 + n / 2, forced, 0.99) for n in range(4)]
        return schedule[:self.options.prefix] if self.options.prefix else schedule

    async def inject(self, kind, draw):
        pick = lambda items: items[int(draw * len(items))]
        if kind == "publish":
            await self.publish()
        elif kind == "server":
            ready = [s for s in self.servers if s.listed == "ready"]
            trick = pick(["silent", "reset", "slow", "shed", "pause", "lost", "pause"])
            # At this load one server may get nearly all, so a planted fault is played by all.
            chosen = ready if self.plant == "pause" else [pick(ready)]
            for server in chosen:
                server.trick = trick
            await asyncio.sleep(1.5)
            for server in chosen:
                server.trick = None
        elif kind == "leave":
            ready = [s for s in self.servers if s.listed == "ready" and s.state == "ready"]
            if len(ready) > 2:
                server = pick(ready)
                await self.add_server()
                server.state = "leaving"
                await asyncio.sleep(promises.DRAIN_S + 1.5)  # the list lags behind its answers
                server.listed = "draining"
                await asyncio.sleep(1.5)
                server.listed = None
                await asyncio.sleep(1.0)
                server.go_down()
        elif kind == "hup":
            pick(self.entry + self.control).send(signal.SIGHUP)
        else:
            await self.disturb_instance(kind, pick)

    async def disturb_instance(self, kind, pick):
        what, role = kind.split("_")
        group = self.entry if role == "entry" else self.control
        item = pick(group)
        busy = [i for i in group if i.disturbed and i.disturbed[-1][1] > time.monotonic()]
        if not item.running() or (role == "control" and busy) or item in busy:
            return
        if what == "wipe" and self.wiped:
            return  # a group of three bears the loss of one disk
        self.wiped = self.wiped or what == "wipe"
        item.disturb(9.0 if what == "term" else 4.0)
        if what == "stop":
            item.send(signal.SIGSTOP)
            await asyncio.sleep(1.5)
            item.send(signal.SIGCONT)
        else:
            item.stopping = what == "term"
            which = signal.SIGTERM if what == "term" and self.plant != "stop" else signal.SIGKILL
            await item.end(which)
            if what == "wipe":
                item.wipe()
            await asyncio.sleep(0.3)  # callers that were cut have noticed by then
            item.stopping = False
            await item.start()
        item.disturbed[-1] = (item.disturbed[-1][0], time.monotonic() + 1.0)

    # --- a run ---

    async def load(self, until):
        self.load_until = until
        pending = set()
        while time.monotonic() < self.load_until:
            task = asyncio.create_task(self.call())
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(self.random.expovariate(RATE))
        if pending:
            await asyncio.wait(pending, timeout=8.0)

    async def play(self):
        try:
            return await self.run()
        finally:
            await end_all(getattr(self, "control", []) + getattr(self, "entry", []))

    async def run(self):
        if not await self.start():
            print("soak: the deployment did not start", file=sys.stderr)
            return 3
        watchers = [asyncio.create_task(t) for t in (self.measure_lag(), self.probe_documents())]
        begin = time.monotonic()
        await self.load(begin + 1.5)
        if not all(i.running() for i in self.entry + self.control):
            print("soak: an instance ended at its start; are its ports taken?", file=sys.stderr)
            return 3
        before = {i.name: i.use() for i in self.entry + self.control}
        schedule = self.draw_schedule()
        (self.folder / "schedule.json").write_text(json.dumps(schedule, indent=1))
        loading = asyncio.create_task(self.load(float("inf")))
        faults = []
        for at, kind, draw in schedule:
            await asyncio.sleep(max(0.0, begin + at - time.monotonic()))
            faults.append(asyncio.create_task(self.inject(kind, draw)))
        if self.plant == "exit":
            self.entry[0].process.kill()
        await asyncio.gather(*faults)
        if self.plant == "recover":
            for server in self.servers:
                server.trick = "shed"
        self.last_fault = time.monotonic()
        self.load_until = self.last_fault + RECOVERY_S + 2.0
        await loading
        await self.check_end(before)
        for task in watchers:
            task.cancel()
        return self.report(schedule)

    async def check_end(self, before):
        after = [t for t in self.served_late if t > self.last_fault + RECOVERY_S]
        if len(after) < 0.5 * RATE * 2.0 * 0.65:  # two seconds of load, less what a quota refuses
            self.ledger.broken("RECOVER", f"{len(after)} calls served in the last two seconds")
        self.ledger.check_quota(QUOTA, QUOTA_SLACK)
        await asyncio.sleep(1.0)
        for item in self.entry + self.control:
            if item.starts > 1 or not item.running():
                continue
            files, memory = item.use()
            had_files, had_memory = before[item.name]
            if self.plant == "leak":
                had_files, had_memory = -100, -100
            if files > had_files + 40 or memory > had_memory + 48:
                self.ledger.broken("LEAK", f"{item.name}: {had_files} files, {had_memory:.0f} MB "
                                   f"before, {files} and {memory:.0f} after")
        newest = max((n for _, n in self.ledger.documents), default=0)
        read = None
        for _ in range(20):  # an instance that can't prove the newest document answers 503
            read = read or await self.read_back()
            await asyncio.sleep(0.2)
        if read is None or read < newest:
            self.ledger.broken("CONFIG", f"{newest} was acknowledged, {read} is read back")

    async def read_back(self):
        for item in self.control:
            try:
                status, body, whole = await self.http(
                    item.address, self.control_port,
                    b"GET /Config.Get HTTP/1.1\r\nHost: x\r\n\r\n", 2.0)
            except (OSError, TimeoutError):
                continue
            if whole and status == 200:
                return json.loads(body)["version"]
        return None

    def report(self, schedule):
        kinds = sorted({promise for promise, _ in self.ledger.faults})
        print(f"soak seed={self.options.seed} seconds={self.options.seconds} "
              f"size={self.options.size} faults={len(schedule)} calls={self.calls} "
              f"answers={dict(self.ledger.counts)} delay_ms={self.lag * 1e3:.0f}")
        for promise, what in self.ledger.faults[:12]:
            print(f"  broken {promise}: {what}")
        if self.lag > STARVED_S:
            print(f"  starved: a scheduling delay of {self.lag:.2f} s; this run says nothing")
            return 2
        print("  " + (f"promises broken: {', '.join(kinds)}" if kinds else "no promise broken"))
        return 1 if kinds else 0


def find_prefix(options, folder):
    """The smallest prefix of the schedule that still fails, by halving."""
    length = len(json.loads((folder / "schedule.json").read_text()))
    low, high = 0, length
    while low + 1 < high:
        middle = (low + high) // 2
        again = subprocess.run([sys.executable, __file__, "--daemon", options.daemon, "--seed",
                                str(options.seed), "--seconds", str(options.seconds), "--size",
                                str(options.size), "--prefix", str(middle)],
                               stdout=subprocess.DEVNULL, check=False)
        low, high = (low, middle) if again.returncode == 1 else (middle, high)
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
        print("\n".join(PLANTS))
        return 0
    if options.plant not in (None, *PLANTS) or not pathlib.Path(options.daemon).exists():
        parser.error("no such plant, or no daemon at that path")
    with tempfile.TemporaryDirectory(prefix="tarragon-soak-") as scratch:
        folder = pathlib.Path(options.keep or scratch)
        folder.mkdir(parents=True, exist_ok=True)
        world = World(options, folder)
        code = asyncio.run(world.play())
        if code == 1 and options.minimise:
            find_prefix(options, folder)
        return code


if __name__ == "__main__":
    sys.exit(main())
