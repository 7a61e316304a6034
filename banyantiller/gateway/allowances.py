"""Admits the requests of organisations within their allowances.

A daemon asks a relay for each request of an organisation with an allowance.
While a message to a relay is under way, further requests wait for the next one,
so that the number of messages doesn't grow with the load. See
`decisions.allowances` for the division among the relays.
"""

import asyncio
import collections
import dataclasses
import math
import random
from collections.abc import Callable

from banyantiller.errors import ErrorKind
from banyantiller.gateway import (
    allowance_grants,
    allowance_link,
    allowance_parts,
    relays,
    store_view,
    types,
)
from banyantiller.gateway import settings as options
from banyantiller.gateway.decisions import (
    allowances,
    retry_after,
    service_load,
)
from banyantiller.http import client

# How long the link to a former relay is kept after it was last asked.
FORMER_LINK_KEPT_S = 1.0
# Reason in the log of calls beyond the fair share of their organisation.
OVER_SHARE_REASON = "fair_share"


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """Whether a request is within the allowance of its organisation.

    Attributes:
        error_kind: Why it is refused, or None.
        retry_after_s: Time after which a refused caller may retry, in seconds.
        link: Relay that granted it, or None.
        service: Service that it was granted for; empty if the load is not
            shared.
        reason: Reason of the refusal for the log; empty if the kind of the
            error says it.
    """

    error_kind: ErrorKind | None = None
    retry_after_s: float = 0.0
    link: allowance_link.RelayLink | None = None
    service: str = ""
    reason: str = ""


UNLIMITED = Admission()


class Allowances:
    """Admits the requests of this daemon's callers.

    Attributes:
        fleet_relays: The relays in use.
        links: Relays to ask.
        former_links: Relays that the settings no longer name. They grant their
            part until they learn of it and their successors take it over.
        relay_grants: Grants of this daemon to others.
        settings: Returns the settings in force.
        recent: Requests that this daemon admitted lately, by organisation.
        count_daemons: Returns the number of daemons, or None if not known.
        without_relays: Requests in a window that are admitted while no relay
            responds, by organisation.
        outcomes: Number of decisions by outcome: "granted", "refused",
            "over_share", or "unconfirmed" if no relay responded.
    """

    def __init__(
        self,
        view: store_view.StoreView,
        fleet_relays: relays.Relays,
        settings: Callable[[], options.Settings],
        rng: random.Random,
        service_load_of: Callable[
            [str, float], service_load.ZoneLoad | None
        ] = allowance_grants.load_not_shared,
        count_daemons: Callable[[], int | None] = lambda: None,
    ) -> None:
        self.settings = settings
        self.count_daemons = count_daemons
        self.random = rng
        self.loop = asyncio.get_running_loop()
        self.relay_grants = allowance_grants.RelayGrants(
            view, fleet_relays, settings, service_load_of
        )
        self.fleet_relays = fleet_relays
        fleet_relays.on_change.append(self._change_relays)
        # Without relays, this daemon grants a part itself.
        self.links = [
            self._link_to(address) for address in fleet_relays.addresses or [""]
        ]
        self.former_links: list[allowance_link.RelayLink] = []
        self.recent: dict[str, allowances.RequestWindow] = {}
        self.without_relays: dict[str, int] = {}
        self.outcomes: collections.Counter[str] = collections.Counter()

    async def admit(
        self, organisation: types.Organisation | None, service: str = ""
    ) -> Admission:
        """Decides whether one more request of an organisation may run.

        Args:
            organisation: The organisation, or None.
            service: Service of the request; empty if the load is not shared.
        """
        if organisation is None or organisation.per_s is None:
            return UNLIMITED
        name = organisation.name
        waits_s = []
        short_waits_s = []
        new = True
        for link in self._links_to_ask():
            left_s = link.exhausted_until.get(name, 0.0) - self.loop.time()
            if left_s > 0:
                waits_s.append(left_s)
                continue
            answer = await link.ask(name, service, new)
            if answer is None:
                continue
            new = False
            self.without_relays.clear()
            if answer.granted:
                return self._admit(name, link, service)
            if answer.short:
                short_waits_s.append(answer.wait_s)
                if answer.final:
                    break
                continue
            link.exhausted_until[name] = self.loop.time() + answer.wait_s
            waits_s.append(answer.wait_s)
        if short_waits_s:
            return self._refuse_over_share(min(short_waits_s))
        if not waits_s:
            return self._decide_alone(organisation)
        self.outcomes["refused"] += 1
        wait_s = retry_after.spread_retry_after_s(min(waits_s), self.random)
        return Admission(ErrorKind.ALLOWANCE_SPENT, wait_s)

    def give_back(
        self, organisation: types.Organisation, admission: Admission
    ) -> None:
        """Returns the grant of a request that no server has executed."""
        if admission.link is not None:
            admission.link.give_back(organisation.name, admission.service)

    def expire(self, now: float) -> None:
        """Drops outdated state."""
        self.relay_grants.expire(now)
        self._drop_former_links(now)
        for link in self.links:
            link.exhausted_until = {
                name: until
                for name, until in link.exhausted_until.items()
                if until > now
            }
        for name, window in list(self.recent.items()):
            window.expire(now)
            if not window.count:
                del self.recent[name]

    async def close(self) -> None:
        """Closes all connections."""
        self.relay_grants.part.close()
        for link in (*self.links, *self.former_links):
            link.close()

    def _links_to_ask(self) -> list[allowance_link.RelayLink]:
        now = self.loop.time()
        found = [link for link in self.links if link.skipped_until <= now]
        self.random.shuffle(found)
        former = [
            link
            for link in self.former_links
            if link.skipped_until <= now < link.asked_until
        ]
        return found + former

    def _change_relays(self, change: relays.RelayChange) -> None:
        del change
        known = {link.address: link for link in self.links + self.former_links}
        self.links = []
        for address in self.fleet_relays.addresses:
            link = known.pop(address, None) or self._link_to(address)
            link.asked_until = math.inf
            self.links.append(link)
        asked_until = self.loop.time() + allowance_parts.MAX_WAIT_S
        self.former_links = list(known.values())
        for link in self.former_links:
            link.asked_until = min(link.asked_until, asked_until)

    def _drop_former_links(self, now: float) -> None:
        # Requests that were asked for meanwhile have their answer.
        dropped_at = now - FORMER_LINK_KEPT_S
        for link in list(self.former_links):
            if link.asked_until <= dropped_at:
                self.former_links.remove(link)
                link.close()

    def _admit(
        self,
        name: str,
        link: allowance_link.RelayLink | None,
        service: str = "",
    ) -> Admission:
        window = self.recent.get(name)
        if window is None:
            window_s = self.settings().allowance_window_s
            window = allowances.RequestWindow(window_s)
            self.recent[name] = window
        window.add(self.loop.time())
        self.outcomes["granted" if link else "unconfirmed"] += 1
        return Admission(link=link, service=service)

    def _refuse_over_share(self, wait_s: float) -> Admission:
        self.outcomes["over_share"] += 1
        spread_s = retry_after.spread_retry_after_s(wait_s, self.random)
        return Admission(
            ErrorKind.NO_SERVER, spread_s, reason=OVER_SHARE_REASON
        )

    def _decide_alone(self, organisation: types.Organisation) -> Admission:
        """Decides without a relay.

        Each daemon goes on at the rate of its grants, so that all of them
        together stay within what the relays granted before. One that admitted
        few requests has a part of the allowance, as few requests say nothing
        about what is allowed.
        """
        name = organisation.name
        window = self.recent.get(name)
        if window is not None:
            window.expire(self.loop.time())
        admitted = window.count if window is not None else 0
        if name not in self.without_relays:
            self.without_relays[name] = max(
                admitted, self._part_alone(organisation)
            )
        if admitted < self.without_relays[name]:
            return self._admit(name, None)
        self.outcomes["refused"] += 1
        asked_again = min(link.skipped_until for link in self.links)
        wait_s = max(retry_after.RETRY_AFTER_S, asked_again - self.loop.time())
        spread_s = retry_after.spread_retry_after_s(wait_s, self.random)
        return Admission(ErrorKind.ALLOWANCE_UNKNOWN, spread_s)

    def _part_alone(self, organisation: types.Organisation) -> int:
        """Returns the requests in a window that this daemon admits alone."""
        allowed = allowances.allowed_requests(
            organisation.per_s,
            organisation.burst,
            self.settings().allowance_window_s,
        )
        return allowances.requests_alone(
            allowed, self.count_daemons(), self.random
        )

    def _link_to(self, address: str) -> allowance_link.RelayLink:
        if address in ("", self.fleet_relays.own_address):
            return allowance_link.RelayLink(self._grant_here, address)
        endpoint = options.parse_endpoint(address)
        found = client.HttpClient(
            endpoint.address, endpoint.port, allowance_link.HTTP_LIMITS
        )
        return allowance_link.RelayLink(
            lambda fields: allowance_link.send(found, fields), address, found
        )

    async def _grant_here(
        self, fields: allowance_grants.AskFields
    ) -> allowance_grants.GrantFields | None:
        if self.relay_grants.part.count is None:
            return None
        return self.relay_grants.grant(fields)
