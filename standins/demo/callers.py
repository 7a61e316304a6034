"""Callers of the demonstration: they send, check and send again.

A caller sends again, to the other daemon, only what it was told has not run,
or what carries an idempotency key.
"""

import asyncio
import dataclasses
import hashlib
import json
import random
from typing import Any, NamedTuple

from banyantiller.http import outcomes
from standins.demo import gateway as gateways

TIMEOUT_S = 10.0
MOST_TRIES = 8
LONGEST_CALL_S = 15.0
PAUSE_S = 0.1
NO = "no"
YES = "yes"
CUT_STATUSES = (502, 504)


class Sending(NamedTuple):
    """One request of a caller.

    Attributes:
        call_id: Unique name; the request id unless it is repeated by key.
        method: HTTP method.
        target: Path and query, unique as well.
        key: Idempotency key, or empty.
        body: Body.
    """

    call_id: str
    method: str
    target: str
    key: str = ""
    body: bytes = b""


class Failure(NamedTuple):
    """Why a try gave the call nothing that it can end with.

    Attributes:
        reason: What was seen.
        final: Whether another try is pointless.
    """

    reason: str
    final: bool = False


@dataclasses.dataclass
class Tally:
    """What callers saw.

    Attributes:
        calls: Calls begun.
        answered: Calls with a whole answer of their own.
        lost: Calls without one, and why.
        exchanged: Calls that got an answer to something else.
        cut: Tries whose connection ended before a whole answer.
        refused: Tries that were answered "not run" and sent again.
        waited: Tries whose outcome was open, and that were sent again.
        already_run: Repeated calls that were told so instead of the answer.
        latencies: Seconds of each answered call.
    """

    calls: int = 0
    answered: int = 0
    lost: list[str] = dataclasses.field(default_factory=list)
    exchanged: list[str] = dataclasses.field(default_factory=list)
    cut: list[str] = dataclasses.field(default_factory=list)
    refused: int = 0
    waited: int = 0
    already_run: int = 0
    latencies: list[float] = dataclasses.field(default_factory=list)


class Callers:
    """Sends calls through the daemons that are ready.

    Attributes:
        gateways: The daemons.
        tally: What was seen.
        not_surely: Keys of which some answer did not say "not run".
        confirmed: Keys whose caller got the answer.
    """

    def __init__(self, reached: list[gateways.Gateway], seed: int) -> None:
        self.gateways = reached
        self.tally = Tally()
        self.random = random.Random(seed)
        self.not_surely: set[str] = set()
        self.confirmed: set[str] = set()

    async def call(self, sending: Sending, first: int | None = None) -> None:
        """Makes one call.

        Args:
            sending: The request.
            first: Index of the daemon for the first try, or None for any.
        """
        self.tally.calls += 1
        loop = asyncio.get_running_loop()
        start = loop.time()
        failure = Failure("no try was made")
        for number in range(MOST_TRIES):
            if loop.time() - start > LONGEST_CALL_S:
                break
            gateway = self._choose(first if number == 0 else None)
            outcome = await self._try(gateway, sending, number)
            found = self.judge(sending, outcome)
            if found is None:
                self.tally.latencies.append(loop.time() - start)
                return
            failure = found
            if failure.final:
                break
            await asyncio.sleep(PAUSE_S * (number + 1))
        self.tally.lost.append(f"{sending.call_id}: {failure.reason}")

    async def _try(
        self, gateway: gateways.Gateway, sending: Sending, number: int
    ) -> outcomes.Outcome:
        headers = [("x-request-id", f"{sending.call_id}-{number}")]
        if sending.key:
            headers.append(("idempotency-key", sending.key))
        return await gateway.user.request(
            sending.method,
            sending.target,
            TIMEOUT_S,
            tuple(headers),
            sending.body,
        )

    def judge(
        self, sending: Sending, outcome: outcomes.Outcome
    ) -> Failure | None:
        """Notes what a try showed; None if the call needs no other."""
        if isinstance(outcome, outcomes.NotSent):
            return Failure(f"not sent: {outcome.reason}")
        if isinstance(outcome, outcomes.Lost):
            self._note_cut(sending, outcome.reason)
            return Failure(f"cut: {outcome.reason}")
        if outcome.response.status == 200:
            self._check_echo(sending, outcome)
            return None
        return self._judge_refusal(sending, outcome)

    def _judge_refusal(
        self, sending: Sending, outcome: outcomes.Answered
    ) -> Failure | None:
        response = outcome.response
        told = read_object(outcome.body)
        text = f"status {response.status}: {outcome.body[:200]!r}"
        if told.get("ran") == NO:
            self.tally.refused += 1
            return Failure(text)
        self.not_surely.add(sending.key)
        if sending.key and told.get("ran") == YES:
            self.tally.already_run += 1
            return None
        if response.status in CUT_STATUSES:
            self._note_cut(sending, text)
        if sending.key and not told.get("retry"):
            return Failure(text, final=True)
        self.tally.waited += 1
        return Failure(text)

    def _note_cut(self, sending: Sending, reason: str) -> None:
        self.not_surely.add(sending.key)
        self.tally.cut.append(f"{sending.call_id}: {reason}")

    def _check_echo(self, sending: Sending, outcome: outcomes.Answered) -> None:
        self.not_surely.add(sending.key)
        if is_own(sending, outcome.body):
            self.tally.answered += 1
            self.confirmed.add(sending.key)
        else:
            self.tally.exchanged.append(
                f"{sending.call_id}: {outcome.body[:200]!r}"
            )

    def _choose(self, first: int | None) -> gateways.Gateway:
        if first is not None and self.gateways[first].ready:
            return self.gateways[first]
        ready = [item for item in self.gateways if item.ready]
        return self.random.choice(ready or self.gateways)


def is_own(sending: Sending, body: bytes) -> bool:
    """Tells whether an answer is the one to this request."""
    told = read_object(body)
    own_id = str(told.get("request_id", "")).startswith(f"{sending.call_id}-")
    return (
        told.get("method") == sending.method
        and told.get("target") == sending.target
        and told.get("key") == sending.key
        and told.get("sha256") == hashlib.sha256(sending.body).hexdigest()
        and (own_id or bool(sending.key))
    )


def read_object(body: bytes) -> dict[str, Any]:
    """Returns a JSON object, or an empty one if it is something else."""
    try:
        told = json.loads(body)
    except ValueError:
        return {}
    return told if isinstance(told, dict) else {}
