"""Forwards calls to daemons that reach servers which this daemon doesn't.

The daemon that forwards keeps the call: it has chosen the route and the service
by its own document, decides on retries and hedges, and replies to the caller.
The other one chooses a server and sends once. A call that was forwarded is not
forwarded again, so that daemons which lost their links don't pass it on among
themselves.
"""

import random
from typing import NotRequired, TypedDict
from urllib import parse

import msgspec

from banyantiller.errors import ErrorKind
from banyantiller.gateway import (
    attempts,
    crash_detection,
    daemon_list,
    events,
    exchange,
    protocols,
    reachability,
    server_choice,
    types,
)
from banyantiller.gateway import settings as options
from banyantiller.http import client, messages, outcomes
from banyantiller.utils import decoding

PATH = "/forward"
# A peer accepts a connection within 4 ms.
HTTP_LIMITS = messages.Limits(connect_s=0.1, silence_s=3)
# A larger request is not forwarded: peers read no larger body.
MAX_BODY_BYTES = HTTP_LIMITS.body_bytes - HTTP_LIMITS.head_bytes
# How long a daemon is skipped that is gone or shuts down.
SKIP_S = 1.0
# How long a daemon is skipped that reaches no server of a service: it checks
# them again after this time. While servers crash and start again, the few
# daemons that reach them lose them for moments.
UNREACHED_SKIP_S = reachability.CHECK_PAUSE_S
# Daemons to which one call is offered at most.
MAX_OFFERS = 3
# Reason of a refusal by a daemon that is gone or shuts down.
PEER_GONE = "peer_gone"
# Reasons for which a call is offered to another daemon.
OFFER_AGAIN = (PEER_GONE, server_choice.Shortage.UNRESPONSIVE.value)
# Statuses with which a peer rejects a message before it handles the call: a
# body that is too large, and a daemon that starts, shuts down or doesn't
# know forwarded calls.
REJECTED_STATUSES = (400, 404, 413, 503)


class ForwardedRequest(TypedDict):
    """A call in a message to another daemon.

    `waited_ms` is the time since the caller sent it, `remaining_ms` the time
    until its deadline, and `attempted` names servers that it was sent to.
    `rank`, `elapsed_ms` (from the caller's first try to its arrival) and
    `returned` are sent only by daemons that share loads; see
    `precedence.RequestCost`.
    """

    daemon: str
    method: str
    target: str
    host: str
    headers: list[tuple[str, str]]
    body: bytes
    has_body: bool
    request_id: str
    fingerprint: str
    waited_ms: float
    remaining_ms: float
    version: int
    route: str
    service: str
    idempotent: bool
    objective_ms: float
    attempted: list[str]
    urgent: bool
    rank: NotRequired[float]
    elapsed_ms: NotRequired[float]
    returned: NotRequired[bool]


class ForwardedReply(TypedDict):
    """The result of a forwarded call.

    `error` is the kind of the failure, or null for the response of a server.
    `instances` names the servers that the request was sent to, and
    `incarnation` identifies the last of them. `unreachable` says that no server
    of the service responds to the daemon.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    length: int | None
    error: str | None
    reason: str
    maybe_ran: bool
    instances: list[str]
    incarnation: str
    unreachable: bool
    retry_after_s: float | None


class Forwarder:
    """Offers calls to other daemons.

    Attributes:
        daemons: Lists the daemons that reach a service.
        clients: HTTP clients by address of the daemon.
        skipped_until: Loop time until which a daemon is skipped, by address and
            service; the service is empty for calls of all services.
        random: Source of the choice among daemons.
    """

    def __init__(
        self, daemons: daemon_list.DaemonList, rng: random.Random
    ) -> None:
        self.daemons = daemons
        self.random = rng
        self.clients: dict[str, client.HttpClient] = {}
        self.skipped_until: dict[tuple[str, str], float] = {}

    async def choose(self, service: str, tried: list[str]) -> str | None:
        """Returns the address of a daemon for a call, or None.

        Daemons are chosen at random, so that they share the additional load
        also if most daemons of a zone lost their links.

        Args:
            service: Service that handles the call.
            tried: Addresses of daemons that the call was offered to.
        """
        if len(tried) >= MAX_OFFERS:
            return None
        listed = await self.daemons.find(service)
        found = [
            one
            for one in listed
            if one["address"] not in tried
            and not self._is_skipped(one["address"], service)
        ]
        return self.random.choice(found)["address"] if found else None

    async def is_responsive(self, address: str, service: str) -> bool:
        """Returns whether a daemon responds to a query in time."""
        outcome = await self.client_of(address).request(
            "GET",
            f"{daemon_list.PATH}?{parse.urlencode({'service': service})}",
            daemon_list.QUERY_TIMEOUT_S,
        )
        return isinstance(outcome, outcomes.Answered)

    def skip(self, address: str, service: str = "") -> None:
        """Skips a daemon for a while.

        Args:
            address: Its address.
            service: Service that it doesn't reach, or empty to skip it for all
                services. A daemon that lost the servers of one service takes
                calls of the others.
        """
        skip_s = UNREACHED_SKIP_S if service else SKIP_S
        until = self.daemons.loop.time() + skip_s
        self.skipped_until[address, service] = until

    def _is_skipped(self, address: str, service: str) -> bool:
        now = self.daemons.loop.time()
        return any(
            self.skipped_until.get((address, skipped), now) > now
            for skipped in ("", service)
        )

    def client_of(self, address: str) -> client.HttpClient:
        """Returns the HTTP client of a daemon."""
        found = self.clients.get(address)
        if found is None:
            endpoint = options.parse_endpoint(address)
            found = client.HttpClient(
                endpoint.address, endpoint.port, HTTP_LIMITS
            )
            self.clients[address] = found
        return found

    async def expire(self, now: float) -> None:
        """Closes idle connections once this daemon reaches all services.

        Nothing else would close them before the next call is forwarded.
        """
        if self.daemons.contact.unreachable():
            return
        for found in self.clients.values():
            await found.close()
        self.skipped_until = {
            skipped: until
            for skipped, until in self.skipped_until.items()
            if until > now
        }

    async def close(self) -> None:
        """Closes all connections."""
        self.daemons.close()
        for found in self.clients.values():
            await found.close()


class ForwardedAttempt(attempts.RunningAttempt):
    """Offers a call to another daemon and waits for the result.

    Attributes:
        address: IP number and port of the daemon.
        instances: Servers that the daemon sent the request to.
    """

    def __init__(self, call: protocols.RunningCall, address: str) -> None:
        self.address = address
        self.instances: list[str] = []
        # Counts as sent until the daemon replies that it was not.
        call.progress.sends += 1
        super().__init__(call, None)

    async def is_responsive(self, service: types.Service) -> bool:
        """Returns whether the daemon responds to a query; else skips it."""
        forwarder = self.gateway.forwarder
        if await forwarder.is_responsive(self.address, service.name):
            return True
        forwarder.skip(self.address)
        events.emit(events.PeerLost(self.address, "silent"))
        return False

    def finish(self) -> exchange.Outcome:
        """Records the result of an ended attempt and returns the outcome."""
        outcome = self.task.result()
        progress = self.call.progress
        progress.instances += self.instances
        self.call.attempted.update(self.instances)
        if isinstance(outcome, exchange.RefusedByPeer):
            progress.sends += len(self.instances) - 1
            progress.reason = outcome.reason
        elif isinstance(outcome, exchange.BrokenResponse):
            progress.reason = outcome.reason
        label = _OUTCOME_LABELS[type(outcome)]
        self.gateway.tallies.forwarded[self.call.service, label] += 1
        return outcome

    async def _run(self) -> exchange.Outcome:
        body = msgspec.msgpack.encode(self._build_request())
        self.sent = True
        self.sent_at = self.loop.time()
        outcome = await self.gateway.forwarder.client_of(self.address).request(
            "POST",
            PATH,
            self.call.deadline - self.sent_at,
            (),
            body,
        )
        if isinstance(outcome, outcomes.NotSent):
            return self._refused_by_lost_peer()
        if isinstance(outcome, outcomes.Lost):
            self.gateway.forwarder.skip(self.address)
            return exchange.BrokenResponse(
                ErrorKind.CONNECTION_LOST, f"{self.address}: {outcome.reason}"
            )
        status = outcome.response.status
        if status in REJECTED_STATUSES:
            return self._refused_by_lost_peer()
        try:
            reply = decoding.from_msgpack(outcome.body, ForwardedReply)
            result = _read_outcome(reply)
        except ValueError as error:
            reason = f"{self.address}: status {status}, {error}"
            return exchange.BrokenResponse(ErrorKind.INTERNAL, reason)
        self.instances = reply["instances"]
        if reply["unreachable"]:
            self.gateway.forwarder.skip(self.address, self.call.service)
        if isinstance(result, exchange.CompleteResponse):
            self._record_head(reply)
        return result

    def _refused_by_lost_peer(self) -> exchange.RefusedByPeer:
        self.gateway.forwarder.skip(self.address)
        return exchange.RefusedByPeer(ErrorKind.NO_SERVER, PEER_GONE)

    def _record_head(self, reply: ForwardedReply) -> None:
        """Evaluates what the server states in its response.

        It may shut down, or name a limit, which concerns this daemon as soon as
        it reaches servers again.
        """
        entries = self.gateway.store_view.table.entries
        entry = entries.get(reply["instances"][-1])
        if entry is None:
            return
        if crash_detection.incarnation_id(entry.server) != reply["incarnation"]:
            return
        head = messages.Response(reply["status"], tuple(reply["headers"]))
        self.gateway.response_recorders.to_request(
            entry.server, head, self.sent_at
        )

    def _build_request(self) -> ForwardedRequest:
        call = self.call
        now = self.loop.time()
        outgoing = call.outgoing
        fields = ForwardedRequest(
            daemon=self.gateway.settings.daemon,
            method=outgoing.method,
            target=outgoing.target,
            host=call.request.host,
            headers=list(outgoing.headers),
            body=outgoing.body,
            has_body=outgoing.has_body,
            request_id=outgoing.request_id,
            fingerprint=call.request.fingerprint,
            waited_ms=(now - call.request.received) * 1000,
            remaining_ms=(call.deadline - now) * 1000,
            version=call.version,
            route=call.route.name,
            service=call.service,
            idempotent=call.idempotent,
            objective_ms=call.route.objective_s * 1000,
            attempted=sorted(call.attempted),
            urgent=call.urgent,
        )
        if self.gateway.shares_load():
            fields["rank"] = call.rank
            fields["elapsed_ms"] = call.elapsed_s * 1000
            fields["returned"] = call.returned
        return fields


def may_forward(request: exchange.OutgoingRequest) -> bool:
    """Returns whether a request is small enough to be forwarded."""
    return len(request.body) <= MAX_BODY_BYTES


def is_final(refusal: exchange.RefusedByPeer) -> bool:
    """Returns whether other daemons would refuse the call as well.

    They would if all servers are busy. They need not if the daemon is gone,
    shuts down or reaches no server either, or if one server rejected the
    request.
    """
    if refusal.kind in (ErrorKind.BACKEND_SHED, ErrorKind.DRAINING):
        return False
    return refusal.reason not in OFFER_AGAIN


def _read_outcome(reply: ForwardedReply) -> exchange.Outcome:
    """Returns the outcome that a reply stands for.

    Raises:
        ValueError: The reply has an unknown kind of error, or a response of no
            server.
    """
    if reply["error"] is None:
        if not reply["instances"]:
            raise ValueError("the response names no server")
        return exchange.CompleteResponse(
            reply["status"],
            tuple(reply["headers"]),
            reply["body"],
            reply["length"],
        )
    kind = ErrorKind(reply["error"])
    if reply["maybe_ran"]:
        return exchange.BrokenResponse(kind, reply["reason"])
    return exchange.RefusedByPeer(kind, reply["reason"], reply["retry_after_s"])


# Values of the label `outcome` of the metric of forwarded calls.
_OUTCOME_LABELS = {
    exchange.CompleteResponse: "answered",
    exchange.RefusedByPeer: "refused",
    exchange.BrokenResponse: "broken",
}
