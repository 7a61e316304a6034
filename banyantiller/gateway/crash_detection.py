"""Looks whether servers that broke a connection are still there."""

import asyncio
from collections.abc import Callable, Iterable

from banyantiller.gateway import call_events, events, pool, types
from banyantiller.quarantine import crash_table, crash_tracker

# The end of a request that was given up takes so long to reach the server, and
# the server's end to come back.
LOOK_AFTER_S = 0.01


class CrashDetector:
    """Feeds the watch over servers that end, and logs what it concludes.

    Attributes:
        watch: Which requests were on servers that ended.
        pools: Returns the pool of a server.
        is_staying: Tells whether a server is registered and has not said that
            it leaves.
        on_change: Called with the requests of which something new was seen
            here.
        checks: Servers that are being looked at, by start.
    """

    def __init__(
        self,
        known: crash_table.CrashTable,
        pools: Callable[[types.Server], pool.Pool],
        is_staying: Callable[[types.Server], bool],
    ) -> None:
        outlets = crash_tracker.Callbacks(
            self._tell, self._log_end, self._log_verdict
        )
        self.watch = crash_tracker.CrashTracker(known, outlets)
        self.pools = pools
        self.is_staying = is_staying
        self.on_change: Callable[[Iterable[str]], None] = lambda _: None
        self.checks: dict[str, asyncio.Task[None]] = {}
        self.loop = asyncio.get_running_loop()

    def record_no_response(
        self,
        server: types.Server,
        one: crash_tracker.UnansweredRequest,
        connection_lost: bool,
    ) -> None:
        """Notes that a request got no answer from a server.

        Args:
            server: The server.
            one: The request.
            connection_lost: Whether the server's side broke the connection, so
                that it is worth a look whether the server is still there. It
                is as well if a suspect was given up there.
        """
        if not self.is_staying(server):
            return
        start = incarnation_id(server)
        self.watch.record_unanswered(start, one)
        worth_a_look = connection_lost or self.watch.is_suspect(one.fingerprint)
        if worth_a_look and start not in self.checks:
            pause_s = 0.0 if connection_lost else LOOK_AFTER_S
            check = self.loop.create_task(self._check(server, pause_s))
            self.checks[start] = check
            check.add_done_callback(lambda _: self.checks.pop(start, None))

    def record_refused_connection(self, server: types.Server) -> None:
        """Notes that a server's machine refuses connections to it."""
        if self.is_staying(server):
            self.watch.record_refused_connection(
                incarnation_id(server), self.loop.time()
            )

    async def _check(self, server: types.Server, pause_s: float) -> None:
        await asyncio.sleep(pause_s)
        home = self.pools(server)
        try:
            link = await home.acquire(fresh=True)
        except ConnectionRefusedError:
            self.record_refused_connection(server)
        except (OSError, pool.PoolFullError):
            # A cut link, or no room to look: nothing is known of the server.
            return
        else:
            home.put_idle(link)

    def _tell(self, fingerprints: Iterable[str]) -> None:
        self.on_change(fingerprints)

    def _log_end(
        self, server: str, one: crash_tracker.UnansweredRequest
    ) -> None:
        events.emit(
            call_events.ServerCrashed(one.request_id, server, one.fingerprint)
        )

    def _log_verdict(self, verdict: crash_table.QuarantineChange) -> None:
        left_s = round(verdict.quarantined_until - self.loop.time(), 1)
        servers = list(verdict.servers)
        if left_s > 0:
            occurred = call_events.RequestQuarantined(
                verdict.fingerprint, servers, left_s
            )
        else:
            occurred = call_events.QuarantineLifted(
                verdict.fingerprint, servers
            )
        events.emit(occurred)


def incarnation_id(server: types.Server) -> str:
    """Returns the name of a server's start, the same at every daemon."""
    return f"{server.instance}/{server.started_ms}/{server.host}:{server.port}"
