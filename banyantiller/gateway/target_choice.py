"""Chooses where a call is sent: to a server, or to another daemon."""

import math

from banyantiller.gateway import (
    call_events,
    events,
    forwarding,
    probing,
    protocols,
    server_choice,
    types,
)
from banyantiller.gateway.decisions import (
    hedging,
    precedence,
    service_load,
    waiting,
)


async def choose_server(
    call: protocols.RunningCall, service: types.Service, is_hedge: bool
) -> probing.Candidate | server_choice.Shortage:
    """Returns a server for a call, or why there is none.

    A hedge within the objective needs a good score.
    """
    gateway = call.gateway
    if gateway.reachability.is_lost(call.service):
        return server_choice.Shortage.UNRESPONSIVE
    now = call.loop.time()
    objective_s = call.route.objective_s
    in_time = now < call.request.received + objective_s
    usual_s = gateway.durations.usual_s(call.route.name, objective_s)
    limits = waiting.wait_limits(objective_s, usual_s, call.urgent, now)
    usual_limits = limits
    if gateway.shares_load():
        load = gateway.service_loads.service_load(call.service, now)
        _report_rejecting(call, load)
        limits = precedence.wait_limits(cost_of(call, now), load, limits, now)
    call.progress.usual_s = usual_s
    selection_request = server_choice.SelectionRequest(
        call.route,
        service,
        waiting.no_wait(now) if is_hedge else limits,
        frozenset(call.attempted),
        hedging.MAX_SCORE if is_hedge and in_time else math.inf,
        usual_s,
    )
    choice = await gateway.chooser.choose(selection_request)
    if choice is server_choice.Shortage.UNRESPONSIVE:
        gateway.reachability.check(call.service)
    if not is_hedge:
        _count_wait(call, choice, usual_limits, limits)
    return choice


def cost_of(call: protocols.RunningCall, now: float) -> precedence.RequestCost:
    """Returns what the caller of a call loses if it is late or rejected."""
    objective_s = call.route.objective_s
    usual_s = call.gateway.durations.usual_s(call.route.name, objective_s)
    elapsed_s = call.elapsed_s + now - call.request.received
    return precedence.RequestCost(
        call.rank,
        objective_s - elapsed_s - usual_s,
        usual_s,
        call.returned,
        call.deadline - now,
    )


def is_hopeless(call: protocols.RunningCall) -> bool:
    """Returns whether a call can't be served before its deadline any more.

    Without a recent response of its route, the usual duration is only assumed;
    if calls were rejected for it, it would never be learned.
    """
    if not call.gateway.shares_load():
        return False
    now = call.loop.time()
    if not call.gateway.durations.is_known(call.route.name, now):
        return False
    load = call.gateway.shared_load(call.service, now)
    return precedence.is_hopeless(cost_of(call, now), load)


def _report_rejecting(
    call: protocols.RunningCall, load: service_load.ZoneLoad | None
) -> None:
    watch = call.gateway.return_watches[call.service]
    if not watch.update(load, call.loop.time()):
        return
    if not watch.rejecting:
        events.emit(call_events.RetriesUnreserved(call.service))
        return
    events.emit(
        call_events.RetriesReserved(call.service, round(load.rejected_share, 2))
    )


def _count_wait(
    call: protocols.RunningCall,
    choice: probing.Candidate | server_choice.Shortage,
    usual: waiting.WaitLimits,
    limits: waiting.WaitLimits,
) -> None:
    """Counts a call that waited longer, or shorter, than without precedence."""
    waited = call.loop.time() > usual.any_server_until
    if limits.any_server_until > usual.any_server_until and waited:
        if call.rank <= precedence.URGENT_RANK:
            reason = "urgent"
        else:
            reason = "returned" if call.returned else "tolerant"
        call.progress.decision = "waited"
    elif limits.any_server_until < usual.any_server_until and isinstance(
        choice, server_choice.Shortage
    ):
        latest = call.deadline - call.progress.usual_s
        in_time = limits.any_server_until < latest
        reason = "service_short" if in_time else "deadline"
        call.progress.decision = "rejected_early"
    else:
        return
    call.gateway.tallies.record_precedence(
        call.service, call.progress.decision, reason
    )


async def choose_peer(
    call: protocols.RunningCall, shortage: server_choice.Shortage
) -> str | None:
    """Returns the address of a daemon to forward a call to, or None.

    A call is forwarded only if no server responded here: a daemon that finds
    all servers busy would find them busy elsewhere as well.
    """
    if shortage is not server_choice.Shortage.UNRESPONSIVE:
        return None
    if call.forwarded_by or not forwarding.may_forward(call.outgoing):
        return None
    return await call.gateway.forwarder.choose(
        call.service, call.progress.peers
    )
