"""Grants other daemons the requests of organisations with an allowance."""

import asyncio
import math
from collections.abc import Callable
from typing import Annotated, NamedTuple, NotRequired, TypedDict

import msgspec

from banyantiller.gateway import (
    allowance_parts,
    events,
    organisation_shares,
    relays,
    store_view,
    types,
)
from banyantiller.gateway import settings as options
from banyantiller.gateway.decisions import allowances, service_load
from banyantiller.http import messages
from banyantiller.utils import decoding

PATH = "/allowances"
NOT_READY_STATUS = 503

Number = Annotated[int, msgspec.Meta(ge=0)]


class ServiceRequests(NamedTuple):
    """Requests of an organisation for one service.

    Attributes:
        organisation: Name of the organisation.
        service: Service that most requests of their routes are sent to.
        asked: Requests to grant.
        new: How many of them no other relay was asked for.
        unused: Grants whose requests were not executed by any server.
    """

    organisation: str
    service: str
    asked: Number
    new: Number
    unused: Number


class AskFields(TypedDict):
    """A daemon's message to a relay, with numbers by organisation.

    `asked` are requests to grant, and `unused` grants whose requests were not
    sent to any server. `services` divides them by service. It is sent only
    while daemons share what they know of the load; requests without it are not
    limited to a fair share, as daemons of earlier builds take any refusal for a
    spent allowance.
    """

    asked: dict[str, Number]
    unused: dict[str, Number]
    services: NotRequired[list[ServiceRequests]]


class ShortShare(NamedTuple):
    """Requests beyond the fair share of their organisation.

    Attributes:
        organisation: Name of the organisation.
        service: Service that is short of capacity.
        refused: Number of refused requests.
        retry_ms: Time after which the share may permit them.
        final: Whether no other relay needs to be asked for them.
    """

    organisation: str
    service: str
    refused: Number
    retry_ms: Number
    final: bool


class GrantFields(TypedDict):
    """Reply to `AskFields`.

    `granted` has the number of granted requests of each organisation that the
    relay's document names. `wait_ms` tells how long not to ask again for those
    of which some were refused. `short` has the requests that were refused
    although they are within the allowance.
    """

    granted: dict[str, Number]
    wait_ms: dict[str, Number]
    short: NotRequired[list[ShortShare]]


def load_not_shared(service: str, now: float) -> None:
    """Returns no load, as daemons don't share what they know of it."""


class RelayGrants:
    """Grants this relay's parts of the allowances.

    Attributes:
        view: The document in force.
        settings: Returns the settings in force.
        by_organisation: Allowances by the name of the organisation.
        limited: Organisations that were refused requests lately.
        shares: Fair shares of the organisations.
        part: The part of every allowance that this relay grants.
    """

    def __init__(
        self,
        view: store_view.StoreView,
        fleet_relays: relays.Relays,
        settings: Callable[[], options.Settings],
        service_load_of: Callable[
            [str, float], service_load.ZoneLoad | None
        ] = load_not_shared,
    ) -> None:
        self.view = view
        self.settings = settings
        self.loop = asyncio.get_running_loop()
        self.by_organisation: dict[str, allowances.RelayAllowance] = {}
        self.limited: set[str] = set()
        self.shares = organisation_shares.OrganisationShares(service_load_of)
        self.part = allowance_parts.AllowancePart(
            fleet_relays, self._prepare_change
        )

    def handle(self, request: messages.Request) -> messages.Response:
        """Answers the message of another daemon.

        A daemon that only outdated settings name as a relay grants nothing, as
        its part belongs to another one.
        """
        if self.view.routes is None or self.part.count is None:
            return messages.Response(NOT_READY_STATUS)
        try:
            fields = decoding.from_msgpack(request.body, AskFields)
        except decoding.UnreadableError:
            return messages.Response(400)
        body = msgspec.msgpack.encode(self.grant(fields))
        return messages.Response(200, (), body)

    def grant(self, fields: AskFields) -> GrantFields:
        """Returns the reply to a daemon's message."""
        now = self.loop.time()
        for name, number in fields["unused"].items():
            if name in self.by_organisation:
                self.by_organisation[name].take_back(number)
        reply = GrantFields(granted={}, wait_ms={})
        for name, asked in fields["asked"].items():
            organisation = self._organisation(name)
            if organisation is None:
                continue
            granted, wait_s = self._grant(organisation, asked, now)
            reply["granted"][name] = granted
            if granted < asked:
                reply["wait_ms"][name] = math.ceil(wait_s * 1000)
        if "services" in fields:
            self._limit_to_shares(fields["services"], reply)
        return reply

    def _prepare_change(self, count: int | None) -> None:
        """Fills the buckets up to now by the part that was in force until now.

        Otherwise a larger part would count for the time before it was taken,
        in which another relay granted it.
        """
        if count is None or self.part.count is None:
            self.by_organisation.clear()
            return
        now = self.loop.time()
        for name, allowance in list(self.by_organisation.items()):
            organisation = self._organisation(name)
            if organisation is None or organisation.per_s is None:
                del self.by_organisation[name]
            else:
                allowance.fill(self._limits_of(organisation), now)

    def _limit_to_shares(
        self, services: list[ServiceRequests], reply: GrantFields
    ) -> None:
        """Withdraws the grants beyond the fair shares of organisations."""
        undecided = dict(reply["granted"])
        for one in services:
            name = one.organisation
            if self.view.routes is None or one.service not in (
                self.view.routes.document.services
            ):
                continue
            self.shares.take_back(name, one.service, one.unused)
            within = min(one.asked, undecided.get(name, 0))
            organisation = self._organisation(name)
            if not within or organisation is None or organisation.per_s is None:
                continue
            undecided[name] -= within
            weight = self._limits_of(organisation).per_s
            # What is beyond the allowance is no demand for the service.
            new = min(one.new, within)
            granted, refusal = self.shares.grant(
                name, one.service, weight, within, new
            )
            if refusal is None:
                continue
            refused = within - granted
            reply["granted"][name] -= refused
            self.by_organisation[name].take_back(refused)
            retry_ms = math.ceil(refusal.retry_s * 1000)
            reply.setdefault("short", []).append(
                ShortShare(name, one.service, refused, retry_ms, refusal.final)
            )

    def expire(self, now: float) -> None:
        """Drops unused state, and reports organisations within their limits."""
        self.shares.expire(now)
        window_s = self.settings().allowance_window_s
        for name, allowance in list(self.by_organisation.items()):
            if allowance.refused_at + window_s > now:
                continue
            if name in self.limited:
                self.limited.discard(name)
                events.emit(events.OrganisationWithinAllowance(name))
            if self._is_full(name, now):
                del self.by_organisation[name]

    def _is_full(self, name: str, now: float) -> bool:
        """Returns whether a bucket is as a new one would be."""
        organisation = self._organisation(name)
        if organisation is None or organisation.per_s is None:
            return True
        allowance = self.by_organisation[name]
        limits = self._limits_of(organisation)
        allowance.fill(limits, now)
        return allowance.tokens >= limits.capacity

    def _organisation(self, name: str) -> types.Organisation | None:
        if self.view.routes is None:
            return None
        return self.view.routes.organisations_by_name.get(name)

    def _grant(
        self, organisation: types.Organisation, asked: int, now: float
    ) -> tuple[int, float]:
        if organisation.per_s is None:
            return asked, 0.0
        name = organisation.name
        limits = self._limits_of(organisation)
        allowance = self.by_organisation.get(name)
        if allowance is None:
            at_start = limits
            if self.part.taken_over:
                # The slack covers the relays that start within one window, and
                # not further changes in it.
                at_start = limits._replace(start=0.0)
            allowance = allowances.RelayAllowance(at_start, self.part.since)
            self.by_organisation[name] = allowance
        granted = allowance.grant(asked, limits, now)
        if granted < asked and name not in self.limited:
            self.limited.add(name)
            allowed = allowances.allowed_requests(
                organisation.per_s,
                organisation.burst,
                self.settings().allowance_window_s,
            )
            events.emit(events.OrganisationLimited(name, allowed))
        return granted, allowance.wait_s(limits)

    def _limits_of(
        self, organisation: types.Organisation
    ) -> allowances.BucketLimits:
        return allowances.relay_part(
            organisation.per_s,
            organisation.burst,
            self.settings().allowance_slack,
            self.part.count,
        )
