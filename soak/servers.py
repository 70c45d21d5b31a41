"""Test doubles of the platform: backend servers with injected faults, server list, documents."""
import asyncio
import json
import random
import time

EVENT_COUNT = 5  # events of each stream


async def read_message(reader):
    """Returns start line, headers by lower-case name, and the body that Content-Length gives."""
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
    """A backend server; `fault` is the fault kind that is injected at present, or None."""

    def __init__(self, name, deployment, service):
        self.name, self.deployment, self.service = name, deployment, service
        self.fault = None
        self.state = "ready"
        # (entry instance, start count) -> time of the first answer with a server notice through it
        self.drain_notified = {}
        self.backoffs = {}  # entry instance -> (since, until, arrivals meanwhile)
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            await self.handle_request(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError,
                asyncio.CancelledError):  # asyncio would log cancelled handlers at exit
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle_request(self, reader, writer):
        if self.fault == "silent":
            await asyncio.sleep(4.0)
            return
        if self.fault == "reset":
            writer.transport.abort()
            return
        start, headers, _ = await read_message(reader)
        request_id = headers.get("attempt-id", "")
        checker = self.deployment.checker
        entry = checker.on_arrival(self, request_id)
        if entry is None:
            return
        if headers.get("expect-instance") not in (None, self.name):
            writer.write(self.response(request_id, 421, ["Not-Executed: 1"], b""))
            return await writer.drain()
        if self.fault == "pause":
            now = time.monotonic()
            since, until, _ = self.backoffs.get(entry.name, (0, 0, 0))
            if now >= until:
                self.backoffs[entry.name] = (now + 0.5, now + 1.5, 0)
        if self.fault in ("shed", "pause") and not (self.fault == self.deployment.plant):
            extra_headers = ["Not-Executed: 1"]
            if self.fault == "pause":
                extra_headers.append("Retry-After: 1.5")
            writer.write(self.response(request_id, 503, extra_headers, b""))
            return await writer.drain()
        planted = self.deployment.plant in ("refused", "twice") and "/unsafe/" in start
        checker.on_execution(self, request_id)
        if planted and checker.consume_planted_fault():
            writer.write(self.response(request_id, 503, ["Not-Executed: 1"], b""))
            return await writer.drain()
        await asyncio.sleep(
            self.deployment.random.uniform(0.005, 0.04) *
            (8.0 if self.fault == "slow" or self.deployment.plant == "stop" else 1.0))
        if self.fault == "lost" and self.deployment.random.random() < 0.4:
            writer.transport.abort()
            return
        extra_headers = ["Response-Signature: s"]
        names_leaving = self.state == "leaving"  # it may begin to leave before the answer ends
        if names_leaving:
            extra_headers.append("Server-Leaving: 1" if self.deployment.plant != "leaving"
                                 else "X-Nothing: 1")
        if "/stream/" in start or "/once/" in start:
            await self.stream(writer, request_id, headers, extra_headers)
        else:
            body = answer_body(request_id, self.name)
            if self.deployment.plant == "own" and checker.consume_planted_fault():
                body = answer_body("another", self.name)
            writer.write(self.response(request_id, 200, extra_headers, body))
            await writer.drain()
        if names_leaving:
            self.drain_notified.setdefault((entry.name, entry.start_count), time.monotonic())

    async def stream(self, writer, request_id, headers, extra_headers):
        lines = ["HTTP/1.1 200 OK", f"Attempt-Id: {request_id}", *extra_headers,
                 "Content-Type: text/event-stream", "Transfer-Encoding: chunked", "", ""]
        writer.write("\r\n".join(lines).encode())
        for number in range(int(headers.get("last-event-id", 0)) + 1, EVENT_COUNT + 1):
            data = event(request_id, number)
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            await writer.drain()
            if self.fault == "lost" and self.deployment.random.random() < 0.1:
                writer.transport.abort()
                return
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    @staticmethod
    def response(request_id, status, extra_headers, body):
        lines = [f"HTTP/1.1 {status} X", f"Attempt-Id: {request_id}", *extra_headers,
                 f"Content-Length: {len(body)}", "", ""]
        return "\r\n".join(lines).encode() + body

    def shut_down(self):
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()


class ServerList:
    """The platform's server list; it lags and lists a draining server as such after a delay."""

    def __init__(self, deployment):
        self.deployment = deployment

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            await read_message(reader)
            entries = [{"id": s.name, "service": s.service, "address": f"127.0.0.1:{s.port}",
                        "zone": "a", "slots": 6, "state": s.listed_state}
                       for s in self.deployment.servers if s.listed_state]
            body = json.dumps({"instances": entries, "next": None}).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d"
                         b"\r\nConnection: close\r\n\r\n" % len(body) + body)
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def make_document(version, quota):
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
