"""Checks whether servers that broke a connection are still running."""

import asyncio
import random
from collections.abc import Callable, Iterable

from banyantiller.gateway import call_events, events, pool, servers, types
from banyantiller.quarantine import crash_table, crash_tracker

# Other servers that are tried when one refuses connections. If these refuse
# as well, the fault is more likely at this daemon's links.
MAX_COMPARED = 3
# Time that the cancellation of a request takes to reach the server, and the
# server's crash to become visible here.
CHECK_DELAY_S = 0.01


class CrashDetector:
    """Reports failures to the crash tracker, and logs its findings.

    Attributes:
        tracker: Records which requests were running on servers that crashed.
        pool_of: Returns the connection pool of a server.
        table: Registered servers.
        on_change: Called with the fingerprints of requests about which this
            daemon observed something new.
        random: Source of the choice of servers to compare with.
        checks: Running checks of servers, by incarnation id.
        comparisons: Running comparisons with other servers, by incarnation id
            of the server that refused.
    """

    def __init__(
        self,
        table: crash_table.CrashTable,
        pool_of: Callable[[types.Server], pool.Pool],
        registered: servers.ServerTable,
        rng: random.Random,
    ) -> None:
        callbacks = crash_tracker.Callbacks(
            self._publish, self._log_crash, self._log_quarantine_change
        )
        self.tracker = crash_tracker.CrashTracker(table, callbacks)
        self.pool_of = pool_of
        self.table = registered
        self.random = rng
        self.on_change: Callable[[Iterable[str]], None] = lambda _: None
        self.checks: dict[str, asyncio.Task[None]] = {}
        self.comparisons: dict[str, asyncio.Task[None]] = {}
        self.loop = asyncio.get_running_loop()

    def record_no_response(
        self,
        server: types.Server,
        request: crash_tracker.UnansweredRequest,
        connection_lost: bool,
    ) -> None:
        """Records that a request got no response from a server.

        Checks whether the server still runs if it broke the connection, and
        also if the request is suspected of crashing servers.

        Args:
            server: The server.
            request: The request.
            connection_lost: Whether the server's side broke the connection.
        """
        if not self.table.is_staying(server):
            return
        incarnation = incarnation_id(server)
        self.tracker.record_unanswered(incarnation, request)
        should_check = connection_lost or self.tracker.is_suspect(
            request.fingerprint
        )
        if should_check and incarnation not in self.checks:
            delay_s = 0.0 if connection_lost else CHECK_DELAY_S
            check = self.loop.create_task(self._check(server, delay_s))
            self.checks[incarnation] = check
            check.add_done_callback(
                lambda _: self.checks.pop(incarnation, None)
            )

    def record_refused_connection(self, server: types.Server) -> None:
        """Records that connections to a server are refused.

        If the server left requests unanswered, other servers are tried first:
        lost links may refuse connections to every server, and the requests
        would be taken for the cause of crashes.
        """
        if not self.table.is_staying(server):
            return
        incarnation = incarnation_id(server)
        now = self.loop.time()
        if not self.tracker.has_unanswered(incarnation, now):
            return
        if incarnation not in self.comparisons:
            comparison = self.loop.create_task(self._compare(server, now))
            self.comparisons[incarnation] = comparison
            comparison.add_done_callback(
                lambda _: self.comparisons.pop(incarnation, None)
            )

    async def _compare(self, server: types.Server, refused_at: float) -> None:
        """Counts a server as crashed if another one accepts a connection."""
        others = [
            other
            for other in self.table.servers()
            if other.instance != server.instance
            and self.table.is_staying(other)
        ]
        compared = self.random.sample(others, min(MAX_COMPARED, len(others)))
        accepted = await asyncio.gather(
            *(self.pool_of(other).accepts() for other in compared)
        )
        incarnation = incarnation_id(server)
        if any(accepted) or not others:
            self.tracker.record_refused_connection(incarnation, refused_at)
        else:
            self.tracker.forget_unanswered(incarnation)

    async def _check(self, server: types.Server, delay_s: float) -> None:
        """Opens a connection to a server to see whether it still runs."""
        await asyncio.sleep(delay_s)
        server_pool = self.pool_of(server)
        try:
            connection = await server_pool.acquire(fresh=True)
        except ConnectionRefusedError:
            self.record_refused_connection(server)
        except (OSError, pool.PoolFullError):
            # A broken link or a full pool shows nothing about the server.
            return
        else:
            server_pool.put_idle(connection)

    def _publish(self, fingerprints: Iterable[str]) -> None:
        self.on_change(fingerprints)

    def _log_crash(
        self, server: str, request: crash_tracker.UnansweredRequest
    ) -> None:
        events.emit(
            call_events.ServerCrashed(
                request.request_id, server, request.fingerprint
            )
        )

    def _log_quarantine_change(
        self, change: crash_table.QuarantineChange
    ) -> None:
        left_s = round(change.quarantined_until - self.loop.time(), 1)
        servers = list(change.servers)
        if left_s > 0:
            event = call_events.RequestQuarantined(
                change.fingerprint, servers, left_s
            )
        else:
            event = call_events.QuarantineLifted(change.fingerprint, servers)
        events.emit(event)


def incarnation_id(server: types.Server) -> str:
    """Returns the id of a server's incarnation, equal at all daemons."""
    return f"{server.instance}/{server.started_ms}/{server.host}:{server.port}"
