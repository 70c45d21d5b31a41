"""Documents of which each version can be told from its neighbours, and the promises about them."""
import json
import time

import ledger

REFUSED = "refused"  # outcome of a probe that was answered 401, 403 or 404
LIFETIME = 3  # versions that hold a route or a key which one of them added
SERVICES = ["s", "s", "s", "m-0", "m-1", "m-2"]


def added_in(name, version):
    """Whether the document holds a route `doc-N` or a key `key-N`, which came with version N."""
    return int(name.split("-")[1]) in range(version - LIFETIME + 1, version + 1)


def outcome_in(version, route, key):
    """What this version makes of a request: the service that runs it, or REFUSED."""
    if key != "k" and not added_in(key, version):
        return REFUSED
    if route == "moved":
        return f"m-{version % 3}"
    return "s" if route == "safe" or added_in(route, version) else REFUSED


def make_document(version):
    lasting = range(max(1, version - LIFETIME + 1), version + 1)
    routes = [{"name": name, "host": "h.example", "path_prefix": f"/{name}/", "kind": "safe",
               "timeout_ms": 4000, "target_latency_ms": 500, "priority": 0, "max_attempts": 2,
               "service": outcome_in(version, name, "k")}
              for name in ["safe", "moved"] + [f"doc-{n}" for n in lasting]]
    return json.dumps({
        "version": version, "routes": routes,
        "services": [{"name": name, "max_connections": 200} for name in sorted(set(SERVICES))],
        "tenants": [{"name": "w", "api_keys": ["k"] + [f"key-{n}" for n in lasting]}]}).encode()


class Checker(ledger.Checker):
    """Judges each answer by the documents that were sent and acknowledged until then."""

    def __init__(self, plant):
        super().__init__(plant)
        self.newest_sent = 0
        self.seen = {}  # (entry instance, start count) -> (oldest document it can hold, seen at)
        self.late = []  # violations of bounds of time, which a busy machine may cause

    def newest_due(self, sent):
        """The newest document that must be in force for a request sent at this time."""
        return max((n for at, n in self.acknowledged if at < sent - ledger.APPLY_TIMEOUT_S),
                   default=0)

    def plant_outcome(self, route, key, due, seen, outcome):
        if self.plant == "denied" and (route, key) == ("safe", "k"):
            return REFUSED
        if self.plant == "route" and outcome == "s":
            return "m-1"
        if self.plant == "refused" and due and route == f"doc-{due}":
            return REFUSED
        if self.plant == "old-service" and due > 1 and route == "moved":
            return outcome_in(due - 1, route, key)
        if self.plant == "regress" and seen > max(due, 1) and route == "moved":
            return outcome_in(seen - 1, route, key)
        return outcome

    def on_outcome(self, entry, start_count, route, key, sent, outcome, undisturbed):
        due = self.newest_due(sent)
        seen, seen_at = self.seen.get((entry.name, start_count), (0, 0.0))
        outcome = self.plant_outcome(route, key, due, seen, outcome)
        versions = range(1, self.newest_sent + 1)
        possible = [v for v in versions if outcome_in(v, route, key) == outcome]
        what = f"/{route}/ with {key} was {outcome} at {entry.name} (start {start_count})"
        if not possible:
            promise = "DENIED" if outcome == REFUSED else "ROUTE"
            return self.add_violation(promise, f"{what}, which no document says")
        age = next((sent - at for at, n in self.acknowledged if n == due), 0.0)
        if possible[-1] < due and outcome == REFUSED:
            self.add_violation("CONFIG refused", f"{what}, {age:.1f} s after document {due}: only "
                               f"{possible[-1]} and older refuse it")
        elif possible[-1] < due and undisturbed:
            self.late.append(("CONFIG old service", f"{what}, {age:.1f} s after document {due}: "
                              f"only {possible[-1]} and older do that"))
        if possible[-1] < seen and sent > seen_at + ledger.TIMESTAMP_SLACK_S:
            self.add_violation("CONFIG regress", f"{what}, after it had obeyed document {seen}")
        oldest = next((v for v in possible if v >= seen), 0)
        if outcome != REFUSED and oldest > seen:
            self.seen[(entry.name, start_count)] = (oldest, time.monotonic())

    def on_read(self, name, sent, version):
        due = self.newest_due(sent)
        version -= self.plant == "read"
        if version < due:
            self.add_violation("CONFIG read", f"{name} read back {version}, {due} was acknowledged")
