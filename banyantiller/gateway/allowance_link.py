"""Asks one relay for the requests of organisations with an allowance.

While a message is under way, further requests wait for the next one, so that
the number of messages doesn't grow with the load.
"""

import asyncio
import collections
import math
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import msgspec

from banyantiller.gateway import allowance_grants, events
from banyantiller.http import client, messages, outcomes
from banyantiller.utils import decoding

# A relay responds within 10 ms. Requests wait for the response.
ASK_TIMEOUT_S = 0.1
# How long a relay is not asked that did not respond.
SKIP_S = 1.0
# Grants that were not used are given back with the next message, within this
# time.
GIVE_BACK_S = 0.5
# A relay closes connections that are idle for 10 s.
HTTP_LIMITS = messages.Limits(
    connections=2, proven_s=5.0, connect_s=0.1, silence_s=3
)


class Answer(NamedTuple):
    """What a relay said to one request.

    Attributes:
        granted: Whether the request was granted.
        wait_s: How long not to ask the relay again if it was not, in seconds.
        short: Whether it is within the allowance, but beyond the fair share of
            a service that is short of capacity.
        final: Whether no other relay needs to be asked.
    """

    granted: bool
    wait_s: float = 0.0
    short: bool = False
    final: bool = False


class Question(NamedTuple):
    """A request that waits for the answer of a relay.

    Attributes:
        answer: Receives the answer, or None if the relay gives none.
        service: Service of the request; empty if the load is not shared.
        new: Whether no other relay was asked for it.
    """

    answer: asyncio.Future[Answer | None]
    service: str
    new: bool


class RelayLink:
    """Asks one relay, which may be this daemon itself.

    Attributes:
        address: IP number and port of the relay; empty for this daemon in a
            fleet without relays.
        client: HTTP client of the relay, or None for this daemon.
        send: Sends a message; returns the reply, or None if there is none.
        waiting: Requests that wait for the next message, by organisation.
        unused: Grants to give back, by organisation and service.
        skipped_until: Loop time until which the relay is not asked.
        exhausted_until: Loop time until which the relay is not asked for an
            organisation, by its name.
        asked_until: Loop time until which the relay is asked, which is limited
            once the settings no longer name it.
    """

    def __init__(
        self,
        send: Callable[
            [allowance_grants.AskFields],
            Awaitable[allowance_grants.GrantFields | None],
        ],
        address: str = "",
        relay_client: client.HttpClient | None = None,
    ) -> None:
        self.send = send
        self.address = address
        self.client = relay_client
        self.asked_until = math.inf
        self.loop = asyncio.get_running_loop()
        self.waiting: dict[str, list[Question]] = {}
        self.unused: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.skipped_until = -math.inf
        self.exhausted_until: dict[str, float] = {}
        self.exchange: asyncio.Task[None] | None = None
        self.give_back_timer: asyncio.TimerHandle | None = None

    def ask(
        self, name: str, service: str = "", new: bool = True
    ) -> asyncio.Future[Answer | None]:
        """Asks for one request; the answer is None if the relay gives none.

        Args:
            name: Name of the organisation.
            service: Service of the request; empty if the load is not shared.
            new: Whether no other relay was asked for it.
        """
        answer: asyncio.Future[Answer | None] = self.loop.create_future()
        question = Question(answer, service, new)
        self.waiting.setdefault(name, []).append(question)
        self._start()
        return answer

    def give_back(self, name: str, service: str = "") -> None:
        """Returns a grant, with the next message or soon."""
        self.unused[name, service] += 1
        if self.give_back_timer is None:
            self.give_back_timer = self.loop.call_later(
                GIVE_BACK_S, self._start
            )

    def close(self) -> None:
        """Stops asking."""
        if self.give_back_timer is not None:
            self.give_back_timer.cancel()
        if self.exchange is not None:
            self.exchange.cancel()
        if self.client is not None:
            self.client.begin_close()

    def _start(self) -> None:
        if self.exchange is None:
            self.exchange = self.loop.create_task(self._run())

    async def _run(self) -> None:
        try:
            while self.waiting or self.unused:
                await self._exchange_message()
        finally:
            # Not in a callback, which would run later: a request that comes in
            # between would wait for a task that has ended.
            self.exchange = None

    async def _exchange_message(self) -> None:
        waiting, self.waiting = self.waiting, {}
        unused, self.unused = self.unused, collections.Counter()
        if self.give_back_timer is not None:
            self.give_back_timer.cancel()
            self.give_back_timer = None
        reply = None
        try:
            reply = await self.send(ask_fields(waiting, unused))
        finally:
            for name, questions in waiting.items():
                self._resolve(name, questions, reply)
        if reply is None:
            self.skipped_until = self.loop.time() + SKIP_S

    def _resolve(
        self,
        name: str,
        questions: list[Question],
        reply: allowance_grants.GrantFields | None,
    ) -> None:
        if reply is not None:
            questions = _resolve_short(name, questions, reply)
        # Callers may have disconnected in the meantime.
        pending = [one for one in questions if not one.answer.done()]
        if reply is None or name not in reply["granted"]:
            for question in pending:
                question.answer.set_result(None)
            return
        granted = reply["granted"][name]
        wait_s = reply["wait_ms"].get(name, 0) / 1000
        gone = [one for one in questions if one.answer.done()]
        for number, question in enumerate(pending):
            question.answer.set_result(Answer(number < granted, wait_s))
        for question in gone[: max(0, granted - len(pending))]:
            self.give_back(name, question.service)


def ask_fields(
    waiting: dict[str, list[Question]],
    unused: collections.Counter[tuple[str, str]],
) -> allowance_grants.AskFields:
    """Returns the message that asks a relay.

    Args:
        waiting: Requests to grant, by organisation.
        unused: Grants to give back, by organisation and service.
    """
    asked = {name: len(questions) for name, questions in waiting.items()}
    unused_by_name: collections.Counter[str] = collections.Counter()
    for (name, _), number in unused.items():
        unused_by_name[name] += number
    fields = allowance_grants.AskFields(
        asked=asked, unused=dict(unused_by_name)
    )
    counts = collections.Counter(
        (name, one.service) for name, found in waiting.items() for one in found
    )
    new = collections.Counter(
        (name, one.service)
        for name, found in waiting.items()
        for one in found
        if one.new
    )
    services = [
        allowance_grants.ServiceRequests(
            *key, counts[key], new[key], unused[key]
        )
        for key in counts | unused
        if key[1]
    ]
    if services:
        fields["services"] = services
    return fields


def _resolve_short(
    name: str,
    questions: list[Question],
    reply: allowance_grants.GrantFields,
) -> list[Question]:
    """Answers requests beyond their fair share; returns the other ones."""
    left = list(questions)
    for short in reply.get("short", ()):
        if short.organisation != name:
            continue
        of_service = [one for one in left if one.service == short.service]
        refused = of_service[max(0, len(of_service) - short.refused) :]
        answer = Answer(False, short.retry_ms / 1000, True, short.final)
        for question in refused:
            left.remove(question)
            if not question.answer.done():
                question.answer.set_result(answer)
    return left


async def send(
    relay: client.HttpClient, fields: allowance_grants.AskFields
) -> allowance_grants.GrantFields | None:
    """Sends a message to a relay; returns the reply, or None if it fails."""
    outcome = await relay.request(
        "POST",
        allowance_grants.PATH,
        ASK_TIMEOUT_S,
        (),
        msgspec.msgpack.encode(fields),
    )
    if not isinstance(outcome, outcomes.Answered):
        return None
    if outcome.response.status != 200:
        return None
    try:
        return decoding.from_msgpack(outcome.body, allowance_grants.GrantFields)
    except decoding.UnreadableError as error:
        address = f"{relay.address}:{relay.port}"
        events.emit(events.PeerMessageUnreadable(address, str(error)))
        return None
