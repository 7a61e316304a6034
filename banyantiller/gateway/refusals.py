"""Decides what a caller is told if no server could be chosen for a call."""

import math

from banyantiller.errors import ErrorKind, Failure
from banyantiller.gateway import exchange, protocols, server_choice
from banyantiller.gateway.decisions import retry_after, waiting


def failure_without_server(
    call: protocols.RunningCall,
    shortage: server_choice.Shortage,
    by_peer: exchange.RefusedByPeer | None,
) -> Failure:
    """Returns the failure of a call that no server has executed.

    Sets the reason for the call's line in the log.

    Args:
        call: The call.
        shortage: Why this daemon found no server.
        by_peer: Refusal by the last daemon that it was forwarded to, or None.
    """
    gateway = call.gateway
    now = call.loop.time()
    if not call.progress.sends and is_too_late_to_start(call):
        return with_retry_after(call, ErrorKind.DRAINING)
    if gateway.store_view.table.all_evacuated(call.service, now):
        call.progress.reason = "zone_evacuated"
        return Failure(
            ErrorKind.NO_SERVER,
            retry_after=retry_after.EVACUATED_RETRY_AFTER_S,
        )
    if by_peer is not None and by_peer.retry_after_s is not None:
        return Failure(by_peer.kind, retry_after=by_peer.retry_after_s)
    kind = (
        ErrorKind.BACKEND_SHED if call.progress.sends else ErrorKind.NO_SERVER
    )
    chooser = gateway.chooser
    wait_s = chooser.seconds_until_available(call.service, call.attempted)
    if 0 < wait_s < math.inf:
        backed_off = chooser.any_backed_off(call.service, call.attempted)
        call.progress.reason = (
            "servers_backed_off" if backed_off else "servers_limited"
        )
        available_s = retry_after.available_retry_after_s(wait_s)
        return Failure(kind, retry_after=available_s)
    if kind is ErrorKind.NO_SERVER:
        call.progress.reason = shortage.value
    return with_retry_after(call, kind, shortage)


def with_retry_after(
    call: protocols.RunningCall,
    kind: ErrorKind,
    shortage: server_choice.Shortage | None = None,
) -> Failure:
    """Returns a failure with the time after which to retry.

    Args:
        call: The call.
        kind: Kind of the failure.
        shortage: Why this daemon found no server, or None.
    """
    # Waiting gains nothing if servers with free slots rejected the call, or if
    # other daemons reach servers, as the caller retries at another one. It
    # gains nothing either while this daemon shuts down.
    unreached_here = shortage is server_choice.Shortage.UNRESPONSIVE and bool(
        call.progress.peers
    )
    at_another_daemon = kind in (ErrorKind.BACKEND_SHED, ErrorKind.DRAINING)
    soon = at_another_daemon or unreached_here
    retry_after_s = None
    full = shortage is server_choice.Shortage.BUSY
    if full or kind is ErrorKind.BACKEND_SHED:
        retry_after_s = _freed_retry_after_s(call)
    if retry_after_s is None:
        retry_after_s = retry_after.retry_after_s(call.gateway.random, soon)
    return Failure(kind, retry_after=retry_after_s)


def _freed_retry_after_s(call: protocols.RunningCall) -> float | None:
    """Returns when a slot is free for a rejected call, or None if unknown."""
    gateway = call.gateway
    now = call.loop.time()
    load = gateway.shared_load(call.service, now)
    if load is None:
        return None
    return retry_after.freed_retry_after_s(
        load,
        gateway.returning_callers.expected_callers(call.service),
        call.deadline - now,
        gateway.random,
    )


def is_too_late_to_start(call: protocols.RunningCall) -> bool:
    """Returns whether this daemon exits before a call is usually done.

    Its connection would be cut while a server executes it, and the caller of a
    request that is not idempotent could not retry it. A wait for a server ends
    at the same moment.
    """
    route = call.route
    usual_s = call.gateway.durations.usual_s(route.name, route.objective_s)
    latest_start = call.gateway.chooser.drain_ends_at - usual_s
    return call.loop.time() + waiting.REPROBE_PAUSE_S > latest_start
