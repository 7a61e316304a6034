"""Callers of `bench.load`: they send at planned times, check and send again.

A caller sends again only what was told not to have run, what is idempotent,
or what carries an idempotency key; the latter two also when there was no
answer for `try_s`. Each try has a request id of its own, so
that a wrong "not run" is seen in the servers' counts.
"""

import asyncio
import dataclasses
import enum
import hashlib
import json
import random
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram

from banyantiller.http import client, outcomes
from bench.load_connection import Answer, Broken, Connections, Request
from standins.demo import files

READY_PERIOD_S = 0.1
READY_TIMEOUT_S = 1.0
SLACK_S = 1.0
REFUSED_PAUSE_S = 0.05
MOST_TRIES = 8
LONGEST_US = 60_000_000
DIGITS = 3
BAD_GATEWAY = 502
CONFLICT = 409


class Kind(enum.StrEnum):
    """Whether and how a request may be sent again."""

    LOOKUP = "lookup"
    ONCE = "once"
    KEYED = "keyed"


class End(enum.StrEnum):
    """How a call ended for its caller."""

    ANSWERED = "answered"
    REPEATED = "repeated"
    REFUSED = "refused"
    OPEN = "open"
    LOST = "lost"
    EXCHANGED = "exchanged"


class Arrival(NamedTuple):
    """One call and its intended time in seconds after the start."""

    at: float
    name: str
    kind: Kind
    method: str
    target: str
    key: str
    body: bytes


@dataclasses.dataclass(slots=True)
class Made:
    """What became of a call.

    Attributes:
        arrival: The call.
        tries: Request ids that were used.
        not_run: Request ids that were told not to have run.
        cut: Why tries ended without a whole answer.
        end: How it ended.
        detail: The last answer that was not wanted.
        latency_s: From the intended time to the end.
        work_s: Time that the answered run took alone, as its server tells.
        held_s: Time from its arrival at the server to its answer.
    """

    arrival: Arrival
    tries: list[str] = dataclasses.field(default_factory=list)
    not_run: list[str] = dataclasses.field(default_factory=list)
    cut: list[str] = dataclasses.field(default_factory=list)
    end: End = End.LOST
    detail: str = ""
    latency_s: float = 0.0
    work_s: float = 0.0
    held_s: float = 0.0


class Gateway:
    """One daemon as callers reach it.

    Attributes:
        ready: Whether the daemon wants callers, as last told.
    """

    def __init__(self, callers: int, admin: int) -> None:
        self.connections = Connections(callers)
        self.admin = client.HttpClient(files.ADDRESS, admin)
        self.ready = False

    async def follow(self) -> None:
        """Does what the platform's balancer does: asks for readiness."""
        while True:
            outcome = await self.admin.request(
                "GET", "/readyz", READY_TIMEOUT_S
            )
            self.ready = (
                isinstance(outcome, outcomes.Answered)
                and outcome.response.status == 200
            )
            await asyncio.sleep(READY_PERIOD_S)


class Callers:
    """Sends calls through the daemons that are ready.

    Attributes:
        gateways: The daemons.
        deadline_s: How long a caller waits in all.
        try_s: How long for one try of what it may send again.
        made: Every call begun.
        late: Lateness of the sending itself, in microseconds.
    """

    def __init__(
        self,
        gateways: list[Gateway],
        deadline_s: float,
        try_s: float,
        seed: int,
    ) -> None:
        self.gateways = gateways
        self.deadline_s = deadline_s
        self.try_s = try_s
        self.random = random.Random(seed)
        self.made: list[Made] = []
        self.late = histogram()

    async def send(self, arrivals: list[Arrival]) -> None:
        """Begins each call at its time, whether or not others have ended."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        async with asyncio.TaskGroup() as group:
            for arrival in arrivals:
                due = start + arrival.at
                if due > loop.time():
                    await asyncio.sleep(due - loop.time())
                record(self.late, loop.time() - due)
                group.create_task(self._call(arrival, due))

    async def _call(self, arrival: Arrival, due: float) -> None:
        made = Made(arrival)
        self.made.append(made)
        loop = asyncio.get_running_loop()
        ends = due + self.deadline_s
        avoid: Gateway | None = None
        for number in range(MOST_TRIES):
            gateway = self._choose(avoid)
            avoid = gateway
            outcome = await self._try(made, gateway, number, ends)
            pause = self._judge(made, outcome)
            if pause is None or loop.time() + pause >= ends:
                break
            await asyncio.sleep(pause)
        made.latency_s = loop.time() - due

    async def _try(
        self, made: Made, gateway: Gateway, number: int, ends: float
    ) -> Answer | Broken:
        arrival = made.arrival
        request_id = f"{arrival.name}-{number}"
        made.tries.append(request_id)
        left_s = ends - asyncio.get_running_loop().time()
        headers = [
            ("x-request-id", request_id),
            ("x-request-deadline-ms", str(max(1, int(left_s * 1000)))),
        ]
        if arrival.key:
            headers.append(("idempotency-key", arrival.key))
        request = Request(
            arrival.method, arrival.target, tuple(headers), arrival.body
        )
        longest_s = max(left_s, 0.0) + SLACK_S
        if arrival.kind is not Kind.ONCE:
            longest_s = min(longest_s, self.try_s)
        try:
            async with asyncio.timeout(longest_s):
                return await gateway.connections.exchange(request)
        except TimeoutError:
            return Broken("no answer in time", True)

    def _judge(self, made: Made, outcome: Answer | Broken) -> float | None:
        """Notes how a try ended; returns when to send again, or None."""
        if isinstance(outcome, Broken):
            return self._judge_broken(made, outcome)
        if outcome.status == 200:
            self._take_answer(made, outcome.body)
            return None
        return self._judge_refusal(made, outcome)

    def _take_answer(self, made: Made, body: bytes) -> None:
        told = read_object(body)
        if not is_own(made.arrival, told):
            made.end = End.EXCHANGED
            made.detail = body[:200].decode(errors="replace")
            return
        made.end = End.ANSWERED
        made.work_s = told["work_s"]
        made.held_s = told["held_s"]

    def _judge_broken(self, made: Made, outcome: Broken) -> float | None:
        made.detail = outcome.reason
        if not outcome.sent:
            made.not_run.append(made.tries[-1])
            made.end = End.REFUSED
            return 0.0
        made.cut.append(outcome.reason)
        made.end = End.LOST
        return None if made.arrival.kind is Kind.ONCE else 0.0

    def _judge_refusal(self, made: Made, answer: Answer) -> float | None:
        told = read_object(answer.body)
        made.detail = f"{answer.status} {told.get('error')}"
        if told.get("ran") == "no":
            made.not_run.append(made.tries[-1])
            made.end = End.REFUSED
            if not told.get("retry"):
                return None
            return retry_after(answer)
        if told.get("ran") == "yes":
            made.end = End.REPEATED
            return None
        made.end = End.OPEN
        if answer.status == BAD_GATEWAY:
            made.cut.append(made.detail)
        if may_repeat(
            made.arrival.kind, answer.status, bool(told.get("retry"))
        ):
            return retry_after(answer)
        return None

    def _choose(self, avoid: Gateway | None) -> Gateway:
        ready = [item for item in self.gateways if item.ready]
        others = [item for item in ready if item is not avoid]
        return self.random.choice(others or ready or self.gateways)


def may_repeat(kind: Kind, status: int, told_to: bool) -> bool:
    """Tells whether a call may be repeated that may have run."""
    if kind is Kind.KEYED:
        return told_to or status != CONFLICT
    return kind is Kind.LOOKUP


def retry_after(answer: Answer) -> float:
    """Returns the seconds until the next try."""
    told = answer.headers.get(b"retry-after", b"")
    return float(told) if told.isdigit() else REFUSED_PAUSE_S


def is_own(arrival: Arrival, told: dict[str, Any]) -> bool:
    """Tells whether an answer is the one to this call."""
    return (
        told.get("method") == arrival.method
        and told.get("target") == arrival.target
        and told.get("key") == arrival.key
        and told.get("sha256") == hashlib.sha256(arrival.body).hexdigest()
        and str(told.get("request_id", "")).startswith(f"{arrival.name}-")
    )


def read_object(body: bytes) -> dict[str, Any]:
    """Returns a JSON object, or an empty one if it is something else."""
    try:
        told = json.loads(body)
    except ValueError:
        return {}
    return told if isinstance(told, dict) else {}


def histogram() -> HdrHistogram:
    """Returns an empty histogram of microseconds."""
    return HdrHistogram(1, LONGEST_US, DIGITS)


def record(into: HdrHistogram, seconds: float) -> None:
    """Adds a time."""
    into.record_value(min(LONGEST_US, max(1, round(seconds * 1e6))))
