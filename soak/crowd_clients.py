"""Misbehaving clients for crowd.py: each holds one connection and reconnects a few times."""
import asyncio
import contextlib
import random
import socket

MB = 1 << 20
BODY_BYTES = 4 * MB  # `max_body_bytes` of the published document
OVERSIZED_BODY_BYTES = 16 * MB
HEAD_BYTES = 60_000  # below `max_header_bytes` of the published document
SMALL_BODY_BYTES = MB  # in chunks of one byte, six bytes are sent for each byte of the body
PIPELINED_BYTES = 4 * MB
HUGE_SEGMENT_WORDS = 7 * MB  # 56 MB, below the 64 MB that Cap'n Proto's reader accepts by default
ATTEMPTS = 3  # connections of one client, if the instance closes the earlier ones
PAUSE_S = 0.5  # before a client connects again


def head(method, path, *fields, request_id="crowd"):
    lines = [f"{method} {path} HTTP/1.1", "Host: h.example", f"Attempt-Id: {request_id}", "Key: k",
             *fields, "", ""]
    return "\r\n".join(lines).encode()


class ClientError(Exception):
    """A client failed by itself, so the case shows nothing about the instance."""


class Connection:
    def __init__(self, sock, index, rnd):
        self.sock, self.index, self.rnd = sock, index, rnd

    async def send(self, data):
        # Without a transport, as its buffer would hold a copy of the data for each client.
        await asyncio.get_running_loop().sock_sendall(self.sock, data)

    async def receive(self):
        return await asyncio.get_running_loop().sock_recv(self.sock, 65536)


class Crowd:
    """Runs `count` clients, each of which sends what `behave` sends and then holds its connection."""

    def __init__(self, address, port, count, behave, seed, reads=True):
        self.address, self.port, self.count = address, port, count
        self.behave, self.seed, self.reads = behave, seed, reads
        self.tasks, self.held, self.closed_by_peer = [], set(), 0

    def start(self):
        self.tasks = [asyncio.create_task(self.run_client(i)) for i in range(self.count)]

    def settled(self):
        """Whether each client has sent everything or was closed `ATTEMPTS` times."""
        return all(i in self.held or task.done() for i, task in enumerate(self.tasks))

    async def run_client(self, index):
        rnd = random.Random(f"{self.seed}-{index}")
        for _ in range(ATTEMPTS):
            await asyncio.sleep(rnd.uniform(0.0, 0.5))
            with socket.socket() as sock, contextlib.suppress(OSError):
                sock.setblocking(False)
                await asyncio.get_running_loop().sock_connect(sock, (self.address, self.port))
                connection = Connection(sock, index, rnd)
                await self.behave(connection)
                self.held.add(index)
                if not self.reads:
                    await asyncio.Event().wait()  # until the crowd ends
                while await connection.receive():
                    pass
            self.held.discard(index)
            self.closed_by_peer += 1
            await asyncio.sleep(PAUSE_S)

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        results = await asyncio.gather(*self.tasks, return_exceptions=True)
        failures = [r for r in results if isinstance(r, Exception)]
        if failures:
            raise ClientError(repr(failures[0]))


# --- behaviours ---

def body(path, method="POST"):
    content = memoryview(bytes(BODY_BYTES - 1))

    async def behave(connection):
        await connection.send(head(method, path, f"Content-Length: {BODY_BYTES}"))
        await connection.send(content)
    return behave


def chunked(size, total, path="/unsafe/x"):
    one = f"{size:x}\r\n".encode() + b"x" * size + b"\r\n"
    # The last chunk lacks its end.
    content = memoryview(one * (total // size))[:-1]

    async def behave(connection):
        await connection.send(head("POST", path, "Transfer-Encoding: chunked"))
        await connection.send(content)
    return behave


def fields(complete):
    async def behave(connection):
        field = connection.rnd.choice([b"a:\r\n", b"b:\r\n"])
        start = head("GET", "/safe/x", request_id=f"crowd-{connection.index}")[:-2]
        data = start + field * ((HEAD_BYTES - len(start)) // len(field))
        await connection.send(data + b"\r\n" if complete else data)
    return behave


async def oversized(connection):
    block = memoryview(bytes(64 * 1024))
    count = OVERSIZED_BODY_BYTES // len(block)
    if connection.index % 2:
        await connection.send(head("POST", "/unsafe/x", f"Content-Length: {OVERSIZED_BODY_BYTES}"))
        for _ in range(count):
            await connection.send(block)
    else:
        await connection.send(head("POST", "/unsafe/x", "Transfer-Encoding: chunked"))
        for _ in range(count):
            await connection.send(b"10000\r\n" + block + b"\r\n")


async def pipelined(connection):
    path = "/safe/x" if connection.index % 2 else "/none/x"
    request = head("GET", path, request_id=f"crowd-{connection.index}")
    await connection.send(memoryview(request * (PIPELINED_BYTES // len(request))))


async def slow_sender(connection):
    """Sends a head or a body at some bytes a second until the crowd ends."""
    if connection.index % 2:
        await connection.send(head("POST", "/unsafe/x", f"Content-Length: {BODY_BYTES}"))
        data = b"x"
    else:
        await connection.send(head("GET", "/safe/x")[:-2] + b"a:")
        data = b"b"
    while True:
        await connection.send(data)
        await asyncio.sleep(connection.rnd.uniform(0.1, 0.4))


async def slow_reader(connection):
    path = "/stream/large" if connection.index % 2 else "/safe/large"
    await connection.send(head("GET", path, request_id=f"crowd-{connection.index}"))


async def silent(_):
    pass


async def wire_garbage(connection):
    await connection.send(connection.rnd.randbytes(64 * 1024))


async def wire_huge(connection):
    """Sends a Cap'n Proto header that announces one segment, and the first 4 MB of it."""
    await connection.send((0).to_bytes(4, "little") + HUGE_SEGMENT_WORDS.to_bytes(4, "little"))
    await connection.send(memoryview(bytes(4 * MB)))
