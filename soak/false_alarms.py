#!/usr/bin/env python3
"""Checks that a resource which many callers ask for is served after its servers had trouble.

Troubles: `reset` (all servers reset their connections for 0.3 s), `restart` (all servers end one
after the other and start again at their address). Guards against a quarantine of the popular
request, which refused it to everybody for a minute. Exit codes: 0 served, 1 refused, 2 could not
run, 3 wrong usage.
"""
import argparse
import asyncio
import pathlib
import sys
import tempfile
import time

import soak
from processes import kill_all

CALLERS = 6
LATER_REQUESTS = 20
PAUSE_S = 0.25  # between later requests; servers that failed are tried again within 0.5 s


class PopularResource:
    def __init__(self, deployment):
        self.deployment = deployment
        self.path = f"/doc-{deployment.published_version}/popular"

    async def get(self):
        """Returns the status, or the name of the error, of one caller's request."""
        d = self.deployment
        d.calls += 1
        call = soak.Call(d.calls, "safe", d.entry_instances[d.calls % 2], "k")
        d.checker.calls[call.id] = call
        call.sent = time.monotonic()
        head = (f"GET {self.path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {call.id}\r\n"
                "Key: k\r\nDeadline-Ms: 2000\r\n\r\n")
        try:
            status, _, _ = await d.http(call.entry.address, d.api_port, head.encode(), 4.0)
            return status
        except (OSError, TimeoutError) as error:
            return type(error).__name__


async def reset_connections(deployment, resource):
    for server in deployment.servers:
        server.fault = "reset"
    await asyncio.gather(*[resource.get() for _ in range(CALLERS)])
    await asyncio.sleep(0.3)
    for server in deployment.servers:
        server.fault = None


async def restart_servers(deployment, resource):
    for server in deployment.servers:
        callers = [asyncio.create_task(resource.get()) for _ in range(CALLERS)]
        await asyncio.sleep(0.01)
        server.shut_down()
        await asyncio.sleep(0.4)
        server.server = await asyncio.start_server(server.serve, "127.0.0.1", server.port)
        await asyncio.gather(*callers)


TROUBLES = {"reset": reset_connections, "restart": restart_servers}


async def run(options, folder):
    deployment = soak.Deployment(argparse.Namespace(daemon=options.daemon, plant=None,
                                                    seed=options.seed, size=2, prefix=None,
                                                    seconds=0), folder)
    try:
        if not await deployment.start():
            print("false_alarms: the deployment did not start", file=sys.stderr)
            return 2
        await asyncio.sleep(2.0)
        resource = PopularResource(deployment)
        for _ in range(5 if options.warm else 0):
            await resource.get()
        await TROUBLES[options.trouble](deployment, resource)
        await asyncio.sleep(1.5)
        statuses = []
        for _ in range(LATER_REQUESTS):
            statuses.append(await resource.get())
            await asyncio.sleep(PAUSE_S)
        served = statuses.count(200)
        print(f"{options.trouble}, {'warm' if options.warm else 'cold'}: {served} of "
              f"{LATER_REQUESTS} later requests served, answers {sorted(set(map(str, statuses)))}")
        return 0 if served == LATER_REQUESTS else 1
    finally:
        await kill_all(getattr(deployment, "control_instances", []) +
                       getattr(deployment, "entry_instances", []))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--daemon", default="build/platform/tarragond-platform")
    parser.add_argument("--seed", type=int, default=51)
    parser.add_argument("--trouble", choices=sorted(TROUBLES), default="reset")
    parser.add_argument("--warm", action="store_true", help="send five requests before")
    parser.add_argument("--keep")
    options = parser.parse_args()
    if not pathlib.Path(options.daemon).exists():
        parser.error("daemon not found at the given path")
    with tempfile.TemporaryDirectory(prefix="tarragon-alarms-") as scratch:
        folder = pathlib.Path(options.keep or scratch)
        folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(run(options, folder))


if __name__ == "__main__":
    sys.exit(main())
