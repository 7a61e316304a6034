"""Replaces relays that are lost while the settings still name them.

Settings follow the loss of a relay within seconds, or much later. So the first
relay, which reads the store for the others, chooses some of the daemons that
query it as successors, in different availability zones if possible. Relays pass
the choice on with their replies, so that all daemons know the same one when the
relays are lost.

A successor becomes a relay once most successors find all relays lost, and the
other daemons use the successors once most of these have done so. A few daemons
that are cut off from the relays must not grant allowances beside them. All
return to the relays that the settings name as soon as one of these responds.
"""

import asyncio
import hashlib
from collections.abc import Awaitable, Callable, Iterable
from typing import TypedDict

import msgspec

from banyantiller.gateway import allowance_parts, events, mirror, relays
from banyantiller.gateway import settings as options
from banyantiller.http import client, messages, outcomes
from banyantiller.utils import decoding

PATH = "/relays/used"
QUERY_TIMEOUT_S = 0.2
CHECK_PERIOD_S = 0.5
# Checks in a row without a response after which relays are taken for lost.
MIN_SILENT_CHECKS = 2
MAX_SUCCESSORS = 3
# A single daemon can't tell whether the relays are lost or it is cut off.
MIN_SUCCESSORS = 2


class UsedFields(TypedDict):
    """What a successor tells another daemon.

    `in_use` are the relays that it uses, and `lost_to` their successors if it
    found them lost.
    """

    in_use: list[str]
    lost_to: list[str]


class RelaySuccession:
    """Chooses successors of the relays, and has them used when these are lost.

    Attributes:
        fleet_relays: The relays in use.
        local_mirror: Knows the daemons that query this one.
        reads_store: Returns whether this daemon reads the store itself, as it
            is the first relay or no relay serves it.
        responds: Returns whether the relay at an address responds.
        query_successor: Returns what the successor at an address tells, or None
            if it does not respond.
        silent_checks: Checks in a row in which no relay in use responded.
    """

    def __init__(
        self,
        fleet_relays: relays.Relays,
        local_mirror: mirror.Mirror,
        reads_store: Callable[[], bool],
    ) -> None:
        self.fleet_relays = fleet_relays
        self.local_mirror = local_mirror
        self.reads_store = reads_store
        self.responds: Callable[[str], Awaitable[bool]] = relay_responds
        self.query_successor: Callable[[str], Awaitable[UsedFields | None]] = (
            query_successor
        )
        self.silent_checks = 0
        self.loop = asyncio.get_running_loop()
        fleet_relays.on_change.append(self._change_relays)

    async def run(self) -> None:
        """Checks the relays until cancelled."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            if self.fleet_relays.is_relay and self.reads_store():
                self._choose_successors()
            await self.check()

    async def check(self) -> None:
        """Uses successors of lost relays, or named relays that are back."""
        fleet_relays = self.fleet_relays
        if fleet_relays.uses_successors and await self._any_responds(
            fleet_relays.named
        ):
            fleet_relays.use_named()
        elif await self._are_relays_silent():
            self.silent_checks += 1
            may_replace = self._relays_lost() and await self._most_agree()
            # Settings may have named other relays in the meantime.
            if may_replace and self._relays_lost():
                fleet_relays.use_successors()
        else:
            self.silent_checks = 0

    def handle(self, request: messages.Request) -> messages.Response:
        """Tells another daemon which relays this one uses or found lost."""
        del request
        lost_to = self.fleet_relays.successors if self._relays_lost() else ()
        fields = UsedFields(
            in_use=list(self.fleet_relays.addresses), lost_to=list(lost_to)
        )
        return messages.Response(200, (), msgspec.msgpack.encode(fields))

    def _change_relays(self, change: relays.RelayChange) -> None:
        del change
        self.silent_checks = 0

    def _relays_lost(self) -> bool:
        return self.silent_checks >= MIN_SILENT_CHECKS

    async def _are_relays_silent(self) -> bool:
        """Returns whether no relay in use responds, and they have successors.

        Relays are queried only if the last query of one of them failed.
        """
        fleet_relays = self.fleet_relays
        if fleet_relays.is_relay or not fleet_relays.successors:
            return False
        if not self.reads_store():
            return False
        failed = fleet_relays.count_skipped(self.loop.time())
        if not failed and not self.silent_checks:
            return False
        return not await self._any_responds(fleet_relays.addresses)

    async def _most_agree(self) -> bool:
        """Returns whether the successors may be used by this daemon."""
        successors = self.fleet_relays.successors
        own_address = self.fleet_relays.own_address
        others = [one for one in successors if one != own_address]
        replies = await asyncio.gather(*map(self.query_successor, others))
        agreeing = len(successors) - len(others)
        for reply in replies:
            if reply is None:
                continue
            uses = tuple(reply["in_use"]) == successors
            found_lost = tuple(reply["lost_to"]) == successors
            agreeing += uses or (found_lost and own_address in successors)
        return 2 * agreeing > len(successors)

    async def _any_responds(self, addresses: Iterable[str]) -> bool:
        others = set(addresses) - {self.fleet_relays.own_address}
        return any(await asyncio.gather(*map(self.responds, others)))

    def _choose_successors(self) -> None:
        """Chooses successors; those that still query a relay stay."""
        zones = {
            address: zone
            for address, zone in self.local_mirror.zones_by_daemon().items()
            if address not in self.fleet_relays.addresses
        }
        chosen = choose_successors(self.fleet_relays.successors, zones)
        self.fleet_relays.set_successors(chosen)


def choose_successors(
    before: Iterable[str], zones: dict[str, str]
) -> tuple[str, ...]:
    """Returns the successors of the relays, from different zones if possible.

    Args:
        before: Successors up to now.
        zones: Availability zone of each daemon, by its address.

    Returns:
        The addresses, sorted; none if there are too few daemons.
    """
    chosen = [address for address in before if address in zones]
    left = sorted(zones.keys() - set(chosen), key=_random_order)
    while left and len(chosen) < MAX_SUCCESSORS:
        used = {zones[address] for address in chosen}
        elsewhere = [one for one in left if zones[one] not in used]
        chosen.append((elsewhere or left)[0])
        left.remove(chosen[-1])
    if len(chosen) < MIN_SUCCESSORS:
        return ()
    return tuple(sorted(chosen))


def _random_order(address: str) -> bytes:
    return hashlib.blake2b(address.encode(), digest_size=8).digest()


async def relay_responds(address: str) -> bool:
    """Returns whether a relay responds.

    Args:
        address: Its IP number and port.
    """
    return await allowance_parts.query_part(address) is not None


async def query_successor(address: str) -> UsedFields | None:
    """Asks a successor which relays it uses or found lost.

    Args:
        address: Its IP number and port.

    Returns:
        What it tells, or None if it does not respond.
    """
    endpoint = options.parse_endpoint(address)
    successor = client.HttpClient(endpoint.address, endpoint.port)
    outcome = await successor.request("GET", PATH, QUERY_TIMEOUT_S)
    await successor.close()
    if not isinstance(outcome, outcomes.Answered):
        return None
    if outcome.response.status != 200:
        return None
    try:
        return decoding.from_msgpack(outcome.body, UsedFields)
    except decoding.UnreadableError as error:
        events.emit(events.PeerMessageUnreadable(address, str(error)))
        return None
