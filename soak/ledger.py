"""What callers, servers and operators saw, and the promises checked against it."""
import collections
import time

DRAIN_S = 3.0     # a leaving server gets nothing new this long after an instance passed that on
APPLY_S = 2.0     # an acknowledged document is in force within this time
SLACK_S = 0.3     # moments are taken in another process than the one that decides


class Ledger:
    def __init__(self, plant):
        self.plant = plant
        self.faults = []
        self.runs = collections.defaultdict(list)
        self.calls = {}   # id -> call
        self.plants_left = 3
        self.quota_runs = []
        self.counts = collections.Counter()
        self.documents = []            # (acknowledged at, number)
        self.seen_document = {}        # (entry, start) -> (number, seen at)

    def broken(self, promise, what):
        self.faults.append((promise, what))

    def planted(self):
        self.plants_left -= 1
        return self.plants_left >= 0

    # --- servers ---

    def arrived(self, server, request_id):
        call = self.calls.get(request_id)
        if call is None:
            self.broken("UNASKED", f"{server.name} got {request_id}, which nobody sent")
            return None
        entry = call.entry.name
        now = time.monotonic()
        # A restart or freeze of the instance since then excuses it.
        told = server.leaving_told.get((entry, call.entry.starts))
        if told is not None and call.sent > told + DRAIN_S and call.entry.calm(told, now, 0.0):
            self.broken("DRAIN", f"{request_id} reached leaving {server.name} from {entry}, sent "
                        f"{call.sent - told:.2f} s after it had passed that on")
        since, until, count = server.paused_until.get(entry, (0, 0, 0))
        if since <= now < until:
            server.paused_until[entry] = (since, until, count + 1)
            if count + 1 > 2 and call.entry.calm(since - 0.6, now):
                self.broken("PAUSE", f"{count + 1} requests reached {server.name} from {entry} "
                            "while it wanted a pause")
        return call.entry

    def ran(self, server, request_id):
        self.runs[request_id].append((server.name, time.monotonic()))
        call = self.calls.get(request_id)
        if call is None:
            return
        if call.at_most_once and len(self.runs[request_id]) > 1:
            self.broken("TWICE", f"{request_id} ran at {self.runs[request_id]}")
        if call.at_most_once and call.told_not_run:
            self.broken("REFUSED", f"{request_id} ran after its caller was told that it won't")
        if call.key == "kq" and len(self.runs[request_id]) == 1:  # a repeat is the same request
            self.quota_runs.append(time.monotonic())

    # --- callers ---

    def ended(self, call, status, body, whole):
        call.status = status
        self.counts[status if whole else "cut"] += 1
        call.told_not_run = whole and status in (408, 421, 429, 503)
        if call.told_not_run and call.at_most_once and self.runs[call.id]:
            self.broken("REFUSED", f"{call.id} was answered {status} and had run at "
                        f"{self.runs[call.id]}")
        if whole and status == 200 and not call.is_expected(body, self.runs[call.id]):
            self.broken("MIXED", f"{call.id} got {body[:90]!r}")
        if not whole and call.entry.stopping and status is None and not call.server_broke:
            self.broken("LOST", f"{call.id} was cut by the planned stop of {call.entry.name}")

    def saw_document(self, entry, start, number, sent):
        newest, at = self.seen_document.get((entry.name, start), (0, 0.0))
        if number < newest and sent > at + SLACK_S:
            self.broken("CONFIG", f"{entry.name} served document {number} after {newest}")
        if number > newest:
            self.seen_document[(entry.name, start)] = (number, time.monotonic())

    def check_quota(self, rate, slack):
        rate = rate / 10 if self.plant == "quota" else rate
        allowed = (rate * 8 + rate) * 1.1 + slack
        runs = self.quota_runs
        first, most = 0, 0
        for last, at in enumerate(runs):
            while runs[first] < at - 8.0:
                first += 1
            most = max(most, last - first + 1)
        if most > allowed:
            self.broken("QUOTA", f"{most} requests in 8 s, {allowed:.0f} allowed")
