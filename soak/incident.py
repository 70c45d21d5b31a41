#!/usr/bin/env python3
"""Randomised faults around the acknowledgement of a document; see README.md."""
import argparse
import asyncio
import collections
import contextlib
import json
import pathlib
import random
import resource
import signal
import sys
import tempfile
import time

import documents
from processes import Instance
from soak import MAX_SCHEDULING_DELAY_S, Call, Deployment

PLANTED_FAULTS = ["denied", "refused", "old-service", "regress", "read", "resend", "final",
                  "acknowledgement", "route"]
QUIET_KINDS = ["lost", "resend", "publish"]
KINDS = QUIET_KINDS + ["publish", "kill", "kill", "away", "away", "disk_leader", "disk_leader",
                       "disk_other", "stop_leader", "stop_leader", "orphan"]
ABSENT_S = 9.5  # a control instance without contact is removed from a group of four after 8 s
CALM_S = 6.0  # without faults for this long, the newest document is in force everywhere
PUT_TIMEOUT_S = 3.5
PUBLISH_TIMEOUT_S = 8.0  # an operator gives up on a document after this time


class LimitedInstance(Instance):
    """An instance whose files can be kept from growing; its log goes through a pipe instead."""

    def __init__(self, role, index, deployment):
        super().__init__(role, index, deployment)
        self.leads, self.down, self.disk_failures = False, False, 0

    async def launch(self, settings_file):
        # Python ignores SIGXFSZ, and so does the child: its write fails as on a full disk.
        process = await asyncio.create_subprocess_exec(
            str(self.deployment.daemon), str(settings_file), stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT, restore_signals=False, limit=1 << 20)
        self.leads = False
        self.begin_disturbance()[1] = time.monotonic() + 1.0
        self.log_task = asyncio.create_task(self.keep_log(process))
        return process

    async def keep_log(self, process):
        with open(self.folder / "log.txt", "ab", buffering=0) as log:
            async for line in process.stdout:
                log.write(line)
                if process is self.process and b"event=control_role" in line:
                    self.leads = b"leads=1" in line
                self.disk_failures += b"event=control_disk_failed" in line

    def fill_disk(self):
        files = (self.folder / "data").iterdir()
        self.limit_files(max((f.stat().st_size for f in files), default=0))

    def limit_files(self, size):
        with contextlib.suppress(ProcessLookupError):  # it ended a moment ago
            resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE,
                             (size, resource.RLIM_INFINITY))

    def begin_disturbance(self):
        self.disturbances.append([time.monotonic(), float("inf")])
        return self.disturbances[-1]


class Incident(Deployment):
    """Publishes documents of which each version can be observed, with faults around each."""

    instance_type = LimitedInstance
    services = documents.SERVICES

    def __init__(self, options, folder):
        super().__init__(options, folder)
        self.checker = documents.Checker(options.plant)
        self.control_count = options.controls
        self.subnet = 194 + options.seed % 60  # apart from those of soak.py
        self.operator = asyncio.Lock()
        self.minority = asyncio.Lock()  # held while one control instance is away, by whatever means
        self.probes = set()

    # --- operators ---

    async def put(self, instance, version, timeout_s=PUT_TIMEOUT_S):
        body, sent = documents.make_document(version), time.monotonic()
        if self.plant == "resend" and version == self.published_version:
            body = b"{}"
        head = f"POST /Config.Put HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n"
        try:
            status, _, complete = await self.http(instance.address, self.control_port,
                                                  head.encode() + body, timeout_s)
        except (OSError, TimeoutError):
            status, complete = None, False
        what = f"{instance.name} answered {status} to document {version}, the newest"
        if complete and 400 <= status < 500:
            self.checker.add_violation("CONFIG refused document", what)
        acknowledged = status == 200 and self.plant != "acknowledgement"
        if not acknowledged and timeout_s == PUT_TIMEOUT_S and all(
                i.undisturbed(sent, time.monotonic()) for i in self.control_instances):
            self.checker.late.append(("CONFIG acknowledgement", what))
        return status if complete else None

    async def publish(self, answer_lost=False):
        """Sends a new document to one instance after the other until one acknowledges it."""
        async with self.operator:
            self.checker.newest_sent += 1
            version, begin = self.checker.newest_sent, time.monotonic()
            if answer_lost:
                await self.put(self.random.choice(self.control_instances), version,
                               self.random.choice([0.002, 0.01, 0.03]))
            while time.monotonic() < begin + PUBLISH_TIMEOUT_S:
                instance = self.random.choice(self.control_instances)
                if await self.put(instance, version) == 200:
                    self.checker.acknowledged.append((time.monotonic(), version))
                    self.published_version = version
                    return True
                await asyncio.sleep(0.05)
            return False

    async def resend(self):
        async with self.operator:
            # A newer document without an answer may be in force, and then refuses this one.
            if self.published_version == self.checker.newest_sent:
                for instance in self.control_instances:
                    await self.put(instance, self.published_version)

    # --- observations ---

    async def probe(self, entry, route, key):
        self.calls += 1
        call = Call(self.calls, "safe", entry, key)
        self.checker.calls[call.id] = call
        start_count, call.sent = entry.start_count, time.monotonic()
        request = (f"GET /{route}/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {call.id}\r\n"
                   f"Key: {key}\r\nDeadline-Ms: 1000\r\n\r\n").encode()
        try:
            status, body, complete = await self.http(entry.address, self.api_port, request, 2.0)
        except (OSError, TimeoutError):
            return None
        self.checker.on_answer(call, status, body, complete)
        if not complete or start_count != entry.start_count:
            return None
        outcome = documents.REFUSED
        if status == 200:
            name = body.decode().rsplit(" by ", 1)[1]
            outcome = next(s.service for s in self.servers if s.name == name)
        elif status not in (401, 403, 404):
            if 300 <= status < 500 and status not in (408, 421, 429):
                self.checker.add_violation("DENIED", f"{entry.name} answered {status}")
            return None
        undisturbed = all(i.undisturbed(call.sent, time.monotonic())
                          for i in self.control_instances + [entry])
        self.checker.on_outcome(entry, start_count, route, key, call.sent, outcome, undisturbed)
        return outcome

    async def read(self, instance):
        sent = time.monotonic()
        version = await self.read_from(instance)
        if version is not None:
            self.checker.on_read(instance.name, sent, version)
        return version

    def in_background(self, work):
        task = asyncio.create_task(work)
        self.probes.add(task)
        task.add_done_callback(self.on_background_end)

    def on_background_end(self, task):
        self.probes.discard(task)
        if not task.cancelled() and task.exception():
            self.checker.add_violation("SOAK", repr(task.exception()))

    async def probe_everywhere(self):
        for tick in range(1 << 30):
            await asyncio.sleep(0.1)
            newest = self.published_version
            before, dropped = max(1, newest - 1), max(1, newest - documents.LIFETIME)
            requests = [("safe", "k"), ("moved", "k"), ("moved", "k"), ("safe", f"key-{newest}"),
                        ("safe", f"key-{dropped}"), (f"doc-{before}", "k"), (f"doc-{dropped}", "k")]
            for entry in self.entry_instances:
                for request in ((f"doc-{newest}", "k"), self.random.choice(requests)):
                    if entry.is_running():
                        self.in_background(self.probe(entry, *request))
            for instance in self.control_instances if tick % 3 == 0 else []:
                self.in_background(self.read(instance))

    # --- faults ---

    def draw_schedule(self):
        draw, schedule, at = random.Random(self.options.seed), [], 1.0
        if self.options.controls > 3:  # others have to be in contact meanwhile
            schedule.append((at, "absent", draw.random()))
        kinds = self.options.kinds.split(",") if self.options.kinds else KINDS
        while at < self.options.seconds - 3.0:
            quiet = self.options.controls > 3 and at < ABSENT_S + 3.0
            schedule.append((round(at, 2), draw.choice(QUIET_KINDS if quiet else kinds),
                             draw.random()))
            at += draw.choice([0.3, 1.0, 2.5])
        if self.plant in ("resend", "acknowledgement"):  # seen without faults only
            schedule = [(6.0, "publish", 0.0), (7.0, "resend", 0.0)]
        return schedule[:self.options.prefix] if self.options.prefix else schedule

    async def inject(self, kind, draw):
        rnd = random.Random(draw)  # apart from the load, whose draws depend on timing
        if kind in ("publish", "lost"):
            await self.publish(answer_lost=kind == "lost")
        elif kind == "resend":
            await self.resend()
        elif kind == "kill":
            await self.kill_after_acknowledgement(rnd, [], None)
        else:
            async with self.minority:
                await self.disturb_one_control_instance(kind, rnd)

    async def disturb_one_control_instance(self, kind, rnd):
        leader = await self.find_leader()
        running = [i for i in self.control_instances if i.is_running() and not i.down]
        others = [i for i in running if i is not leader]
        if kind in ("away", "absent") and running:
            await self.take_away(rnd.choice(running), rnd,
                                 (1.0, 2.0) if kind == "away" else (ABSENT_S, ABSENT_S + 2.0))
        elif kind == "stop_leader" and leader:
            await self.publish()
            await asyncio.sleep(rnd.choice([0.0, 0.01, 0.2]))
            await self.pause(leader, rnd.uniform(1.0, 4.0))
        elif kind == "orphan" and leader:
            await self.orphan_leader(leader, rnd)
        elif kind == "disk_leader" and leader:
            await self.fill_disk(leader, rnd)
        elif kind == "disk_other" and others:
            await self.fill_disk(rnd.choice(others), rnd)

    async def find_leader(self):
        for _ in range(50):  # right after other faults none leads
            for instance in self.control_instances:
                if instance.leads and instance.is_running():
                    return instance
            await asyncio.sleep(0.1)
        return None

    async def publish_several(self, rnd):
        for _ in range(rnd.randint(1, 3)):
            await self.publish(answer_lost=rnd.random() < 0.2)

    async def pause(self, instance, seconds):
        process, span, begin = instance.process, instance.begin_disturbance(), time.monotonic()
        instance.send_signal(signal.SIGSTOP)
        while time.monotonic() < begin + seconds and process is instance.process:
            await asyncio.sleep(0.05)
        if process is instance.process:
            instance.send_signal(signal.SIGCONT)
        span[1] = time.monotonic()

    async def fill_disk(self, instance, rnd):
        process, span = instance.process, instance.begin_disturbance()
        instance.fill_disk()
        # The group has to do without this instance by then, whether its disk has space or not.
        span[1] = time.monotonic() + 1.0
        self.in_background(self.publish_several(rnd))
        await asyncio.sleep(rnd.uniform(2.0, 8.0))
        if process is instance.process and instance.is_running():
            instance.limit_files(resource.RLIM_INFINITY)

    async def take_away(self, absent, rnd, span_s):
        """Something is published while one control instance is away; it is back before others."""
        stopped = []  # by this fault, which then starts it
        if rnd.random() < 0.5:
            stopped = await self.kill([absent])
        else:
            self.in_background(self.pause(absent, span_s[1] + 3 * PUBLISH_TIMEOUT_S))
        await asyncio.sleep(rnd.uniform(*span_s))
        await self.kill_after_acknowledgement(rnd, stopped, absent)

    async def orphan_leader(self, leader, rnd):
        """A leader that was stopped runs again, and those that followed others meanwhile don't."""
        process, span = leader.process, leader.begin_disturbance()
        leader.send_signal(signal.SIGSTOP)
        await asyncio.sleep(rnd.uniform(0.0, 2.0))
        restarting = asyncio.create_task(self.kill_after_acknowledgement(rnd, [], None, [leader]))
        others = [i for i in self.control_instances if i is not leader]
        while not restarting.done() and not all(i.down for i in others):
            await asyncio.sleep(0.005)
        if process is leader.process:
            leader.send_signal(signal.SIGCONT)
        span[1] = time.monotonic()
        await restarting

    async def kill(self, instances):
        chosen = [i for i in instances if not i.down]
        for instance in chosen:
            instance.down, instance.span = True, instance.begin_disturbance()
        await asyncio.gather(*[i.stop(signal.SIGKILL) for i in chosen if i.process])
        return chosen

    async def kill_after_acknowledgement(self, rnd, stopped, first, spared=()):
        await self.publish_several(rnd)
        await asyncio.sleep(rnd.choice([0.0, 0.005, 0.03, 0.2]))
        half = rnd.sample(self.entry_instances, len(self.entry_instances) // 2)
        entries = half if rnd.random() < 0.3 else self.entry_instances
        stopped = stopped + await self.kill(
            [i for i in self.control_instances + entries if i not in spared])
        rnd.shuffle(stopped)
        # Entry instances that are back before most of the control group have only each other.
        entries_first = first is not None or rnd.random() < 0.5
        stopped.sort(key=lambda i: (i is not first, i.role == "control" and entries_first))
        await asyncio.sleep(rnd.choice([0.05, 0.2, 0.5, 2.2]))
        for instance in stopped:
            await instance.start()
            instance.down, instance.span[1] = False, time.monotonic() + 1.0
            await asyncio.sleep(rnd.choice([0.0, 0.02, 0.3, 1.0]))

    # --- a run ---

    async def run_schedule(self):
        if not await self.start():
            print("incident: the deployment did not start", file=sys.stderr)
            return 3
        monitors = [asyncio.create_task(t)
                    for t in (self.measure_scheduling_delay(), self.probe_everywhere())]
        schedule, begin, faults = self.draw_schedule(), time.monotonic(), []
        (self.folder / "schedule.json").write_text(json.dumps(schedule, indent=1))
        for at, kind, draw in schedule:
            await asyncio.sleep(max(0.0, begin + at - time.monotonic()))
            faults.append(asyncio.create_task(self.inject(kind, draw)))
        await asyncio.gather(*faults)
        await self.publish()
        await asyncio.sleep(CALM_S)
        await self.check_newest_everywhere()
        for task in monitors:
            task.cancel()
        await asyncio.gather(*self.probes, return_exceptions=True)
        return self.report(schedule)

    async def check_newest_everywhere(self):
        newest = self.published_version + (self.plant == "final")
        for instance in self.control_instances + self.entry_instances:
            found = False
            for _ in range(5):  # an instance that can't confirm the newest document answers 503
                if instance.role == "control":
                    found = found or (await self.read(instance) or 0) >= newest
                else:
                    found = found or await self.probe(instance, f"doc-{newest}", "k") == "s"
                await asyncio.sleep(0.1)
            if not found:
                self.checker.late.append(("CONFIG calm", f"{instance.name} does not have {newest} "
                                          f"{CALM_S:.0f} s after the last fault"))

    def report(self, schedule):
        faults = dict(collections.Counter(kind for _, kind, _ in schedule))
        starts = sum(i.start_count for i in self.control_instances + self.entry_instances)
        print(f"incident seed={self.options.seed} seconds={self.options.seconds} "
              f"controls={self.control_count} entries={self.options.size} faults={faults} "
              f"documents={self.published_version} starts={starts} "
              f"disk_failures={sum(i.disk_failures for i in self.control_instances)} "
              f"answers={dict(self.checker.outcome_counts)} "
              f"delay_ms={self.scheduling_delay * 1e3:.0f}")
        starved = self.scheduling_delay > MAX_SCHEDULING_DELAY_S
        broken = self.checker.violations + ([] if starved else self.checker.late)
        for promise, detail in {p: (p, d) for p, d in reversed(broken)}.values():
            print(f"  broken {promise}, first: {detail}")
        kinds = collections.Counter(promise for promise, _ in broken)
        print(f"  promises broken: {dict(kinds)}" if broken else
              f"  starved: a scheduling delay of {self.scheduling_delay:.2f} s; bounds of time "
              f"({len(self.checker.late)} missed) were not judged" if starved else
              "  no promise broken")
        return 1 if broken else 2 if starved else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--daemon", default="build/platform/tarragond-platform")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--size", type=int, default=4)
    parser.add_argument("--controls", type=int, choices=(3, 4), default=3)
    parser.add_argument("--keep")
    parser.add_argument("--plant", choices=PLANTED_FAULTS)
    parser.add_argument("--prefix", type=int, default=0)
    parser.add_argument("--kinds", help="draws these kinds of faults only, separated by commas")
    options = parser.parse_args()
    if not pathlib.Path(options.daemon).exists():
        parser.error("daemon not found at the given path")
    with tempfile.TemporaryDirectory(prefix="tarragon-incident-") as scratch:
        folder = pathlib.Path(options.keep or scratch)
        folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(Incident(options, folder).run())


if __name__ == "__main__":
    sys.exit(main())
