"""State of one service: options, server views, groups and averages."""

import random
from collections.abc import Sequence

from banyantiller.bundle import options
from banyantiller.routing import averages, choice, limits, ramp, tuning
from banyantiller.routing.budget import RetryBudget
from banyantiller.routing.calls import CallState
from banyantiller.routing.completion_rate import CompletionRate
from banyantiller.routing.hedging import LatencyQuantile
from banyantiller.routing.shares import GroupRoundRobin
from banyantiller.routing.tuning import Tuning
from banyantiller.routing.types import ServerState
from banyantiller.routing.views import ServerView
from banyantiller.routing.waiting import WaitingCalls


class ServiceState:
    """Options, server views and averages of one service.

    Attributes:
        options: Options of the service.
        zone: This daemon's availability zone.
        tuning: Constants of the policy.
        rng: Source of random choices.
        views: Server views by name.
        groups: Server views by group; "" holds all.
        waiting: Waiting calls by group.
        averages: Averages over the service.
        round_robin: Assigns calls to groups.
        retry_budget: Budget of retries and hedges.
        hedge_latency: Latency quantile above which a call is hedged.
        completion_rate: Rate at which calls complete here.
        window: Limit of this daemon's concurrent attempts.
        newly_ejected: Ejected servers whose recovery isn't scheduled yet.
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
        self.averages = averages.ServiceAverages()
        self.round_robin = GroupRoundRobin()
        self.retry_budget = RetryBudget(
            service.retry.budget_percent, self.tuning.max_retry_tokens
        )
        self.hedge_latency = LatencyQuantile(self.tuning.hedge_quantile)
        self.completion_rate = CompletionRate(now)
        self.window = limits.ConcurrencyWindow()
        self.newly_ejected: list[ServerView] = []

    def replace_tuning(self, constants: Tuning) -> None:
        """Replaces the constants, for benchmarks."""
        self.tuning = constants
        self.hedge_latency = LatencyQuantile(constants.hedge_quantile)
        self.retry_budget.max_tokens = constants.max_retry_tokens

    def configure(
        self,
        service: options.Service,
        servers: tuple[ServerState, ...],
        now: float,
    ) -> None:
        """Applies options and servers; keeps the views of servers that stay."""
        first = not self.views
        if service.objective != self.options.objective:
            self.tuning = tuning.for_objective(service.objective)
        self.options = service
        self.retry_budget.configure(service.retry.budget_percent)
        kept: dict[str, ServerView] = {}
        for server in servers:
            view = self.views.get(server.name)
            if view is None:
                view = self._new_view(server)
                if not first:
                    ramp.start(view, now)
            if view.server.leaving and not server.leaving:
                view.draining = False
            view.server = server
            view.in_local_zone = server.zone == self.zone
            view.slots = server.slots
            view.update_availability()
            self.averages.add_initial_estimates(server.slots)
            kept[server.name] = view
        self.views = kept
        usable = [v.slots for v in kept.values() if v.is_usable()]
        self.window.configure(sum(usable), len(usable))
        self._regroup()

    def group_of(self, view: ServerView) -> list[ServerView]:
        """Returns the servers of a server's group."""
        name = view.server.group if self.options.shares else ""
        return self.groups.get(name, self.groups[""])

    def has_usable_server(self) -> bool:
        """Returns whether any server accepts new calls."""
        return any(view.is_usable() for view in self.views.values())

    def choose(
        self, call: CallState, now: float, exclude_tried: bool
    ) -> choice.Choice | None:
        """Returns the best server for a call, or None.

        A call of a group without usable servers may go to any server.

        Args:
            call: The call.
            now: The loop's time.
            exclude_tried: Whether servers that the call was already sent to are
                excluded.
        """
        views = self.groups.get(call.group, ())
        found = self._choose_from(views, call, now, exclude_tried)
        if found is not None or any(view.is_usable() for view in views):
            return found
        return self._choose_from(self.groups[""], call, now, exclude_tried)

    def _choose_from(
        self,
        views: Sequence[ServerView],
        call: CallState,
        now: float,
        exclude_tried: bool,
    ) -> choice.Choice | None:
        excluded = call.tried_servers if exclude_tried else ()
        return choice.choose(
            views,
            excluded,
            call.idempotent,
            self.averages,
            self.tuning,
            now,
            self.rng,
        )

    def _new_view(self, server: ServerState) -> ServerView:
        return ServerView(server, False, server.slots)

    def _regroup(self) -> None:
        groups: dict[str, list[ServerView]] = {"": list(self.views.values())}
        if self.options.shares:
            for view in self.views.values():
                groups.setdefault(view.server.group, []).append(view)
        self.groups = groups
        for name in groups:
            self.waiting.setdefault(name, WaitingCalls())
        self.round_robin.configure(
            self.options.shares, (v.server.group for v in self.views.values())
        )
