"""Admits the requests of organisations within their allowances.

A daemon asks a relay for each request of an organisation with an allowance.
While a message to a relay is under way, further requests wait for the next one,
so that the number of messages doesn't grow with the load. See
`decisions.allowances` for the division among the relays.
"""

import asyncio
import collections
import dataclasses
import math
import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import msgspec

from banyantiller.errors import ErrorKind
from banyantiller.gateway import allowance_grants, events, store_view, types
from banyantiller.gateway import settings as options
from banyantiller.gateway.decisions import allowances, retry_after
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
    """

    granted: bool
    wait_s: float = 0.0


class RelayLink:
    """Asks one relay, which may be this daemon itself.

    Attributes:
        send: Sends a message; returns the reply, or None if there is none.
        waiting: Requests that wait for the next message, by organisation.
        unused: Grants to give back, by organisation.
        skipped_until: Loop time until which the relay is not asked.
        exhausted_until: Loop time until which the relay is not asked for an
            organisation, by its name.
    """

    def __init__(
        self,
        send: Callable[
            [allowance_grants.AskFields],
            Awaitable[allowance_grants.GrantFields | None],
        ],
    ) -> None:
        self.send = send
        self.loop = asyncio.get_running_loop()
        self.waiting: dict[str, list[asyncio.Future[Answer | None]]] = {}
        self.unused: collections.Counter[str] = collections.Counter()
        self.skipped_until = -math.inf
        self.exhausted_until: dict[str, float] = {}
        self.exchange: asyncio.Task[None] | None = None
        self.give_back_timer: asyncio.TimerHandle | None = None

    def ask(self, name: str) -> asyncio.Future[Answer | None]:
        """Asks for one request; the answer is None if the relay gives none."""
        answer: asyncio.Future[Answer | None] = self.loop.create_future()
        self.waiting.setdefault(name, []).append(answer)
        self._start()
        return answer

    def give_back(self, name: str) -> None:
        """Returns a grant, with the next message or soon."""
        self.unused[name] += 1
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
        unused, self.unused = dict(self.unused), collections.Counter()
        if self.give_back_timer is not None:
            self.give_back_timer.cancel()
            self.give_back_timer = None
        asked = {name: len(answers) for name, answers in waiting.items()}
        reply = None
        try:
            reply = await self.send(
                allowance_grants.AskFields(asked=asked, unused=unused)
            )
        finally:
            for name, answers in waiting.items():
                self._resolve(name, answers, reply)
        if reply is None:
            self.skipped_until = self.loop.time() + SKIP_S

    def _resolve(
        self,
        name: str,
        answers: list[asyncio.Future[Answer | None]],
        reply: allowance_grants.GrantFields | None,
    ) -> None:
        # Callers may have disconnected in the meantime.
        pending = [answer for answer in answers if not answer.done()]
        if reply is None or name not in reply["granted"]:
            for answer in pending:
                answer.set_result(None)
            return
        granted = reply["granted"][name]
        wait_s = reply["wait_ms"].get(name, 0) / 1000
        for number, answer in enumerate(pending):
            answer.set_result(Answer(number < granted, wait_s))
        for _ in range(granted - len(pending)):
            self.give_back(name)


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """Whether a request is within the allowance of its organisation.

    Attributes:
        error_kind: Why it is refused, or None.
        retry_after_s: Time after which a refused caller may retry, in seconds.
        link: Relay that granted it, or None.
    """

    error_kind: ErrorKind | None = None
    retry_after_s: float = 0.0
    link: RelayLink | None = None


UNLIMITED = Admission()


class Allowances:
    """Admits the requests of this daemon's callers.

    Attributes:
        links: Relays to ask.
        relay_grants: Grants of this daemon to others.
        settings: Returns the settings in force.
        recent: Requests that this daemon admitted lately, by organisation.
        without_relays: Requests in a window that are admitted while no relay
            responds, by organisation; as many as in the window before.
        outcomes: Number of decisions by outcome: "granted", "refused", or
            "unconfirmed" if no relay responded.
    """

    def __init__(
        self,
        view: store_view.StoreView,
        settings: Callable[[], options.Settings],
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.random = rng
        self.loop = asyncio.get_running_loop()
        self.relay_grants = allowance_grants.RelayGrants(view, settings)
        self.clients: list[client.HttpClient] = []
        self.links = [self._link_to(text) for text in settings().seeds]
        if not self.links:
            self.links.append(RelayLink(self._grant_here))
        self.recent: dict[str, allowances.RequestWindow] = {}
        self.without_relays: dict[str, int] = {}
        self.outcomes: collections.Counter[str] = collections.Counter()

    async def admit(self, organisation: types.Organisation | None) -> Admission:
        """Decides whether one more request of an organisation may run."""
        if organisation is None or organisation.per_s is None:
            return UNLIMITED
        name = organisation.name
        waits_s = []
        for link in self._links_to_ask():
            left_s = link.exhausted_until.get(name, 0.0) - self.loop.time()
            if left_s > 0:
                waits_s.append(left_s)
                continue
            answer = await link.ask(name)
            if answer is None:
                continue
            self.without_relays.clear()
            if answer.granted:
                return self._admit(name, link)
            link.exhausted_until[name] = self.loop.time() + answer.wait_s
            waits_s.append(answer.wait_s)
        if not waits_s:
            return self._decide_alone(name)
        self.outcomes["refused"] += 1
        wait_s = retry_after.spread_retry_after_s(min(waits_s), self.random)
        return Admission(ErrorKind.ALLOWANCE_SPENT, wait_s)

    def give_back(
        self, organisation: types.Organisation, admission: Admission
    ) -> None:
        """Returns the grant of a request that no server has executed."""
        if admission.link is not None:
            admission.link.give_back(organisation.name)

    def expire(self, now: float) -> None:
        """Drops outdated state."""
        self.relay_grants.expire(now)
        for link in self.links:
            link.exhausted_until = {
                name: until
                for name, until in link.exhausted_until.items()
                if until > now
            }
        for name, window in list(self.recent.items()):
            window.expire(now)
            if not window.count:
                del self.recent[name]

    async def close(self) -> None:
        """Closes all connections."""
        for link in self.links:
            link.close()
        for found in self.clients:
            await found.close()

    def _links_to_ask(self) -> list[RelayLink]:
        now = self.loop.time()
        found = [link for link in self.links if link.skipped_until <= now]
        self.random.shuffle(found)
        return found

    def _admit(self, name: str, link: RelayLink | None) -> Admission:
        window = self.recent.get(name)
        if window is None:
            window_s = self.settings().allowance_window_s
            window = allowances.RequestWindow(window_s)
            self.recent[name] = window
        window.add(self.loop.time())
        self.outcomes["granted" if link else "unconfirmed"] += 1
        return Admission(link=link)

    def _decide_alone(self, name: str) -> Admission:
        """Decides without a relay.

        Each daemon goes on at the rate of its grants, so that all of them
        together stay within what the relays granted before.
        """
        window = self.recent.get(name)
        if window is not None:
            window.expire(self.loop.time())
        admitted = window.count if window is not None else 0
        if admitted < self.without_relays.setdefault(name, admitted):
            return self._admit(name, None)
        self.outcomes["refused"] += 1
        wait_s = retry_after.START_RETRY_AFTER_S
        return Admission(ErrorKind.ALLOWANCE_UNKNOWN, wait_s)

    def _link_to(self, address: str) -> RelayLink:
        if address == self.settings().control:
            return RelayLink(self._grant_here)
        endpoint = options.parse_endpoint(address)
        found = client.HttpClient(endpoint.address, endpoint.port, HTTP_LIMITS)
        self.clients.append(found)
        return RelayLink(lambda fields: _send(found, fields))

    async def _grant_here(
        self, fields: allowance_grants.AskFields
    ) -> allowance_grants.GrantFields | None:
        return self.relay_grants.grant(fields)


async def _send(
    relay: client.HttpClient, fields: allowance_grants.AskFields
) -> allowance_grants.GrantFields | None:
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
