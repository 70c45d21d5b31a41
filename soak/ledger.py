"""Records what callers, backend servers and operators observe; checks the promises against it."""
import collections
import time

# A draining server gets no new requests later than this after an instance has forwarded its notice.
DRAIN_DELAY_S = 3.0
APPLY_TIMEOUT_S = 2.0  # an acknowledged document is in force within this time
TIMESTAMP_SLACK_S = 0.3  # timestamps are taken in another process than the one that decides


class Checker:
    def __init__(self, plant):
        self.plant = plant
        self.violations = []
        self.executions = collections.defaultdict(list)
        self.calls = {}  # request id -> call
        self.planted_faults_left = 3
        self.quota_executions = []
        self.outcome_counts = collections.Counter()
        self.acknowledged = []  # documents: (time of acknowledgement, version)
        self.newest_served = {}  # (entry instance, start count) -> (version, seen at)

    def add_violation(self, promise, detail):
        self.violations.append((promise, detail))

    def consume_planted_fault(self):
        self.planted_faults_left -= 1
        return self.planted_faults_left >= 0

    # --- servers ---

    def on_arrival(self, server, request_id):
        call = self.calls.get(request_id)
        if call is None:
            self.add_violation("UNASKED", f"{server.name} got {request_id}, which nobody sent")
            return None
        entry = call.entry.name
        now = time.monotonic()
        # An instance that was restarted or paused since the notice is exempt.
        notified = server.drain_notified.get((entry, call.entry.start_count))
        if notified is not None and call.sent > notified + DRAIN_DELAY_S and call.entry.undisturbed(
                notified, now, 0.0):
            self.add_violation(
                "DRAIN", f"{request_id} reached leaving {server.name} from {entry}, sent "
                f"{call.sent - notified:.2f} s after it had passed that on")
        since, until, count = server.backoffs.get(entry, (0, 0, 0))
        if since <= now < until:
            server.backoffs[entry] = (since, until, count + 1)
            if count + 1 > 2 and call.entry.undisturbed(since - 0.6, now):
                self.add_violation(
                    "PAUSE", f"{count + 1} requests reached {server.name} from {entry} "
                    "while it wanted a pause")
        return call.entry

    def on_execution(self, server, request_id):
        self.executions[request_id].append((server.name, time.monotonic()))
        call = self.calls.get(request_id)
        if call is None:
            return
        if call.at_most_once and len(self.executions[request_id]) > 1:
            self.add_violation("TWICE", f"{request_id} ran at {self.executions[request_id]}")
        if call.at_most_once and call.reported_not_executed:
            self.add_violation("REFUSED",
                               f"{request_id} ran after its caller was told that it won't")
        # A retry is the same request and counts once.
        if call.key == "kq" and len(self.executions[request_id]) == 1:
            self.quota_executions.append(time.monotonic())

    # --- callers ---

    def on_answer(self, call, status, body, complete):
        call.status = status
        self.outcome_counts[status if complete else "cut"] += 1
        call.reported_not_executed = complete and status in (408, 421, 429, 503)
        if call.reported_not_executed and call.at_most_once and self.executions[call.id]:
            self.add_violation("REFUSED", f"{call.id} was answered {status} and had run at "
                               f"{self.executions[call.id]}")
        if complete and status == 200 and not call.is_expected(body, self.executions[call.id]):
            self.add_violation("MIXED", f"{call.id} got {body[:90]!r}")
        if not complete and call.entry.shutting_down and status is None and not call.cut_allowed:
            self.add_violation("LOST",
                               f"{call.id} was cut by the planned stop of {call.entry.name}")

    def on_document_served(self, entry, start_count, version, sent):
        newest, seen_at = self.newest_served.get((entry.name, start_count), (0, 0.0))
        if version < newest and sent > seen_at + TIMESTAMP_SLACK_S:
            self.add_violation("CONFIG", f"{entry.name} served document {version} after {newest}")
        if version > newest:
            self.newest_served[(entry.name, start_count)] = (version, time.monotonic())

    def check_quota(self, rate, slack):
        rate = rate / 10 if self.plant == "quota" else rate
        allowed = (rate * 8 + rate) * 1.1 + slack
        executions = self.quota_executions
        first, highest = 0, 0
        for last, executed_at in enumerate(executions):
            while executions[first] < executed_at - 8.0:
                first += 1
            highest = max(highest, last - first + 1)
        if highest > allowed:
            self.add_violation("QUOTA", f"{highest} requests in 8 s, {allowed:.0f} allowed")
