"""The load of the demonstration: lookups, deposits and repeated deposits."""

import asyncio
import random
from collections.abc import Iterator
from typing import NamedTuple

from standins.demo import callers

LOOKUPS = 2000
DEPOSITS = 50
REPEATED = 20
LOOKUPS_PER_SECOND = 130.0


class Arrival(NamedTuple):
    """One call and when it begins, in seconds after the first."""

    at: float
    sending: callers.Sending
    daemon: int | None


def plan(seed: int, daemons: int) -> list[Arrival]:
    """Returns all calls in order of time.

    Lookups arrive at random. Deposits are spread over the time; some are
    sent again with the same key through another daemon, part of them while
    the first is still on its way.
    """
    source = random.Random(seed)
    arrivals = list(_plan_lookups(source))
    arrivals += _plan_deposits(source, arrivals[-1].at, daemons)
    return sorted(arrivals, key=lambda arrival: arrival.at)


def _plan_lookups(source: random.Random) -> Iterator[Arrival]:
    at = 0.0
    for number in range(LOOKUPS):
        at += source.expovariate(LOOKUPS_PER_SECOND)
        target = f"/records/{number}?size={source.randrange(2000)}"
        name = f"lookup-{number}"
        yield Arrival(at, callers.Sending(name, "GET", target), None)


def _plan_deposits(
    source: random.Random, end: float, daemons: int
) -> Iterator[Arrival]:
    for number in range(DEPOSITS):
        at = end * (number + 0.5) / DEPOSITS
        sending = callers.Sending(
            f"deposit-{number}",
            "POST",
            f"/deposits?number={number}",
            f"key-{number}-{source.getrandbits(64):x}",
            f'{{"amount": {source.randrange(1000)}}}'.encode(),
        )
        daemon = source.randrange(daemons)
        yield Arrival(at, sending, daemon)
        if number < REPEATED:
            later = source.choice((0.0, 0.002, 0.05, 1.0))
            name = f"repeat-{number}"
            again = sending._replace(call_id=name)
            yield Arrival(at + later, again, (daemon + 1) % daemons)


async def send(users: callers.Callers, arrivals: list[Arrival]) -> None:
    """Begins each call at its time, whether or not earlier ones have ended."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    async with asyncio.TaskGroup() as group:
        for arrival in arrivals:
            await asyncio.sleep(start + arrival.at - loop.time())
            group.create_task(users.call(arrival.sending, arrival.daemon))
