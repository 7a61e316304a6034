"""Traffic of callers through a fleet to servers that name limits."""

import asyncio
import random
from typing import NamedTuple

from banyantiller.tests.gateway import harness

RELAY_PORTS = (7001, 7002, 7003)
SEEDS = tuple(f"{harness.ADDRESS}:{port}" for port in RELAY_PORTS)
SUBSCRIBER_COUNT = 3
SERVER_COUNT = 6
CALLER_COUNT = 12
# Time after which the daemons have counted each other.
SETTLE_S = 4.0
REQUEST_INTERVAL_S = 0.1
# Once its limit is known, a server may get 1.5 times the named rate and a few
# requests more in a window.
WINDOW_S = 4.0
TOLERANCE = 1.5
EXTRA_REQUESTS = 5
# Time after which all daemons have to keep a limit that was named.
PROPAGATION_S = 3.0


class TrafficResult(NamedTuple):
    """Requests and responses of one run. Times are in seconds since its start.

    Attributes:
        arrivals: Times at which requests reached each server, by instance.
        statuses: Status codes of all responses, in order of their arrival.
        responses: Times of arrival and responses.
    """

    arrivals: dict[str, list[float]]
    statuses: list[int]
    responses: list[tuple[float, harness.Response]]

    def max_in_window(self, instance, since_s, until_s=harness.NEVER_S):
        """Returns the maximum number of requests in any window of a period."""
        times = [t for t in self.arrivals[instance] if since_s <= t < until_s]
        return max(
            (sum(b <= t < b + WINDOW_S for t in times) for b in times),
            default=0,
        )


def max_allowed(per_s):
    """Returns the maximum number of requests that a window may have."""
    return per_s * WINDOW_S * TOLERANCE + EXTRA_REQUESTS


async def run_traffic(
    script, seconds=20.0, seed=1, subscriber_count=SUBSCRIBER_COUNT
):
    """Sends requests through a fleet while `script(env, fleet)` runs."""
    async with harness.GatewayHarness(seed) as env:
        first_gateway = env.gateway
        fleet = []
        for number in range(len(RELAY_PORTS) + subscriber_count):
            env.seed += 1
            port = RELAY_PORTS[number] if number < len(RELAY_PORTS) else 0
            await env.start_gateway(SEEDS, f"d{number}", port)
            fleet.append(env.gateway)
        for number in range(3, SERVER_COUNT):
            await env.add_server(f"s{number}")
        await asyncio.sleep(SETTLE_S)
        began = asyncio.get_running_loop().time()
        rng = random.Random(seed)
        responses = []
        try:
            running = asyncio.ensure_future(script(env, fleet))
            callers = [
                _send_requests(
                    env, fleet, number, began + seconds, rng, responses
                )
                for number in range(CALLER_COUNT)
            ]
            await asyncio.gather(*callers)
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
            arrivals = {
                name: [one.at - began for one in server.arrivals]
                for name, server in env.servers.items()
            }
            timed = [(at - began, response) for at, response in responses]
            return TrafficResult(
                arrivals, [response.status for _, response in timed], timed
            )
        finally:
            env.gateway = first_gateway
            for one in fleet:
                one.listener.close()
                await one.close()


async def _send_requests(env, fleet, number, until, rng, responses):
    """Sends one request after the other, each through a random daemon."""
    loop = asyncio.get_running_loop()
    count = 0
    await asyncio.sleep(rng.uniform(0, REQUEST_INTERVAL_S))
    while loop.time() < until:
        daemon = rng.choice(fleet)
        if not daemon.listener.is_serving():
            continue
        env.port = daemon.listener.sockets[0].getsockname()[1]
        response = await env.request(f"{number}-{count}")
        count += 1
        if response is not None:
            responses.append((loop.time(), response))
        await asyncio.sleep(REQUEST_INTERVAL_S)
