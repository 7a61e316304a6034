"""Chooses where a call is sent: to a server, or to another daemon."""

import math

from banyantiller.gateway import (
    forwarding,
    probing,
    protocols,
    server_choice,
    types,
)
from banyantiller.gateway.decisions import hedging, waiting


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
    return choice


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
