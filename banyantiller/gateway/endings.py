"""Notes which requests were on servers that ended.

A request counts as having been on a server that ended if its connection to it
broke before an answer, or was given up a moment before, and the server's
process is gone: its machine refuses new connections. A cut link refuses
nothing, a server that reset one connection takes the next one, and a server
that leaves was taken out or said so.
"""

import asyncio
import collections
from collections.abc import Callable, Iterable
from typing import NamedTuple

from banyantiller.gateway import events, pool, servers, types
from banyantiller.quarantine import table

# A request that was given up so shortly before its server was found gone may
# have ended it: the server learns of it when the request's end arrives.
GIVEN_UP_S = 0.5
# Requests that were answered lately, so that one which others suspect is known
# to be answered elsewhere at once.
MOST_ANSWERED = 1024
# Requests on one server that were broken off and are kept; it executes fewer.
MOST_BROKEN = 64


class Broken(NamedTuple):
    """A request that was sent to a server and got no answer there.

    Attributes:
        fingerprint: The request.
        request_id: Identity of its sending.
        sent_at: Loop time at which it was sent.
        broke_at: Loop time at which its connection broke or was given up.
    """

    fingerprint: str
    request_id: str
    sent_at: float
    broke_at: float


class Endings:
    """What this daemon sees of servers that end, and what follows from it.

    Attributes:
        table: Requests with which servers ended.
        pools: Returns the pool of a server.
        stays: Tells whether a server is registered and has not said that it
            leaves.
        on_news: Called with the requests of which something new was seen here.
        broken: Requests without an answer, by the server's start.
        answered: Loop time of the last answers, by request.
        checks: Servers that are being looked at, by start.
    """

    def __init__(
        self,
        known: table.Table,
        pools: Callable[[types.Server], pool.Pool],
        stays: Callable[[types.Server], bool],
    ) -> None:
        self.table = known
        self.pools = pools
        self.stays = stays
        self.on_news: Callable[[Iterable[str]], None] = lambda _: None
        self.broken: dict[servers.Start, collections.deque[Broken]] = {}
        self.answered: dict[str, float] = {}
        self.checks: dict[servers.Start, asyncio.Task[None]] = {}
        self.loop = asyncio.get_running_loop()

    # What happens to requests and servers.

    def answer(self, fingerprint: str) -> None:
        """Notes that a server answered a request and went on."""
        now = self.loop.time()
        # The latest one last, so that the oldest is dropped first.
        self.answered.pop(fingerprint, None)
        self.answered[fingerprint] = now
        if len(self.answered) > MOST_ANSWERED:
            del self.answered[next(iter(self.answered))]
        self._take_answer(fingerprint, now)

    def no_answer(
        self, server: types.Server, one: Broken, connection_lost: bool
    ) -> None:
        """Notes that a request got no answer from a server.

        Args:
            server: The server.
            one: The request.
            connection_lost: Whether the server's side broke the connection, so
                that it is worth a look whether the server is still there.
        """
        if not self.stays(server):
            return
        start = servers.Start.of(server)
        kept = self.broken.setdefault(
            start, collections.deque(maxlen=MOST_BROKEN)
        )
        kept.append(one)
        if connection_lost and start not in self.checks:
            check = self.loop.create_task(self._check(server))
            self.checks[start] = check
            check.add_done_callback(lambda _: self.checks.pop(start, None))

    def refused(self, server: types.Server) -> None:
        """Notes that a server's machine refuses connections to it."""
        kept = self.broken.pop(servers.Start.of(server), ())
        if not self.stays(server):
            return
        now = self.loop.time()
        recent = [one for one in kept if one.broke_at >= now - GIVEN_UP_S]
        for one in recent:
            self._take_end(server, one)
        if recent:
            self.on_news({one.fingerprint for one in recent})

    def learn(self, told: list[table.RecordFields]) -> bool:
        """Takes what another daemon knows; tells whether anything was new."""
        now = self.loop.time()
        verdicts, is_new = self.table.learn(told, now)
        self._log(verdicts)
        for fields in told:
            fingerprint = fields["fingerprint"]
            answered_at = self.answered.get(fingerprint)
            if answered_at is not None:
                self._take_answer(fingerprint, answered_at)
        return is_new

    def lift(self, fingerprint: str) -> bool:
        """Forgets what counts against a request; False if nothing does.

        Called for an operator who knows better.
        """
        if not self.table.ends_of(fingerprint):
            return False
        self._take_answer(fingerprint, self.loop.time())
        return True

    def expire(self, now: float) -> None:
        """Forgets what is out of date."""
        self.table.expire(now)
        for start, kept in list(self.broken.items()):
            while kept and kept[0].broke_at < now - GIVEN_UP_S:
                kept.popleft()
            if not kept:
                del self.broken[start]

    # What calls ask.

    def wait_s(self, fingerprint: str) -> float | None:
        """Returns how long a request is still refused, or None."""
        now = self.loop.time()
        until = self.table.refused_until(fingerprint, now)
        return None if until is None else until - now

    def is_suspect(self, fingerprint: str) -> bool:
        """Tells whether a server ended with a request that none answered."""
        return bool(self.table.ends_of(fingerprint))

    def ended_under(self, fingerprint: str, lost: types.Server) -> int:
        """Counts the servers that ended with a request on them.

        Args:
            fingerprint: The request.
            lost: A server that broke the connection just now, and counts as
                ended.
        """
        found = self.table.ends_of(fingerprint)
        return len(found | {start_name(lost)})

    # Within.

    async def _check(self, server: types.Server) -> None:
        """Looks whether a server that broke a connection is still there."""
        home = self.pools(server)
        try:
            link = await home.acquire(fresh=True)
        except ConnectionRefusedError:
            self.refused(server)
        except (OSError, pool.PoolFullError):
            return
        else:
            home.keep(link)

    def _take_end(self, server: types.Server, one: Broken) -> None:
        start = start_name(server)
        events.emit(
            events.ServerEnded(one.request_id, server.instance, one.fingerprint)
        )
        end = table.End(one.sent_at, one.broke_at)
        self._log(self.table.ended(one.fingerprint, start, end))

    def _take_answer(self, fingerprint: str, at: float) -> None:
        before = self.table.revision
        self._log(self.table.answered(fingerprint, at))
        if self.table.revision != before:
            self.on_news({fingerprint})

    def _log(self, verdicts: list[table.Verdict]) -> None:
        now = self.loop.time()
        for verdict in verdicts:
            left_s = round(verdict.refused_until - now, 1)
            servers_ended = list(verdict.servers)
            if left_s > 0:
                events.emit(
                    events.RequestQuarantined(
                        verdict.fingerprint, servers_ended, left_s
                    )
                )
            else:
                events.emit(
                    events.QuarantineLifted(verdict.fingerprint, servers_ended)
                )


def start_name(server: types.Server) -> str:
    """Returns the name of a server's start, the same at every daemon."""
    return f"{server.instance}/{server.started_ms}/{server.host}:{server.port}"
