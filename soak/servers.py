"""Stand-ins of the platform: backend servers with tricks, the list of servers, the operator."""
import asyncio
import json
import random
import time

EVENT_COUNT = 5  # events of each stream


async def read_message(reader):
    """Start line, headers by lower-case name, body of a message with a length."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


def answer_body(request_id, server):
    return f"answer to {request_id} by {server}".encode() * 3


def event(request_id, number):
    return f"id: {number}\ndata: {request_id} piece {number}\n\n".encode()


class Server:
    """A backend server; `trick` says how it misbehaves at the moment."""

    def __init__(self, name, world, service):
        self.name, self.world, self.service = name, world, service
        self.trick = None
        self.state = "ready"
        self.leaving_told = {}  # (entry, its start) -> moment at which an answer told it through that entry
        self.paused_until = {}  # entry -> (from, until, arrivals)
        self.open = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.open.add(writer)
        try:
            await self.answer(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError,
                asyncio.CancelledError):  # asyncio prints the cancelled ones at the run's end
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    async def answer(self, reader, writer):
        if self.trick == "silent":
            await asyncio.sleep(4.0)
            return
        if self.trick == "reset":
            writer.transport.abort()
            return
        start, headers, _ = await read_message(reader)
        request_id = headers.get("attempt-id", "")
        ledger = self.world.ledger
        entry = ledger.arrived(self, request_id)
        if entry is None:
            return
        if headers.get("expect-instance") not in (None, self.name):
            writer.write(self.head(request_id, 421, ["Not-Executed: 1"], b""))
            return await writer.drain()
        if self.trick == "pause":
            now = time.monotonic()
            since, until, _ = self.paused_until.get(entry.name, (0, 0, 0))
            if now >= until:
                self.paused_until[entry.name] = (now + 0.5, now + 1.5, 0)
        if self.trick in ("shed", "pause") and not (self.trick == self.world.plant):
            extra = ["Not-Executed: 1"]
            if self.trick == "pause":
                extra.append("Retry-After: 1.5")
            writer.write(self.head(request_id, 503, extra, b""))
            return await writer.drain()
        planted = self.world.plant in ("refused", "twice") and "/unsafe/" in start
        ledger.ran(self, request_id)
        if planted and ledger.planted():
            writer.write(self.head(request_id, 503, ["Not-Executed: 1"], b""))
            return await writer.drain()
        await asyncio.sleep(self.world.random.uniform(0.005, 0.04) *
                            (8.0 if self.trick == "slow" or self.world.plant == "stop" else 1.0))
        if self.trick == "lost" and self.world.random.random() < 0.4:
            writer.transport.abort()
            return
        extra = ["Response-Signature: s"]
        if self.state == "leaving":
            extra.append("Server-Leaving: 1" if self.world.plant != "leaving" else "X-Nothing: 1")
        if "/stream/" in start or "/once/" in start:
            await self.stream(writer, request_id, headers, extra)
        else:
            body = answer_body(request_id, self.name)
            if self.world.plant == "own" and ledger.planted():
                body = answer_body("another", self.name)
            writer.write(self.head(request_id, 200, extra, body))
            await writer.drain()
        if self.state == "leaving":
            self.leaving_told.setdefault((entry.name, entry.starts), time.monotonic())

    async def stream(self, writer, request_id, headers, extra):
        lines = ["HTTP/1.1 200 OK", f"Attempt-Id: {request_id}", *extra,
                 "Content-Type: text/event-stream", "Transfer-Encoding: chunked", "", ""]
        writer.write("\r\n".join(lines).encode())
        for number in range(int(headers.get("last-event-id", 0)) + 1, EVENT_COUNT + 1):
            data = event(request_id, number)
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            await writer.drain()
            if self.trick == "lost" and self.world.random.random() < 0.1:
                writer.transport.abort()
                return
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    @staticmethod
    def head(request_id, status, extra, body):
        lines = [f"HTTP/1.1 {status} X", f"Attempt-Id: {request_id}", *extra,
                 f"Content-Length: {len(body)}", "", ""]
        return "\r\n".join(lines).encode() + body

    def go_down(self):
        self.server.close()
        for writer in list(self.open):
            writer.transport.abort()


class ServerList:
    """The platform's list: lags, and shows leaving servers as draining after a while."""

    def __init__(self, world):
        self.world = world

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            await read_message(reader)
            entries = [{"id": s.name, "service": s.service, "address": f"127.0.0.1:{s.port}",
                        "zone": "a", "slots": 6, "state": s.listed} for s in self.world.servers
                       if s.listed]
            body = json.dumps({"instances": entries, "next": None}).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d"
                         b"\r\nConnection: close\r\n\r\n" % len(body) + body)
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def make_manifest(version, quota):
    def route(name, kind, attempts, resumable=False, service="s"):
        return {"name": name, "host": "h.example", "path_prefix": f"/{name}/", "kind": kind,
                "timeout_ms": 4000, "target_latency_ms": 500, "priority": 0, "service": service,
                "max_attempts": attempts, "resumable": resumable, "target_gap_ms": 200}
    return json.dumps({
        "version": version,
        "routes": [route("safe", "safe", 3), route("unsafe", "unsafe", 3),
                   route("stream", "streaming", 3, True), route("once", "streaming", 3),
                   route(f"doc-{version}", "safe", 2)],
        "services": [{"name": "s", "max_connections": 200}],
        "tenants": [{"name": "w", "api_keys": ["k"]},
                    {"name": "q", "api_keys": ["kq"], "unit": "requests",
                     "rate_per_s": quota, "burst": quota}]})
