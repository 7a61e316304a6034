"""What a dispatcher knows about its service, its servers and groups."""

import random

from banyantiller.bundle import options
from banyantiller.routing import choice, limits, ramp, tuning
from banyantiller.routing.budget import ExtraCalls
from banyantiller.routing.calls import CallState
from banyantiller.routing.hedging import LatencyQuantile
from banyantiller.routing.refusal import DrainRate
from banyantiller.routing.shares import GroupSharing
from banyantiller.routing.tuning import Tuning
from banyantiller.routing.types import ServerState
from banyantiller.routing.views import ServerView
from banyantiller.routing.waiting import WaitingCalls


class ServiceKnowledge:
    """Options, server views and averages of one service.

    Attributes:
        options: Options of the service.
        zone: This daemon's availability zone.
        tuning: Constants of the policy.
        rng: Source of random choices.
        views: Server views by name.
        groups: Server views by group; "" holds all.
        waiting: Waiting calls by group.
        believed: Averages over the service.
        sharing: Which group gets the next call.
        extra: Budget of retries and hedges.
        late: Latency above which a call is hedged.
        drain: Calls that end here each second.
    """

    def __init__(
        self, service: options.Service, zone: str, seed: int, now: float
    ) -> None:
        self.options = service
        self.zone = zone
        self.tuning = tuning.for_objective(service.objective)
        self.rng = random.Random(seed)
        self.views: dict[str, ServerView] = {}
        self.groups: dict[str, list[ServerView]] = {"": []}
        self.waiting: dict[str, WaitingCalls] = {"": WaitingCalls()}
        self.believed = choice.Believed()
        self.sharing = GroupSharing()
        self.extra = ExtraCalls(service.retry.budget_percent, self.tuning.burst)
        self.late = LatencyQuantile(self.tuning.hedge_quantile)
        self.drain = DrainRate(now)

    def retune(self, constants: Tuning) -> None:
        """Replaces the constants, for measurements."""
        self.tuning = constants
        self.late = LatencyQuantile(constants.hedge_quantile)
        self.extra.most = constants.burst

    def configure(
        self,
        service: options.Service,
        servers: tuple[ServerState, ...],
        now: float,
    ) -> None:
        """Takes options and servers; keeps what is known of kept servers."""
        first = not self.views
        if service.objective != self.options.objective:
            self.tuning = tuning.for_objective(service.objective)
        self.options = service
        self.extra.configure(service.retry.budget_percent)
        kept: dict[str, ServerView] = {}
        for state in servers:
            view = self.views.get(state.name)
            if view is None:
                view = self._new_view(state)
                if not first:
                    ramp.begin(view, now)
            view.state = state
            view.local = state.zone == self.zone
            kept[state.name] = view
        self.views = kept
        self._regroup()

    def candidates(self, group: str) -> list[ServerView]:
        """Returns the servers of a group, or all if none of it is usable."""
        views = self.groups.get(group, [])
        if any(usable(view) for view in views):
            return views
        return self.groups[""]

    def group_of(self, view: ServerView) -> str:
        """Returns the name of the group that a server counts to."""
        return view.state.group if self.options.shares else ""

    def is_full(self, view: ServerView, now: float) -> bool:
        """Tells whether a call should wait here rather than on a server."""
        load = choice.believed_load(view, self.believed, self.tuning, now)
        return limits.full(load, view.state.slots, self.tuning)

    def choose(
        self, call: CallState, now: float, fresh: bool
    ) -> ServerView | None:
        """Returns the best server for a call, or None.

        Args:
            call: The call.
            now: The loop's time.
            fresh: Whether servers that the call has tried are left out.
        """
        without = call.tried if fresh else ()
        return choice.choose(
            self.candidates(call.group),
            without,
            call.idempotent,
            self.believed,
            self.tuning,
            now,
            self.rng,
        )

    def _new_view(self, state: ServerState) -> ServerView:
        view = ServerView(state, state.zone == self.zone)
        view.limit = limits.first(state.slots)
        return view

    def _regroup(self) -> None:
        groups: dict[str, list[ServerView]] = {"": list(self.views.values())}
        if self.options.shares:
            for view in self.views.values():
                groups.setdefault(view.state.group, []).append(view)
        self.groups = groups
        for name in groups:
            self.waiting.setdefault(name, WaitingCalls())
        self.sharing.configure(
            self.options.shares, (v.state.group for v in self.views.values())
        )


def usable(view: ServerView) -> bool:
    """Tells whether a server may get new calls at all."""
    return not (view.state.leaving or view.draining)
