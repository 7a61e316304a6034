"""Which requests were on servers that ended, and are not sent on any more."""

import asyncio
import random
import time
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

import structlog

from banyantiller.config.defaults import Settings
from banyantiller.kernel import core
from banyantiller.kernel.events import RequestsSuspected
from banyantiller.quarantine import table, watch

if TYPE_CHECKING:
    from banyantiller.proxy import call as calls

log = structlog.get_logger("banyantiller.proxy")

# Servers that ended with a request on them after which a call is not sent to
# another one: with one, it most likely was only there.
MAX_CRASHES_PER_REQUEST = 2
# Ends of one server are told apart by the part of time in which they were seen:
# it is not back so soon, and daemons that see an end do so at almost one time.
CRASH_WINDOW_S = 2.0


class CrashTracker:
    """Feeds the watch over servers that end, and logs what it concludes.

    Attributes:
        watch: Which requests were on servers that ended.
        kernel: Gets an event when something new was seen here, or None.
        wall: Returns wall-clock seconds.
    """

    def __init__(
        self,
        period_s: float,
        kernel: core.Kernel | None,
        wall: Callable[[], float],
        rng: random.Random,
    ) -> None:
        known = table.Table(period_s, rng)
        outlets = watch.Outlets(
            self._emit_suspected, self._log_crash, self._log_verdict
        )
        self.watch = watch.Watch(known, outlets)
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
    ) -> "CrashTracker":
        """Makes the part of a daemon.

        Args:
            settings: Settings of the daemon.
            kernel: Gets `RequestsSuspected`.
            wall: Returns wall-clock seconds.
            seed: Seed of how long requests are refused here.
        """
        rng = random.Random(f"{seed} endings")
        return cls(settings.quarantine_s, kernel, wall, rng)

    @classmethod
    def standalone(cls) -> "CrashTracker":
        """Makes one that tells nobody, for a driver by itself."""
        period_s = Settings._field_defaults["quarantine_s"]
        return cls(period_s, None, time.time, random.Random(0))

    # Called by calls and drivers.

    def has_quarantined(self) -> bool:
        """Tells whether any request is refused."""
        return self.count_quarantined() > 0

    def quarantine_left_s(self, call: "calls.Call") -> float | None:
        """Returns how long a call's request is refused, or None.

        None as well as long as its body is not there.
        """
        text = _complete_fingerprint(call)
        return None if text is None else self.watch.wait_s(text, self._now())

    def is_suspect(self, call: "calls.Call") -> bool:
        """Tells whether a server ended with a request that none answered."""
        text = _complete_fingerprint(call)
        return text is not None and self.watch.is_suspect(text)

    def record_response(self, call: "calls.Call") -> None:
        """Notes that a server answered a request and went on."""
        text = _complete_fingerprint(call)
        if text is not None:
            self.watch.answered(text, self._now())

    def record_no_response(
        self, server: str, call: "calls.Call", sent_at: float
    ) -> None:
        """Notes that a request got no whole answer from a server."""
        text = _complete_fingerprint(call)
        if text is None:
            return
        request_id = call.request_id.decode("latin-1")
        now = self._now()
        self.watch.no_answer(
            server, watch.Broken(text, request_id, sent_at, now)
        )

    def record_connection_refused(self, server: str) -> None:
        """Notes that a server's machine refuses connections to it."""
        broken = self.watch.broken.pop(server, None)
        if broken:
            start = f"{server}@{int(self.wall() // CRASH_WINDOW_S)}"
            self.watch.broken[start] = broken
            self.watch.refused(start, self._now())

    def should_retry(self, call: "calls.Call", server: str) -> bool:
        """Tells whether another server may be risked for a call.

        Args:
            call: The call.
            server: A server on which it was lost just now, which counts as
                ended.
        """
        text = _complete_fingerprint(call)
        if text is None:
            return True
        crashes = self.watch.table.ends_of(text)
        earlier_crashes = [
            crash for crash in crashes if crash.partition("@")[0] != server
        ]
        return len(earlier_crashes) + 1 < MAX_CRASHES_PER_REQUEST

    # Called by the daemon.

    def receive_records(self, reported: list[table.RecordFields]) -> bool:
        """Takes what another daemon knows; tells whether anything was new."""
        return self.watch.learn(reported, self._now())

    def lift(self, fingerprint: str) -> bool:
        """Forgets what counts against a request; False if nothing does."""
        return self.watch.lift(fingerprint, self._now())

    def count_quarantined(self) -> int:
        """Returns how many requests are refused."""
        return len(self.watch.table.refused(self._now()))

    def expire(self) -> None:
        """Forgets what is out of date."""
        self.watch.expire(self._now())

    # Within.

    def _now(self) -> float:
        return self.loop.time()

    def _emit_suspected(self, fingerprints: Iterable[str]) -> None:
        if self.kernel is not None:
            self.kernel.emit(RequestsSuspected(tuple(fingerprints)))

    def _log_crash(self, server: str, request: watch.Broken) -> None:
        log.info(
            "proxy: server ended with a request on it.",
            request_id=request.request_id,
            server=server,
            fingerprint=request.fingerprint,
        )

    def _log_verdict(self, verdict: table.Verdict) -> None:
        left_s = round(verdict.refused_until - self._now(), 1)
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
    """Returns the fingerprint of a request that was read whole, or None."""
    if call.fingerprint is None:
        return None
    has_body = call.head.chunked or bool(call.head.content_length)
    if has_body and not call.body.complete:
        return None
    return call.fingerprint.text()
