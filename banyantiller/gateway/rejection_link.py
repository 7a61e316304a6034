"""Asks one relay about rejected requests.

While a message is under way, further requests wait for the next one.
"""

import asyncio
import collections
import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec

from banyantiller.gateway import events, rejection_relay
from banyantiller.gateway import settings as options
from banyantiller.http import client, messages, outcomes
from banyantiller.utils import decoding

# A relay responds within 10 ms. No call is delayed longer.
ASK_TIMEOUT_S = 0.05
# How long a relay is not asked that did not respond.
SKIP_S = 1.0
# Requests that were served after all are reported with the next message, within
# this time.
WITHDRAW_S = 0.5
# A relay closes connections that are idle for 10 s.
HTTP_LIMITS = messages.Limits(
    connections=2, proven_s=5.0, connect_s=ASK_TIMEOUT_S, silence_s=3
)


class Answer(NamedTuple):
    """What a relay said of one request.

    Attributes:
        earlier: Number of its earlier rejections.
        position: Its position among the callers that the relay expects back,
            or None.
        returned_percent: Share of rejected callers that come back, or None.
    """

    earlier: int
    position: float | None
    returned_percent: int | None


class RelayLink:
    """Asks one relay.

    Attributes:
        address: IP address and port of the relay.
        waiting: Requests that wait for the next message, with their service.
        served: Requests to report as served.
        skipped_until: Loop time until which the relay is not asked.
        lost: Whether it did not respond to the last message.
        results: Number of messages by result.
    """

    def __init__(
        self,
        address: str,
        fields_of: Callable[
            [dict[str, list[bytes]], list[bytes]], rejection_relay.AskFields
        ],
        results: collections.Counter[str],
    ) -> None:
        endpoint = options.parse_endpoint(address)
        self.client = client.HttpClient(
            endpoint.address, endpoint.port, HTTP_LIMITS
        )
        self.address = address
        self.fields_of = fields_of
        self.results = results
        self.loop = asyncio.get_running_loop()
        self.waiting: collections.deque[
            tuple[str, bytes, asyncio.Future[Answer | None]]
        ] = collections.deque()
        self.served: collections.deque[bytes] = collections.deque(
            maxlen=rejection_relay.MAX_FINGERPRINTS
        )
        self.skipped_until = -math.inf
        self.lost = False
        self.exchange: asyncio.Task[None] | None = None
        self.served_timer: asyncio.TimerHandle | None = None

    def ask(self, service: str, digest: bytes) -> asyncio.Future[Answer | None]:
        """Reports a rejection; the answer is None if the relay gives none."""
        answer: asyncio.Future[Answer | None] = self.loop.create_future()
        if self.loop.time() < self.skipped_until:
            answer.set_result(None)
            return answer
        self.waiting.append((service, digest, answer))
        self._start()
        return answer

    def report_served(self, digest: bytes) -> None:
        """Reports a request as served, with the next message or soon."""
        self.served.append(digest)
        if self.served_timer is None:
            self.served_timer = self.loop.call_later(WITHDRAW_S, self._start)

    async def close(self) -> None:
        """Stops asking."""
        self.begin_close()

    def begin_close(self) -> None:
        """Does what `close` does, for callers that are no coroutines."""
        if self.served_timer is not None:
            self.served_timer.cancel()
        if self.exchange is not None:
            self.exchange.cancel()
        self.client.begin_close()

    def _start(self) -> None:
        if self.exchange is None:
            self.exchange = self.loop.create_task(self._run())

    async def _run(self) -> None:
        try:
            while self.waiting or self.served:
                await self._exchange_message()
        finally:
            # Not in a callback, which would run later: a request that comes in
            # between would wait for a task that has ended.
            self.exchange = None

    async def _exchange_message(self) -> None:
        if self.served_timer is not None:
            self.served_timer.cancel()
            self.served_timer = None
        served = list(self.served)
        self.served.clear()
        if self.loop.time() < self.skipped_until:
            return
        count = min(len(self.waiting), rejection_relay.MAX_FINGERPRINTS)
        asked = [self.waiting.popleft() for _ in range(count)]
        digests: dict[str, list[bytes]] = {}
        for service, digest, _ in asked:
            digests.setdefault(service, []).append(digest)
        reply = None
        try:
            reply = await self._send(self.fields_of(digests, served))
        finally:
            _resolve(asked, reply)
        if reply is None:
            self.skipped_until = self.loop.time() + SKIP_S
            _resolve(self.waiting, None)
            self.waiting.clear()

    async def _send(
        self, fields: rejection_relay.AskFields
    ) -> rejection_relay.AnswerFields | None:
        body = msgspec.msgpack.encode(fields)
        outcome = await self.client.request(
            "POST", rejection_relay.PATH, ASK_TIMEOUT_S, (), body
        )
        if not isinstance(outcome, outcomes.Answered):
            return self._record_loss("silent")
        if outcome.response.status != 200:
            # A relay of an earlier build, or without shared load, responds so.
            return self._record_loss("not_ready")
        try:
            reply = decoding.from_msgpack(
                outcome.body, rejection_relay.AnswerFields
            )
        except decoding.UnreadableError as error:
            events.emit(events.PeerMessageUnreadable(self.address, str(error)))
            return self._record_loss("not_ready")
        self.lost = False
        self.results["answered"] += 1
        return reply

    def _record_loss(self, reason: str) -> None:
        self.results[reason] += 1
        if not self.lost:
            events.emit(events.PeerLost(self.address, reason))
        self.lost = True


def answer_to(
    reply: rejection_relay.AnswerFields | None, service: str, number: int
) -> Answer | None:
    """Returns what a reply says of one request of a service, if anything."""
    seen = reply["seen"].get(service) if reply is not None else None
    if seen is None or number >= len(seen["earlier"]):
        return None
    earlier = seen["earlier"][number]
    return Answer(earlier, seen["position"], reply["returned_percent"])


def _resolve(
    asked: Iterable[tuple[str, bytes, asyncio.Future[Answer | None]]],
    reply: rejection_relay.AnswerFields | None,
) -> None:
    numbers: collections.Counter[str] = collections.Counter()
    for service, _, answer in asked:
        # Callers may have disconnected in the meantime.
        if not answer.done():
            answer.set_result(answer_to(reply, service, numbers[service]))
        numbers[service] += 1
