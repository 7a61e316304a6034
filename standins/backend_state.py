"""Settings, faults, counts and answers of the backend stand-in."""

import asyncio
import dataclasses
import hashlib
import math
import os
import random
from collections.abc import AsyncIterator
from typing import Any, NamedTuple

from banyantiller.http import messages
from banyantiller.http import server_connection as connections

MOST_IDS = 500_000
MOST_PADDING = 64 << 20


class Settings(NamedTuple):
    """What a backend server is told at its start; see `backend.main`."""

    name: str = "server"
    slots: int = 2
    queue: int = 100
    service_s: float = 0.01
    sigma: float = 0.5
    seed: int = 1
    drain_s: float = 4.0
    journal: str = ""


@dataclasses.dataclass
class Faults:
    """What fails.

    Attributes:
        slow: Factor on the time of each request, running ones included.
        paused: Nothing is answered, and nothing ends, until it is unset.
        fail_status: Status of a fast failure of each request, or 0.
        fail_health: Whether `/healthz` fails.
        shed: Whether each request is refused as not run.
        cut: Where answers are cut: "before", "head" or "body"; or empty.
        cut_next: Number of answers that are still to be cut.
        report: Whether answers carry a load report.
        report_as: False load that is reported, or -1 for the true one.
    """

    slow: float = 1.0
    paused: bool = False
    fail_status: int = 0
    fail_health: bool = False
    shed: bool = False
    cut: str = ""
    cut_next: int = 0
    report: bool = True
    report_as: int = -1


class ServiceTimes:
    """Random times of requests, log-normal around a median."""

    def __init__(self, settings: Settings) -> None:
        self.random = random.Random(settings.seed)
        self.mean = math.log(max(settings.service_s, 1e-9))
        self.sigma = settings.sigma

    def draw(self) -> float:
        """Returns the next time in seconds."""
        return self.random.lognormvariate(self.mean, self.sigma)


class Journal:
    """A file that keeps each run, so that a killed server's runs are known.

    Attributes:
        file: Descriptor of the file.
    """

    def __init__(self, path: str) -> None:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self.file = os.open(path, flags, 0o600)

    def note_run(self, request: messages.Request) -> None:
        """Writes a line with the request id and the idempotency key."""
        fields = (
            request.header("x-request-id"),
            request.header("idempotency-key"),
        )
        os.write(self.file, "\t".join(fields).encode() + b"\n")


@dataclasses.dataclass
class Counts:
    """What happened.

    Attributes:
        server: Name of the server.
        received: Requests that arrived, probes not counted.
        answered: Requests that ran to their end.
        failed: Requests that failed fast.
        shed: Requests refused as not run.
        cancelled: Requests whose caller left before the answer.
        probes: Requests for health.
        busy_s: Time for which slots were taken.
        runs_by_key: Runs by idempotency key.
        runs_by_id: Runs by request id, for the first `MOST_IDS`.
        drain_at: Loop time at which draining began, or None.
        last_after_drain_s: Time from then to the last arrival.
    """

    server: str
    received: int = 0
    answered: int = 0
    failed: int = 0
    shed: int = 0
    cancelled: int = 0
    probes: int = 0
    busy_s: float = 0.0
    runs: int = 0
    runs_by_key: dict[str, int] = dataclasses.field(default_factory=dict)
    runs_by_id: dict[str, int] = dataclasses.field(default_factory=dict)
    drain_at: float | None = None
    last_after_drain_s: float = 0.0

    def note_drain(self) -> None:
        """Remembers when draining began."""
        self.drain_at = asyncio.get_running_loop().time()

    def note_arrival(self, draining: bool) -> None:
        """Remembers the last arrival while draining."""
        if draining and self.drain_at is not None:
            now = asyncio.get_running_loop().time()
            self.last_after_drain_s = now - self.drain_at

    def note_run(self, request: messages.Request) -> None:
        """Counts a run before any of its work."""
        self.runs += 1
        key = request.header("idempotency-key")
        if key:
            self.runs_by_key[key] = self.runs_by_key.get(key, 0) + 1
        request_id = request.header("x-request-id")
        before = self.runs_by_id.get(request_id, 0)
        if request_id and (before or len(self.runs_by_id) < MOST_IDS):
            self.runs_by_id[request_id] = before + 1

    def report(self) -> dict[str, Any]:
        """Returns the fields."""
        return dataclasses.asdict(self)


class Timing(NamedTuple):
    """Where the time of one request went, in seconds.

    Attributes:
        work_s: Time that the request takes alone.
        held_s: Time from its arrival to its answer.
    """

    work_s: float
    held_s: float


UNTIMED = Timing(0.0, 0.0)


def echo(
    counts: Counts, request: messages.Request, timing: Timing = UNTIMED
) -> dict[str, Any]:
    """Returns what tells this request from every other, and its timing."""
    size = min(int(request.query.get("size", "0")), MOST_PADDING)
    return {
        "server": counts.server,
        "method": request.method,
        "target": request.target,
        "request_id": request.header("x-request-id"),
        "key": request.header("idempotency-key"),
        "bytes": len(request.body),
        "sha256": hashlib.sha256(request.body).hexdigest(),
        **timing._asdict(),
        "padding": "x" * size,
    }


def cut_answer(answer: messages.Response, where: str) -> messages.Response:
    """Returns an answer that is cut within its body.

    Raises:
        CutError: It is cut before or within its head.
    """
    if where == "before":
        raise connections.CutError
    if where == "head":
        raise connections.CutError(b"HTTP/1.1 200 OK\r\ncontent-ty")
    assert isinstance(answer.body, bytes)
    length = ("content-length", str(len(answer.body)))
    half = answer.body[: len(answer.body) // 2]
    return answer._replace(
        headers=(*answer.headers, length), body=_cut_after(half)
    )


async def _cut_after(part: bytes) -> AsyncIterator[bytes]:
    yield part
    raise connections.CutError
