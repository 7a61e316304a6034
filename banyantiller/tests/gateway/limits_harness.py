"""A fleet and callers before servers that name limits."""

import asyncio
import random
from typing import NamedTuple

from banyantiller.tests.gateway import harness

PORTS = (7001, 7002, 7003)
SEEDS = tuple(f"{harness.ADDRESS}:{port}" for port in PORTS)
OTHERS = 3
SERVERS = 6
CALLERS = 12
# Time until the fleet has counted itself.
SETTLE_S = 4.0
GAP_S = 0.1
# What a server may get in a window once its limit is known: half as much again
# as it named, and a few more.
WINDOW_S = 4.0
TOLERANCE = 1.5
SLACK = 5
# Time in which a limit that was named has to be kept.
KNOWN_S = 3.0


class PlayResult(NamedTuple):
    """What came of a play.

    Attributes:
        arrivals: Times at which requests reached each server, from the begin
            of traffic, by instance.
        statuses: Statuses of all answers, in the order of requests.
        answers: Answers with the times at which they came.
    """

    arrivals: dict[str, list[float]]
    statuses: list[int]
    answers: list[tuple[float, harness.Response]]

    def max_in_window(self, instance, since_s, until_s=harness.NEVER_S):
        """Returns the most requests of any window in a span of time."""
        times = [t for t in self.arrivals[instance] if since_s <= t < until_s]
        return max(
            (sum(b <= t < b + WINDOW_S for t in times) for b in times),
            default=0,
        )


def allowed(per_s):
    """Returns the most requests that a window may have."""
    return per_s * WINDOW_S * TOLERANCE + SLACK


async def play(script, seconds=20.0, seed=1, others=OTHERS):
    """Sends requests through a fleet while `script(place, fleet)` runs."""
    async with harness.GatewayHarness(seed) as place:
        alone = place.gateway
        fleet = []
        for number in range(len(PORTS) + others):
            place.seed += 1
            port = PORTS[number] if number < len(PORTS) else 0
            await place.start_gateway(SEEDS, f"d{number}", port)
            fleet.append(place.gateway)
        for number in range(3, SERVERS):
            await place.add_server(f"s{number}")
        await asyncio.sleep(SETTLE_S)
        began = asyncio.get_running_loop().time()
        rng = random.Random(seed)
        answers = []
        try:
            running = asyncio.ensure_future(script(place, fleet))
            callers = [
                _call(place, fleet, number, began + seconds, rng, answers)
                for number in range(CALLERS)
            ]
            await asyncio.gather(*callers)
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
            arrivals = {
                name: [one.at - began for one in server.arrivals]
                for name, server in place.servers.items()
            }
            told = [(at - began, answer) for at, answer in answers]
            return PlayResult(arrivals, [a.status for _, a in told], told)
        finally:
            place.gateway = alone
            for one in fleet:
                one.listener.close()
                await one.close()


async def _call(place, fleet, number, ends, rng, answers):
    """Sends one request after the other, each through any daemon."""
    loop = asyncio.get_running_loop()
    count = 0
    await asyncio.sleep(rng.uniform(0, GAP_S))
    while loop.time() < ends:
        daemon = rng.choice(fleet)
        if not daemon.listener.is_serving():
            continue
        place.port = daemon.listener.sockets[0].getsockname()[1]
        answer = await place.request(f"{number}-{count}")
        count += 1
        if answer is not None:
            answers.append((loop.time(), answer))
        await asyncio.sleep(GAP_S)
