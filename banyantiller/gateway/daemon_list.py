"""Lists the daemons that reach the servers of a service.

Every daemon queries a relay for changes and states in each query where it takes
forwarded calls and which services it doesn't reach, so the relays together
know the fleet. It states so too when it loses a service or reaches it again.
Nothing is stored or agreed: a list is a hint, and a daemon on it may reject a
call.
"""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import NamedTuple, TypedDict
from urllib import parse

import msgspec

from banyantiller.gateway import events, mirror, peers, relays
from banyantiller.http import messages, outcomes
from banyantiller.utils import decoding

PATH = "/daemons"
# Maximum number of daemons in one reply: enough to spread calls over, also if
# half of them have lost their links since.
MAX_LISTED = 16
# A relay that responds does so within 10 ms. Calls wait for the first list.
QUERY_TIMEOUT_S = 0.1
# How long a list is used before the relays are queried again.
REFRESH_S = 1.0
# The same for an empty list, with which every call is refused.
EMPTY_REFRESH_S = 0.25


class DaemonFields(TypedDict):
    """One daemon in a message: where it takes forwarded calls, and its zone."""

    address: str
    zone: str


class ListFields(TypedDict):
    """Reply of a relay."""

    daemons: list[DaemonFields]


class LocalContact(NamedTuple):
    """What this daemon states about itself.

    Attributes:
        address: IP number and port of its control listener; empty for none.
        zone: Its availability zone.
        unreachable: Returns the names of the services that it doesn't reach.
        others: Returns daemons that a relay may name as successors.
    """

    address: str
    zone: str
    unreachable: Callable[[], list[str]]
    others: Callable[[], list[mirror.Contact]] = list

    def to_query(self) -> str:
        """Returns the query parameters that state it; empty without address."""
        if not self.address:
            return ""
        query = {"control": self.address, "zone": self.zone}
        unreachable = self.unreachable()
        if unreachable:
            query["unreachable"] = ",".join(unreachable)
        others = [f"{one.address} {one.zone}" for one in self.others()]
        if others:
            query["others"] = ",".join(others)
        return f"&{parse.urlencode(query)}"


class DaemonList:
    """Daemons that reach a service, as relays list them.

    Attributes:
        fleet_relays: The relays in use.
        local_mirror: Knows the daemons that query this one.
        contact: What this daemon states about itself.
        listed: Daemons by service.
        queried_at: Loop time of the last query by service.
        queries: Running queries by service.
    """

    def __init__(
        self,
        fleet_relays: relays.Relays,
        local_mirror: mirror.Mirror,
        contact: LocalContact,
        rng: random.Random,
    ) -> None:
        self.fleet_relays = fleet_relays
        self.local_mirror = local_mirror
        self.contact = contact
        self.random = rng
        self.listed: dict[str, list[DaemonFields]] = {}
        self.queried_at: dict[str, float] = {}
        self.queries: dict[str, asyncio.Task[None]] = {}
        self.loop = asyncio.get_running_loop()

    async def find(self, service: str) -> list[DaemonFields]:
        """Returns daemons that reach a service, other than this one.

        A known list is returned at once, and renewed in the background if it
        is outdated.
        """
        now = self.loop.time()
        refresh_s = REFRESH_S if self.listed.get(service) else EMPTY_REFRESH_S
        due = now >= self.queried_at.get(service, -REFRESH_S) + refresh_s
        if due and service not in self.queries:
            self.refresh(service)
        if not self.listed.get(service) and service in self.queries:
            await asyncio.wait([self.queries[service]])
        return self.listed.get(service, [])

    def refresh(self, service: str) -> None:
        """Queries the relays, and states to them what this daemon reaches."""
        self.queried_at[service] = self.loop.time()
        query = self.loop.create_task(self._query(service))
        self.queries[service] = query
        query.add_done_callback(lambda _: self._remove_query(service, query))

    def handle(self, request: messages.Request) -> messages.Response:
        """Answers the query of another daemon."""
        self.local_mirror.update_contact(
            mirror.Contact.from_query(request.query)
        )
        service = request.query.get("service", "")
        zone = request.query.get("zone", "")
        known = self._known_here(service)
        if self.contact.address and service not in self.contact.unreachable():
            known.append(self._local_fields())
        reply = ListFields(daemons=self._select(known, zone))
        return messages.Response(200, (), msgspec.json.encode(reply))

    def close(self) -> None:
        """Cancels running queries."""
        for query in list(self.queries.values()):
            query.cancel()

    def _remove_query(self, service: str, query: asyncio.Task[None]) -> None:
        if self.queries.get(service) is query:
            del self.queries[service]

    def _local_fields(self) -> DaemonFields:
        return DaemonFields(
            address=self.contact.address, zone=self.contact.zone
        )

    def _known_here(self, service: str) -> list[DaemonFields]:
        """Returns the daemons that query this one and reach a service."""
        return [
            DaemonFields(address=one.address, zone=one.zone)
            for one in self.local_mirror.contacts()
            if service not in one.unreachable
        ]

    def _select(
        self, known: list[DaemonFields], zone: str
    ) -> list[DaemonFields]:
        """Returns some daemons at random, those of a zone first."""
        self.random.shuffle(known)
        known.sort(key=lambda one: one["zone"] != zone)
        return known[:MAX_LISTED]

    async def _query(self, service: str) -> None:
        replies = await asyncio.gather(
            *(
                self._query_relay(peer, service)
                for peer in self.fleet_relays.peers
            )
        )
        found = self._known_here(service)
        for reply in replies:
            found += reply
        self.listed[service] = [
            one
            for one in _unique(found)
            if one["address"] != self.contact.address
        ]

    async def _query_relay(
        self, peer: peers.Peer, service: str
    ) -> list[DaemonFields]:
        query = parse.urlencode({"service": service, "zone": self.contact.zone})
        outcome = await peer.client.request(
            "GET",
            f"{PATH}?{query}{self.contact.to_query()}",
            QUERY_TIMEOUT_S,
        )
        if not isinstance(outcome, outcomes.Answered):
            return []
        if outcome.response.status != 200:
            return []
        try:
            reply = decoding.from_json(outcome.body, ListFields)
        except decoding.UnreadableError as error:
            events.emit(events.PeerMessageUnreadable(peer.address, str(error)))
            return []
        return reply["daemons"]


def _unique(daemons: Iterable[DaemonFields]) -> list[DaemonFields]:
    """Returns each daemon once."""
    return list({one["address"]: one for one in daemons}.values())
