"""This relay's part of every allowance, which is handed over between relays.

Each relay owns an equal part. When settings name other relays, daemons learn of
it one after the other, and a relay that is no longer named may go on granting
until it learns of it too. So a relay takes a larger part only once none of the
relays before and after the change grants more than it may by the new settings.
A smaller part is in force at once. So the parts never add up to more than the
allowance, in whatever order daemons read their settings.

A relay that gives no response is taken for lost. One whose settings stay
outdated delays the change for a limited time.
"""

import asyncio
import collections
from collections.abc import Awaitable, Callable
from typing import TypedDict

import msgspec

from banyantiller.gateway import events, relays
from banyantiller.gateway import settings as options
from banyantiller.gateway.decisions import turns
from banyantiller.http import client, messages, outcomes
from banyantiller.utils import decoding

PATH = "/allowances/part"
# A relay responds within 10 ms.
QUERY_TIMEOUT_S = 0.2
QUERY_PERIOD_S = 0.2
# Queries in a row without a response after which a relay is taken for lost.
MAX_SILENT_QUERIES = 2
# Maximum wait for relays with outdated settings. Settings of all daemons follow
# a change within some seconds.
MAX_WAIT_S = 10.0


class PartFields(TypedDict):
    """What a relay grants: one of `count` equal parts, or nothing if 0."""

    count: int


class AllowancePart:
    """The part of every allowance that this daemon may grant.

    Attributes:
        fleet_relays: The relays in use.
        count: Number of equal parts of which this daemon grants one, or None
            while it grants nothing.
        since: Loop time from which it grants this part.
        taken_over: Whether this part was taken from other relays, rather than
            held since the start.
        predecessors: Relays that were in use before and may still grant, with
            the loop time at which they were replaced.
        before_change: Called before another part is in force.
        query: Asks the relay at an address of how many parts it grants one;
            None if it does not tell.
        takeover: Waits for other relays, or None.
    """

    def __init__(
        self,
        fleet_relays: relays.Relays,
        before_change: Callable[[int | None], None],
    ) -> None:
        self.fleet_relays = fleet_relays
        self.before_change = before_change
        self.query: Callable[[str], Awaitable[int | None]] = query_part
        self.loop = asyncio.get_running_loop()
        self.count = self._named_count()
        self.since = self.loop.time()
        self.taken_over = False
        self.predecessors: dict[str, float] = {}
        self.takeover: asyncio.Task[None] | None = None
        fleet_relays.on_change.append(self._change_relays)

    def handle(self, request: messages.Request) -> messages.Response:
        """Tells another relay what this daemon grants."""
        del request
        fields = PartFields(count=self.count or 0)
        return messages.Response(200, (), msgspec.msgpack.encode(fields))

    def close(self) -> None:
        """Stops waiting for other relays."""
        if self.takeover is not None:
            self.takeover.cancel()

    def _named_count(self) -> int | None:
        """Returns the number of parts by the settings in force."""
        if not self.fleet_relays.addresses:
            # Without relays, daemons can't count each other.
            return turns.UNCOUNTED_FLEET
        return self.fleet_relays.count if self.fleet_relays.is_relay else None

    def _change_relays(self, change: relays.RelayChange) -> None:
        self.close()
        self.takeover = None
        now = self.loop.time()
        removed = dict.fromkeys(change.removed, now)
        self.predecessors = {
            address: at
            for address, at in (self.predecessors | removed).items()
            if address not in self.fleet_relays.addresses
            and at > now - MAX_WAIT_S
        }
        count = self._named_count()
        if count is None or (self.count is not None and count >= self.count):
            self._set(count)
        else:
            self.takeover = self.loop.create_task(self._take_over(count))

    def _set(self, count: int | None) -> None:
        if count == self.count:
            return
        self.before_change(count)
        self.count = count
        self.since = self.loop.time()
        self.taken_over = True

    async def _take_over(self, count: int) -> None:
        """Takes a larger part once the other relays permit it."""
        began = self.loop.time()
        others = {*self.predecessors, *self.fleet_relays.addresses}
        others.discard(self.fleet_relays.own_address)
        still_granting = await self._wait_for(others, count)
        self.predecessors.clear()
        self._set(count)
        waited_ms = round((self.loop.time() - began) * 1000)
        events.emit(
            events.AllowancePartTaken(count, waited_ms, sorted(still_granting))
        )

    async def _wait_for(self, others: set[str], count: int) -> set[str]:
        """Waits for relays; returns those that grant too much to the end."""
        silent_queries: collections.Counter[str] = collections.Counter()
        until = self.loop.time() + MAX_WAIT_S
        while others and self.loop.time() < until:
            queried = sorted(others)
            replies = await asyncio.gather(*map(self.query, queried))
            for address, granted in zip(queried, replies, strict=True):
                if granted is None:
                    silent_queries[address] += 1
                else:
                    silent_queries[address] = 0
                lost = silent_queries[address] >= MAX_SILENT_QUERIES
                if lost or self._permits(address, granted, count):
                    others.discard(address)
            if others:
                await asyncio.sleep(QUERY_PERIOD_S)
        return others

    def _permits(self, address: str, granted: int | None, count: int) -> bool:
        """Returns whether a relay grants no more than by the new settings.

        Args:
            address: Its address.
            granted: Number of parts of which it grants one, 0 if it grants
                nothing, or None if it did not tell.
            count: Number of parts by the new settings.
        """
        if granted is None:
            return False
        named = address in self.fleet_relays.addresses
        return granted == 0 or (named and granted >= count)


async def query_part(address: str) -> int | None:
    """Asks a relay of how many parts it grants one, 0 if it grants nothing.

    Args:
        address: IP number and port of the relay.

    Returns:
        The number, or None if the relay does not tell.
    """
    endpoint = options.parse_endpoint(address)
    relay = client.HttpClient(endpoint.address, endpoint.port)
    outcome = await relay.request("GET", PATH, QUERY_TIMEOUT_S)
    await relay.close()
    if not isinstance(outcome, outcomes.Answered):
        return None
    if outcome.response.status != 200:
        # A daemon of an earlier build grants its part until it is restarted.
        return 1
    try:
        return decoding.from_msgpack(outcome.body, PartFields)["count"]
    except decoding.UnreadableError as error:
        events.emit(events.PeerMessageUnreadable(address, str(error)))
        return None
