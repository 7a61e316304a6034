"""Detects requests that crash servers, to stop retrying them."""

import asyncio
import random
import time
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

import structlog

from banyantiller.config.defaults import Settings
from banyantiller.kernel import core
from banyantiller.kernel.events import RequestsSuspected
from banyantiller.quarantine import crash_table, crash_tracker

if TYPE_CHECKING:
    from banyantiller.proxy import call as calls

log = structlog.get_logger("banyantiller.proxy")

# Number of servers that crashed with a request on them after which the request
# is not sent to another. After one crash the request most likely was there by
# chance.
MAX_CRASHES_PER_REQUEST = 2
# Crashes of a server within one window count as one. A server does not restart
# so soon, and daemons that see a crash do so almost simultaneously.
CRASH_WINDOW_S = 2.0


class CrashDetector:
    """Feeds the crash tracker and logs its verdicts.

    Attributes:
        tracker: Records which requests were on servers that crashed.
        kernel: Gets an event when this daemon records something new, or None.
        wall: Returns wall-clock seconds.
    """

    def __init__(
        self,
        period_s: float,
        kernel: core.Kernel | None,
        wall: Callable[[], float],
        rng: random.Random,
    ) -> None:
        known_crashes = crash_table.CrashTable(period_s, rng)
        callbacks = crash_tracker.Callbacks(
            self._emit_suspected, self._log_crash, self._log_verdict
        )
        self.tracker = crash_tracker.CrashTracker(known_crashes, callbacks)
        self.kernel = kernel
        self.wall = wall
        self.loop = asyncio.get_running_loop()

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        kernel: core.Kernel,
        wall: Callable[[], float],
        seed: int,
    ) -> "CrashDetector":
        """Creates the detector of a daemon.

        Args:
            settings: Settings of the daemon.
            kernel: Gets `RequestsSuspected`.
            wall: Returns wall-clock seconds.
            seed: Seed of the local quarantine durations.
        """
        rng = random.Random(f"{seed} endings")
        return cls(settings.quarantine_s, kernel, wall, rng)

    @classmethod
    def standalone(cls) -> "CrashDetector":
        """Creates a detector without peers, for a driver used alone."""
        period_s = Settings._field_defaults["quarantine_s"]
        return cls(period_s, None, time.time, random.Random(0))

    # Called by calls and drivers.

    def has_quarantined(self) -> bool:
        """Returns whether any request is quarantined."""
        return self.count_quarantined() > 0

    def quarantine_left_s(self, call: "calls.Call") -> float | None:
        """Returns the remaining quarantine of a call's request in seconds.

        Returns:
            The seconds, or None if the request is not quarantined or its body
            is incomplete.
        """
        text = _complete_fingerprint(call)
        return (
            None
            if text is None
            else self.tracker.quarantine_left_s(text, self._now())
        )

    def is_suspect(self, call: "calls.Call") -> bool:
        """Returns whether a server crashed with a request none answered."""
        text = _complete_fingerprint(call)
        return text is not None and self.tracker.is_suspect(text)

    def record_response(self, call: "calls.Call") -> None:
        """Records that a server responded to a request and did not crash."""
        text = _complete_fingerprint(call)
        if text is not None:
            self.tracker.record_response(text, self._now())

    def record_loss(
        self, server: str, call: "calls.Call", sent_at: float
    ) -> None:
        """Records that a request got no complete response from a server."""
        text = _complete_fingerprint(call)
        if text is None:
            return
        request_id = call.request_id.decode("latin-1")
        now = self._now()
        self.tracker.record_unanswered(
            server,
            crash_tracker.UnansweredRequest(text, request_id, sent_at, now),
        )

    def record_refusal(self, server: str) -> None:
        """Records that a server's machine refuses connections to it."""
        unanswered = self.tracker.unanswered.pop(server, None)
        if unanswered:
            start = f"{server}@{int(self.wall() // CRASH_WINDOW_S)}"
            self.tracker.unanswered[start] = unanswered
            self.tracker.record_refused_connection(start, self._now())

    def should_retry(self, call: "calls.Call", server: str) -> bool:
        """Returns whether a call may be retried at another server.

        Args:
            call: The call.
            server: The server on which the call was just lost; it counts as
                crashed.
        """
        text = _complete_fingerprint(call)
        if text is None:
            return True
        crashes = self.tracker.table.crashed_servers(text)
        earlier_crashes = [
            crash for crash in crashes if crash.partition("@")[0] != server
        ]
        return len(earlier_crashes) + 1 < MAX_CRASHES_PER_REQUEST

    # Called by the daemon.

    def receive_records(self, reported: list[crash_table.RecordFields]) -> bool:
        """Merges the records of a peer; returns whether any was new."""
        return self.tracker.receive_records(reported, self._now())

    def lift(self, fingerprint: str) -> bool:
        """Lifts the quarantine of a request; returns False if there is none."""
        return self.tracker.lift(fingerprint, self._now())

    def count_quarantined(self) -> int:
        """Returns the number of quarantined requests."""
        return len(self.tracker.table.quarantined_records(self._now()))

    def expire(self) -> None:
        """Removes expired records."""
        self.tracker.expire(self._now())

    # Internal.

    def _now(self) -> float:
        return self.loop.time()

    def _emit_suspected(self, fingerprints: Iterable[str]) -> None:
        if self.kernel is not None:
            self.kernel.emit(RequestsSuspected(tuple(fingerprints)))

    def _log_crash(
        self, server: str, request: crash_tracker.UnansweredRequest
    ) -> None:
        log.info(
            "proxy: server ended with a request on it.",
            request_id=request.request_id,
            server=server,
            fingerprint=request.fingerprint,
        )

    def _log_verdict(self, verdict: crash_table.QuarantineChange) -> None:
        left_s = round(verdict.quarantined_until - self._now(), 1)
        text = "proxy: request is not quarantined any more."
        if left_s > 0:
            text = "proxy: request is quarantined."
        log.warning(
            text,
            fingerprint=verdict.fingerprint,
            servers=list(verdict.servers),
            left_s=max(0.0, left_s),
        )


def _complete_fingerprint(call: "calls.Call") -> str | None:
    """Returns the fingerprint of a completely received request, or None."""
    if call.fingerprint is None:
        return None
    has_body = call.head.chunked or bool(call.head.content_length)
    if has_body and not call.body.complete:
        return None
    return call.fingerprint.hexdigest()
