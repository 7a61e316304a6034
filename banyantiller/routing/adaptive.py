"""The adaptive routing policy: a state machine over one service's calls."""

from collections.abc import Callable
from functools import partial

from banyantiller.bundle import options
from banyantiller.errors import ErrorKind
from banyantiller.routing import ejection, learning
from banyantiller.routing.calls import CallState
from banyantiller.routing.flow import CallFlow
from banyantiller.routing.service import ServiceKnowledge
from banyantiller.routing.tuning import Tuning
from banyantiller.routing.types import (
    Action,
    AttemptResult,
    Call,
    LoadReport,
    Probe,
    ServerState,
)
from banyantiller.routing.views import ServerView

PROBE_LIMIT_S = 2.0
ASK_AGAIN_S = 1.0

Charge = Callable[[float], bool]


class AdaptiveDispatcher:
    """Implements `routing.types.Dispatcher`.

    Attributes:
        known: What is known of the service.
        flow: Calls without a final answer.
        charge: Takes one probe out of the measuring budget.
    """

    def __init__(self, known: ServiceKnowledge, charge: Charge) -> None:
        self.known = known
        self.flow = CallFlow(known)
        self.charge = charge

    def configure(
        self,
        service: options.Service,
        servers: tuple[ServerState, ...],
        now: float,
    ) -> list[Action]:
        """Takes a new bundle or changed servers; keeps what it learned."""
        self.known.configure(service, servers, now)
        return self.flow.start_waiting(now)

    def submit(self, call: Call, now: float) -> list[Action]:
        """Takes a call: starts it, queues it or refuses it."""
        known = self.known
        known.extra.earn()
        state = CallState.from_call(call, known.sharing.next_group(), now)
        self.flow.calls[call.call_id] = state
        if call.deadline <= now:
            kind = ErrorKind.DEADLINE_BEFORE_START
            return [self.flow.refuse(state, kind)]
        return self.flow.begin(state, now)

    def attempt_head(
        self, attempt_id: int, result: AttemptResult, now: float
    ) -> list[Action]:
        """Takes the answer head, or the failure, of a try."""
        flow = self.flow
        attempt = flow.attempts.get(attempt_id)
        if attempt is None or attempt.call.finished:
            return []
        call = attempt.call
        call.replayable = call.replayable and result.replayable
        learning.learn_result(self.known, attempt, result, now)
        if result.ok and not flow.worth_retry(call, result, now):
            actions = flow.relay(attempt, now)
        else:
            actions = flow.failed(attempt, result, now)
        return actions + self._follow_up(now)

    def attempt_done(self, attempt_id: int, now: float) -> list[Action]:
        """Takes the end of a relayed answer; the slot is free."""
        attempt = self.flow.attempts.get(attempt_id)
        if attempt is None:
            return []
        self.flow.end(attempt)
        self.known.drain.ended(now)
        return self.flow.start_waiting(now)

    def cancel(self, call_id: int, now: float) -> list[Action]:
        """The caller is gone; cancels or forgets the call."""
        call = self.flow.calls.get(call_id)
        if call is None:
            return []
        return self.flow.forget(call, now) + self._follow_up(now)

    def report(
        self, server: str, report: LoadReport, now: float
    ) -> list[Action]:
        """Takes a report from a probe; what peers tell is not used.

        Peers' figures made every daemon choose the same server at once; see
        the design note.
        """
        view = self.known.views.get(server)
        if view is None or report.source == "peer":
            return []
        learning.learn_report(self.known, view, report, now)
        if report.source == "probe" and view.probing:
            view.probing = False
            view.update_closed()
            ejection.answered(view)
        return self.flow.start_waiting(now)

    def probe_failed(self, server: str, now: float) -> list[Action]:
        """A probe got no answer."""
        view = self.known.views.get(server)
        if view is None or not view.probing:
            return []
        view.probing = False
        view.update_closed()
        learning.note_failure(self.known, view, now, sure=True)
        return self._follow_up(now)

    def members(self, alive: int, now: float) -> None:
        """Takes the number of daemons believed alive, this one included."""
        del now
        self.known.window.alive = alive

    def own_load(self, now: float) -> dict[str, float]:
        """Returns this daemon's own calls in flight by server."""
        del now
        views = self.known.views.items()
        return {name: float(len(view.own)) for name, view in views if view.own}

    def tick(self, now: float) -> list[Action]:
        """Does what is due: deadlines, hedges, probes, recovery."""
        return self.flow.timers.run_due(now) + self._follow_up(now)

    def next_tick(self) -> float | None:
        """Returns the time of the next due work, or None."""
        first = self.flow.timers.first()
        recheck = self.flow.recheck_at
        if first is None or recheck is None:
            return recheck if first is None else first
        return min(first, recheck)

    def _follow_up(self, now: float) -> list[Action]:
        while self.known.ejected:
            view = self.known.ejected.pop()
            work = partial(self._probe, view)
            self.flow.timers.at(view.ejected_until, work)
        return self.flow.start_waiting(now)

    def _probe(self, view: ServerView, now: float) -> list[Action]:
        """Tests a server whose ejection is over, if probes may do it."""
        if not self.known.tuning.probe_recovery or not view.trial:
            return []
        if view.ejected_until > now or view.probing:
            return []
        is_known = self.known.views.get(view.state.name) is view
        if not (is_known and view.is_usable()):
            return []
        if not self.charge(now):
            # The budget notes the wish and gets permits within seconds.
            again = partial(self._probe, view)
            self.flow.timers.at(now + ASK_AGAIN_S, again)
            return []
        view.probing = True
        view.update_closed()
        late = partial(self._probe_late, view)
        self.flow.timers.at(now + PROBE_LIMIT_S, late)
        return [Probe(view.state.name)]

    def _probe_late(self, view: ServerView, now: float) -> list[Action]:
        return self.probe_failed(view.state.name, now)


def create(
    service: options.Service,
    servers: tuple[ServerState, ...],
    daemon: str,
    zone: str,
    seed: int,
    now: float,
    charge: Charge,
    constants: Tuning | None = None,
) -> AdaptiveDispatcher:
    """Builds the dispatcher of one service in one daemon.

    Args:
        service: Options of the service.
        servers: Its servers.
        daemon: Name of the daemon.
        zone: Availability zone of the daemon.
        seed: Seed of random choices.
        now: The loop's time.
        charge: Takes one probe out of the measuring budget; tells whether
            there was one left.
        constants: Constants in place of those of the objective.
    """
    del daemon
    known = ServiceKnowledge(service, zone, seed, now)
    if constants is not None:
        known.retune(constants)
    known.configure(service, servers, now)
    return AdaptiveDispatcher(known, charge)
