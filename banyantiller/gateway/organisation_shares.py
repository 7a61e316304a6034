"""Fair shares of organisations at a relay, for each service.

See `decisions.fair_share` for how the shares are found.
"""

import asyncio
import math
from collections.abc import Callable

from banyantiller.gateway import events
from banyantiller.gateway.decisions import fair_share, service_load

# Time without a refusal after which an organisation counts as within its share.
WITHIN_S = 5.0


class OrganisationShares:
    """Limits organisations to their shares while a service is short.

    Attributes:
        service_load: Returns the load of a service at a loop time, or None if
            it is not known or not shared.
        by_service: Shares of each service that organisations asked for.
        refused_at: Loop time of the last refusal of each organisation that is
            beyond its share, by organisation and service.
    """

    def __init__(
        self,
        load_of: Callable[[str, float], service_load.ZoneLoad | None],
    ) -> None:
        self.service_load = load_of
        self.loop = asyncio.get_running_loop()
        self.by_service: dict[str, fair_share.ServiceShares] = {}
        self.refused_at: dict[tuple[str, str], float] = {}

    def grant(
        self, name: str, service: str, weight: float, asked: int, new: int
    ) -> tuple[int, fair_share.Refusal | None]:
        """Grants up to the number of requests that are asked for.

        Args:
            name: Name of the organisation.
            service: Service of its requests.
            weight: This relay's part of its allowance, in requests a second.
            asked: Number of requests.
            new: How many of them no other relay was asked for.

        Returns:
            The number of granted requests, and what follows for the others.
        """
        now = self.loop.time()
        shares = self.by_service.get(service)
        if shares is None:
            shares = fair_share.ServiceShares(now)
            self.by_service[service] = shares
        if shares.is_step_due(now):
            shares.adjust(self.service_load(service, now), now)
        granted = shares.grant(name, weight, asked, new, now)
        if granted == asked:
            return granted, None
        use = shares.by_organisation[name]
        refusal = use.refusal()
        if use.refusals.count <= fair_share.ROUNDING:
            # Another relay grants single requests in its place.
            return granted, refusal
        if (name, service) not in self.refused_at:
            events.emit(
                events.OrganisationOverShare(
                    name, service, round(use.limit, 2), round(use.weight, 2)
                )
            )
        self.refused_at[name, service] = now
        return granted, refusal

    def take_back(self, name: str, service: str, number: int) -> None:
        """Returns grants whose requests no server executed."""
        if service in self.by_service:
            now = self.loop.time()
            self.by_service[service].take_back(name, number, now)

    def expire(self, now: float) -> None:
        """Drops unused state, and reports organisations within their shares."""
        for service, shares in list(self.by_service.items()):
            shares.adjust(self.service_load(service, now), now)
            if not shares.by_organisation and shares.level == math.inf:
                del self.by_service[service]
        for key, refused_at in list(self.refused_at.items()):
            if refused_at + WITHIN_S <= now:
                del self.refused_at[key]
                events.emit(events.OrganisationWithinShare(*key))

    def count_over_share(self) -> int:
        """Returns how many organisations were refused requests lately."""
        return len({name for name, _ in self.refused_at})
