"""Organisations of a soak: their keys, and callers that lack or exceed them."""

import asyncio
import collections
import itertools
import random
from collections.abc import Iterator

from soak import callers, contents, excuses
from soak import plan as plans
from soak import record as records
from soak.record import Finding, Record
from soak.world import World

# An organisation with an allowance, and one whose keys are taken away.
LIMITED = "limited"
LEAVING = "leaving"
RATE_PER_S = 4
BURST = 4
WINDOW_S = 5.0
TOLERANCE = 1.1
SLACK = 20
KEYS_TO_REMOVE = 32
# Time between the requests of a step.
PAUSE_S = 0.04
PATH = "/look/x"


def key_of(name: str, number: int = 0) -> str:
    """Returns a key of an organisation."""
    return f"key-{name}-{number}"


def content(removed: int) -> list[dict[str, object]]:
    """Returns the organisations of a document.

    Args:
        removed: Number of keys that were taken away.
    """
    leaving = [key_of(LEAVING, n) for n in range(removed, KEYS_TO_REMOVE)]
    return [
        {
            "name": contents.CALLER_ORGANISATION,
            "apiKeys": [contents.CALLER_KEY],
        },
        {
            "name": LIMITED,
            "apiKeys": [key_of(LIMITED)],
            "ratePerS": RATE_PER_S,
            "burst": BURST,
        },
        {"name": LEAVING, "apiKeys": leaving},
    ]


# Steps of a plan.


async def exceed_allowance(world: World, step: plans.Step) -> None:
    """Sends many requests of the organisation with an allowance."""
    await _send_many(world, step, LIMITED, key_of(LIMITED), 0.0)


async def remove_key(world: World, step: plans.Step) -> None:
    """Takes a key away and goes on sending with it."""
    key = key_of(LEAVING, world.removed_keys)
    world.removed_keys += 1
    world.accept_document()
    await _send_many(world, step, "", key, world.loop.time())


async def _send_many(
    world: World,
    step: plans.Step,
    organisation: str,
    key: str,
    removed_at: float,
) -> None:
    rng = random.Random(step.at_s)
    until = world.loop.time() + step.for_s
    for number in itertools.count():
        if world.loop.time() >= until:
            return
        attempt_id = f"{key}-{step.at_s:g}-{number}"
        caller = records.KeyedAttempt(
            attempt_id, organisation, key, removed_at, world.loop.time()
        )
        daemon = rng.choice(world.daemons)
        world.begin(callers.send_with_key(world, caller, PATH, daemon))
        await asyncio.sleep(PAUSE_S)


# Checks.


def own_organisation(seen: Record) -> Iterator[Finding]:
    """Yields requests that ran for another organisation, or showed a key."""
    expected = {a.request_id: a.organisation for a in seen.attempts}
    expected |= {a.request_id: a.organisation for a in seen.keyed_attempts}
    removed = {a.request_id for a in seen.keyed_attempts if a.removed_at}
    for arrival in seen.arrivals:
        wanted = expected.get(arrival.request_id)
        if arrival.shows_key:
            text = f"{arrival.instance} got the caller's key"
            yield Finding("own organisation", text, (arrival.request_id,))
        elif wanted is None or arrival.request_id in removed:
            continue
        elif arrival.organisation != wanted:
            text = f"ran for '{arrival.organisation}' instead of '{wanted}'"
            yield Finding("own organisation", text, (arrival.request_id,))


def allowances(seen: Record) -> Iterator[Finding]:
    """Yields windows in which an organisation got more than its allowance."""
    limit = (RATE_PER_S * WINDOW_S + BURST) * TOLERANCE + SLACK
    window: collections.deque[float] = collections.deque()
    for arrival in sorted(seen.arrivals):
        if arrival.organisation != LIMITED or not arrival.executed:
            continue
        window.append(arrival.at)
        while window[0] < arrival.at - WINDOW_S:
            window.popleft()
        if len(window) > limit:
            text = f"{len(window)} requests ran in {WINDOW_S:g} s"
            yield Finding("allowances", text, (arrival.request_id,))
            return


def removed_keys(seen: Record) -> Iterator[Finding]:
    """Yields requests that ran for a key that was taken away in time."""
    attempts = {a.request_id: a for a in seen.keyed_attempts if a.removed_at}
    for arrival in seen.arrivals:
        attempt = attempts.get(arrival.request_id)
        if attempt is None or not arrival.executed:
            continue
        late_s = attempt.sent_at - attempt.removed_at
        if late_s > seen.bounds.apply_s and excuses.calm(
            seen, arrival.sender, attempt.removed_at, arrival.at,
            excuses.STORE_EXCUSES,
        ):  # fmt: skip
            text = f"ran {late_s:.2f} s after its key was taken away"
            yield Finding("removed keys", text, (arrival.request_id,))
