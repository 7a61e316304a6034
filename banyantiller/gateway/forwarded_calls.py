"""Runs calls that other daemons forward to this one."""

import asyncio
from typing import Protocol

import msgspec

from banyantiller.errors import ErrorKind
from banyantiller.gateway import (
    call,
    crash_detection,
    forwarding,
    protocols,
    replies,
    requests,
    types,
)
from banyantiller.gateway.decisions import precedence
from banyantiller.http import messages
from banyantiller.utils import decoding


class DaemonContext(protocols.CallContext, Protocol):
    """Interface of the gateway for forwarded calls."""

    def not_ready_reason(self) -> str:
        """Returns why the daemon is not ready, or an empty text if it is."""

    def signal_if_drained(self) -> None:
        """Tells a daemon that drains that a forwarded call has ended."""


class ForwardedCalls:
    """Handles messages with forwarded calls.

    Attributes:
        running: Number of forwarded calls that are running.
    """

    def __init__(self, gateway: DaemonContext) -> None:
        self.gateway = gateway
        self.running = 0
        self.loop = asyncio.get_running_loop()

    async def handle(self, request: messages.Request) -> messages.Response:
        """Runs a forwarded call; cancelled if the other daemon disconnects."""
        if self.gateway.not_ready_reason():
            return messages.Response(503)
        try:
            fields = decoding.from_msgpack(
                request.body, forwarding.ForwardedRequest
            )
        except decoding.UnreadableError:
            return messages.Response(400)
        forwarded = self._build_call(fields)
        self.running += 1
        try:
            reply = await forwarded.run()
        finally:
            self.running -= 1
            self.gateway.signal_if_drained()
        body = msgspec.msgpack.encode(_build_reply(forwarded, reply))
        return messages.Response(200, (), body)

    def _build_call(self, fields: forwarding.ForwardedRequest) -> call.Call:
        """Builds a call whose route the other daemon has chosen."""
        now = self.loop.time()
        remaining_s = fields["remaining_ms"] / 1000
        request = requests.Request(
            method=fields["method"],
            target=fields["target"],
            host=fields["host"],
            headers=tuple(fields["headers"]),
            body=fields["body"],
            has_body=fields["has_body"],
            request_id=fields["request_id"],
            remaining_s=remaining_s,
            received=now - fields["waited_ms"] / 1000,
            fingerprint=fields["fingerprint"],
        )
        route = types.Route(
            name=fields["route"],
            host=fields["host"],
            prefix="/",
            idempotent=fields["idempotent"],
            timeout_s=remaining_s,
            objective_s=fields["objective_ms"] / 1000,
            priority=0,
            max_attempts=1,
            weighted_services=(types.WeightedService(fields["service"], 1),),
        )
        forwarded = call.Call(self.gateway, request)
        forwarded.forwarded_by = fields["daemon"]
        forwarded.route = route
        forwarded.service = fields["service"]
        forwarded.version = fields["version"]
        forwarded.urgent = fields["urgent"]
        unstated = 0.0 if forwarded.urgent else precedence.ONLY_RANK
        forwarded.rank = fields.get("rank", unstated)
        forwarded.elapsed_s = fields.get("elapsed_ms", 0.0) / 1000
        forwarded.returned = fields.get("returned", False)
        forwarded.deadline = now + remaining_s
        forwarded.attempted.update(fields["attempted"])
        return forwarded


def _build_reply(
    forwarded: call.Call, reply: replies.Reply
) -> forwarding.ForwardedReply:
    progress = forwarded.progress
    error: ErrorKind | None = progress.error
    return forwarding.ForwardedReply(
        status=reply.status,
        headers=list(reply.headers),
        body=reply.body,
        length=reply.length,
        error=None if error is None else error.value,
        reason=progress.reason,
        maybe_ran=progress.maybe_ran,
        instances=progress.instances,
        incarnation=_last_incarnation(forwarded),
        unreachable=forwarded.gateway.reachability.is_lost(forwarded.service),
        retry_after_s=progress.retry_after_s,
    )


def _last_incarnation(forwarded: call.Call) -> str:
    """Returns the incarnation of the last server; empty for none."""
    if not forwarded.progress.instances:
        return ""
    entries = forwarded.gateway.store_view.table.entries
    entry = entries.get(forwarded.progress.instances[-1])
    return crash_detection.incarnation_id(entry.server) if entry else ""
