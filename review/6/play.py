"""Servers that hand out wrong bytes: a few answers say 200 but bear no Response-Signature."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
import harness  # noqa: E402

# The largest dose of `garble` that the site names: 0.6 of the servers, 0.06 of their answers
# (here 3 of 6 servers, one answer of 17).
FAULTY_SERVERS, SPOILED_EVERY = 3, 17
REQUESTS = 420


async def behave(server, start, headers, body, reader, writer):
    """Does the work; a faulty server then writes bytes that are not its answer."""
    deployment, attempt = server.deployment, headers["attempt-id"]
    await asyncio.sleep(server.work_s)
    server.answers += 1
    if server.faulty and server.answers % SPOILED_EVERY == 0:
        deployment.spoiled.add(attempt)
        deployment.record(f"server {server.name} spoils its answer to {attempt}")
        writer.write(server.answer(200, attempt, b"<html>It works!</html>", extra=()))
        return
    writer.write(server.answer(200, attempt, f"ran {attempt}".encode()))


async def main(deployment, trouble):
    deployment.spoiled = set()
    for i in range(6):
        server = await deployment.add_server(f"i-desk{i}", "desk")
        server.behave, server.answers = behave, 0
        server.faulty = trouble and i < FAULTY_SERVERS
    manifest = harness.make_manifest(1, [
        harness.route("book", "unsafe", "desk"), harness.route("status", "safe", "desk", 2)],
        services=("desk",))
    if not await deployment.start(manifest):
        return None
    broken, served = [], 0

    async def one(number):
        nonlocal served
        kind = "book" if number % 2 else "status"
        attempt = f"{number:016x}"
        method, body = ("POST", b"x" * 600) if kind == "book" else ("GET", b"")
        got = await deployment.send(deployment.edges[number // 2 % 2],
                                    harness.make_request(method, f"/{kind}/{number}", attempt,
                                                         body=body))
        deployment.record(f"client sent {kind} {attempt}: {got} body={got.body[:40]!r}")
        if got.complete and got.status is not None and 200 <= got.status < 300:
            served += 1
            if "response-signature" not in got.headers:
                broken.append(f"MIXED: {kind} {attempt} got {got.status} without a "
                              f"Response-Signature, body {got.body[:30]!r}")

    for first in range(0, REQUESTS, 12):
        await asyncio.gather(*[one(first + i) for i in range(12)])
    deployment.record(f"{served} of {REQUESTS} served, {len(deployment.spoiled)} answers spoiled")
    if served < REQUESTS // 2 or (trouble and not deployment.spoiled):
        return None
    return broken


harness.run(main, FOLDER / "record.txt")
