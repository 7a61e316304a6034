"""What a dispatcher knows about its service, its servers and groups."""

import random
from collections.abc import Sequence

from banyantiller.bundle import options
from banyantiller.routing import beliefs, choice, limits, ramp, tuning
from banyantiller.routing.budget import ExtraCalls
from banyantiller.routing.calls import CallState
from banyantiller.routing.drain import DrainRate
from banyantiller.routing.hedging import LatencyQuantile
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
        window: Most tries of this daemon at once.
        ejected: Servers ejected since these were last planned for.
    """

    def __init__(
        self,
        service: options.Service,
        zone: str,
        seed: int,
        now: float,
    ) -> None:
        self.options = service
        self.zone = zone
        self.tuning = tuning.for_objective(service.objective)
        self.rng = random.Random(seed)
        self.views: dict[str, ServerView] = {}
        self.groups: dict[str, list[ServerView]] = {"": []}
        self.waiting: dict[str, WaitingCalls] = {"": WaitingCalls()}
        self.believed = beliefs.Believed()
        self.sharing = GroupSharing()
        self.extra = ExtraCalls(service.retry.budget_percent, self.tuning.burst)
        self.late = LatencyQuantile(self.tuning.hedge_quantile)
        self.drain = DrainRate(now)
        self.window = limits.Window()
        self.ejected: list[ServerView] = []

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
            if view.state.leaving and not state.leaving:
                view.draining = False
            view.state = state
            view.local = state.zone == self.zone
            view.slots = state.slots
            view.update_closed()
            self.believed.prepare(state.slots)
            kept[state.name] = view
        self.views = kept
        usable = [v.slots for v in kept.values() if v.is_usable()]
        self.window.configure(sum(usable), len(usable))
        self._regroup()

    def group_of(self, view: ServerView) -> list[ServerView]:
        """Returns the servers of a server's group."""
        name = view.state.group if self.options.shares else ""
        return self.groups.get(name, self.groups[""])

    def has_usable(self) -> bool:
        """Tells whether any server may get new calls at all."""
        return any(view.is_usable() for view in self.views.values())

    def choose(
        self, call: CallState, now: float, fresh: bool
    ) -> choice.Choice | None:
        """Returns the best server for a call, or None.

        A call of a group without usable servers may go to any server.

        Args:
            call: The call.
            now: The loop's time.
            fresh: Whether servers that the call has tried are left out.
        """
        views = self.groups.get(call.group, ())
        found = self._choose_from(views, call, now, fresh)
        if found is not None or any(view.is_usable() for view in views):
            return found
        return self._choose_from(self.groups[""], call, now, fresh)

    def _choose_from(
        self,
        views: Sequence[ServerView],
        call: CallState,
        now: float,
        fresh: bool,
    ) -> choice.Choice | None:
        without = call.tried if fresh else ()
        return choice.choose(
            views,
            without,
            call.idempotent,
            self.believed,
            self.tuning,
            now,
            self.rng,
        )

    def _new_view(self, state: ServerState) -> ServerView:
        return ServerView(state, False, state.slots)

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
