"""Looks whether servers that broke a connection are still there."""

import asyncio
from collections.abc import Callable, Iterable

from banyantiller.gateway import call_events, events, pool, types
from banyantiller.quarantine import crash_table, crash_tracker

# The end of a request that was given up takes so long to reach the server, and
# the server's end to come back.
LOOK_AFTER_S = 0.01


class Endings:
    """Feeds the watch over servers that end, and logs what it concludes.

    Attributes:
        watch: Which requests were on servers that ended.
        pools: Returns the pool of a server.
        stays: Tells whether a server is registered and has not said that it
            leaves.
        on_news: Called with the requests of which something new was seen here.
        checks: Servers that are being looked at, by start.
    """

    def __init__(
        self,
        known: crash_table.CrashTable,
        pools: Callable[[types.Server], pool.Pool],
        stays: Callable[[types.Server], bool],
    ) -> None:
        outlets = crash_tracker.Callbacks(
            self._tell, self._log_end, self._log_verdict
        )
        self.watch = crash_tracker.CrashTracker(known, outlets)
        self.pools = pools
        self.stays = stays
        self.on_news: Callable[[Iterable[str]], None] = lambda _: None
        self.checks: dict[str, asyncio.Task[None]] = {}
        self.loop = asyncio.get_running_loop()

    def no_answer(
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
        if not self.stays(server):
            return
        start = start_name(server)
        self.watch.record_unanswered(start, one)
        worth_a_look = connection_lost or self.watch.is_suspect(one.fingerprint)
        if worth_a_look and start not in self.checks:
            pause_s = 0.0 if connection_lost else LOOK_AFTER_S
            check = self.loop.create_task(self._check(server, pause_s))
            self.checks[start] = check
            check.add_done_callback(lambda _: self.checks.pop(start, None))

    def refused(self, server: types.Server) -> None:
        """Notes that a server's machine refuses connections to it."""
        if self.stays(server):
            self.watch.record_refused_connection(
                start_name(server), self.loop.time()
            )

    async def _check(self, server: types.Server, pause_s: float) -> None:
        await asyncio.sleep(pause_s)
        home = self.pools(server)
        try:
            link = await home.acquire(fresh=True)
        except ConnectionRefusedError:
            self.refused(server)
        except (OSError, pool.PoolFullError):
            # A cut link, or no room to look: nothing is known of the server.
            return
        else:
            home.keep(link)

    def _tell(self, fingerprints: Iterable[str]) -> None:
        self.on_news(fingerprints)

    def _log_end(
        self, server: str, one: crash_tracker.UnansweredRequest
    ) -> None:
        events.emit(
            call_events.ServerEnded(one.request_id, server, one.fingerprint)
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


def start_name(server: types.Server) -> str:
    """Returns the name of a server's start, the same at every daemon."""
    return f"{server.instance}/{server.started_ms}/{server.host}:{server.port}"
