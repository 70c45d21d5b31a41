"""Backend servers and requesters for the review's scripts, by the users' PROTOCOL.md."""
import random
import socket
import threading
import time


def read_head(connection):
    """Returns start line, headers by lower-case name and the bytes read beyond, or None."""
    data = b""
    while b"\r\n\r\n" not in data:
        received = connection.recv(65536)
        if not received:
            return None
        data += received
    head, rest = data.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers, rest


class Server:
    """A sound server of a plain service; it answers the share `fails` of its runs with its own 500."""

    def __init__(self, system, name, service, work_s=0.02, slots=6):
        self.system, self.name, self.service = system, name, service
        self.work_s, self.slots = work_s, slots
        self.listed, self.state, self.fails = True, "ready", 0.0
        self.born = int(time.time() * 1000)
        self.runs = []  # (time, Attempt-Id, status)
        self.socket = system.listen_free()
        self.port = self.socket.getsockname()[1]
        system.servers.append(self)
        threading.Thread(target=self.accept, daemon=True).start()

    def entry(self):
        return {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "z1",
                "version": "v1", "slots": self.slots, "state": self.state, "cold_remaining_ms": 0,
                "id": self.name, "born": self.born}

    def accept(self):
        while True:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        with connection:
            try:
                connection.settimeout(10)
                request = read_head(connection)
                if request is None:
                    return
                start, headers, rest = request
                missing = int(headers.get("content-length", 0)) - len(rest)
                while missing > 0:
                    received = connection.recv(65536)
                    if not received:
                        return
                    missing -= len(received)
                self.answer(connection, start, headers)
            except OSError:
                return

    def answer(self, connection, start, headers):
        attempt = headers.get("attempt-id", "")
        if start.startswith("GET /health "):
            self.respond(connection, attempt, 200, [b"Instance-Id: " + self.name.encode()], b"")
            return
        if headers.get("expect-instance") not in (None, self.name):
            self.respond(connection, attempt, 421, [b"Not-Executed: 1"], b"")
            return
        status = 500 if random.random() < self.fails else 200
        self.runs.append((time.monotonic(), attempt, status))
        self.system.record.write(f"run     {self.name} runs {attempt} ({start.split()[1]}), "
                                 f"Tenant={headers.get('tenant')}, answers {status}")
        time.sleep(self.work_s)
        self.respond(connection, attempt, status, [b"Response-Signature: s." + self.name.encode()],
                     f"answer to {attempt} by {self.name}".encode())

    @staticmethod
    def respond(connection, attempt, status, headers, body):
        lines = [f"HTTP/1.1 {status} X".encode(), f"Attempt-Id: {attempt}".encode(), *headers,
                 b"Content-Type: text/plain", f"Content-Length: {len(body)}".encode()]
        connection.sendall(b"\r\n".join(lines) + b"\r\n\r\n" + body)

    def close(self):
        self.socket.close()


def call(system, machine, front_port, attempt, method, path, body=b"", deadline_ms=3000, key=None):
    """Sends a request on a new channel; returns status, headers and body, or None."""
    with_key = f" with key {key}" if key else ""
    system.record.write(f"send    {attempt} {method} {path} to {machine.name}{with_key}")
    try:
        with socket.create_connection((machine.address, front_port), timeout=1) as connection:
            connection.settimeout(deadline_ms / 1000)
            head = [f"{method} {path} HTTP/1.1", "Host: h.example", f"Attempt-Id: {attempt}",
                    f"Deadline-Ms: {deadline_ms}", "Connection: close"]
            if key:
                head.append(f"Key: {key}")
            if body or method == "POST":
                head.append(f"Content-Length: {len(body)}")
            connection.sendall("\r\n".join(head).encode() + b"\r\n\r\n" + body)
            answer = read_head(connection)
            if answer is None:
                system.record.write(f"answer  {attempt}: the channel closed")
                return None
            start, headers, content = answer
            while len(content) < int(headers.get("content-length", 0)):
                received = connection.recv(65536)
                if not received:
                    break
                content += received
            status = int(start.split()[1])
            system.record.write(f"answer  {attempt}: {status} {content[:80]!r}"
                                f" Retry-After={headers.get('retry-after')}")
            return status, headers, content
    except OSError as error:
        system.record.write(f"answer  {attempt}: none ({error})")
        return None
