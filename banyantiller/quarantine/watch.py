"""What one daemon sees of servers that end, and what follows from it.

A request counts as having been on a server that ended if it got no answer there
and the server's machine refuses new connections. A cut link refuses nothing, a
server that reset one connection takes the next one, and a server that leaves
is not looked at: whoever feeds this part sees to that.
"""

import collections
import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

from banyantiller.quarantine import table

# A request that was given up so shortly before its server was found gone may
# have ended it: the server learns of it when the request's end arrives.
GIVEN_UP_S = 0.5
# Requests that were answered lately, so that one which others suspect is known
# to be answered elsewhere at once.
MOST_ANSWERED = 1024
# Requests without an answer that are kept of one server; it executes fewer.
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


class Outlets(NamedTuple):
    """What is called with what was seen and concluded.

    Attributes:
        news: Of these requests something new was seen here; others are to be
            told.
        ended: A server ended with a request on it.
        verdict: What is believed of a request has changed.
    """

    news: Callable[[Iterable[str]], None]
    ended: Callable[[str, Broken], None]
    verdict: Callable[[table.Verdict], None]


class Watch:
    """Joins what becomes of requests with what becomes of servers.

    A server is named by its start: another start has another name, which is the
    same at every daemon.

    Attributes:
        table: Requests with which servers ended.
        broken: Requests without an answer, by server.
        answers: Loop time of the last answers, by request.
    """

    def __init__(self, known: table.Table, outlets: Outlets) -> None:
        self.table = known
        self.outlets = outlets
        self.broken: dict[str, collections.deque[Broken]] = {}
        self.answers: dict[str, float] = {}

    # What happens to requests and servers.

    def answered(self, fingerprint: str, now: float) -> None:
        """Notes that a server answered a request and went on."""
        # The latest one last, so that the oldest is dropped first.
        self.answers.pop(fingerprint, None)
        self.answers[fingerprint] = now
        if len(self.answers) > MOST_ANSWERED:
            del self.answers[next(iter(self.answers))]
        self._take_answer(fingerprint, now)

    def no_answer(self, server: str, one: Broken) -> None:
        """Notes that a request got no answer from a server."""
        kept = self.broken.get(server)
        if kept is None:
            kept = collections.deque(maxlen=MOST_BROKEN)
            self.broken[server] = kept
        kept.append(one)

    def refused(self, server: str, now: float) -> None:
        """Notes that a server's machine refuses connections to it."""
        kept = self.broken.pop(server, ())
        recent = [one for one in kept if one.broke_at >= now - GIVEN_UP_S]
        for one in recent:
            self.outlets.ended(server, one)
            end = table.End(one.sent_at, one.broke_at)
            answered_at = self.answers.get(one.fingerprint, -math.inf)
            self._conclude(
                self.table.ended(one.fingerprint, server, end, answered_at)
            )
        if recent:
            self.outlets.news({one.fingerprint for one in recent})

    def learn(self, told: list[table.RecordFields], now: float) -> bool:
        """Takes what another daemon knows; tells whether anything was new."""
        learned = self.table.learn(told, now, self.answers)
        self._conclude(learned.verdicts)
        if learned.answered:
            self.outlets.news(learned.answered)
        return learned.is_new

    def lift(self, fingerprint: str, now: float) -> bool:
        """Forgets what counts against a request; False if nothing does.

        Called for an operator who knows better.
        """
        if not self.table.ends_of(fingerprint):
            return False
        self._take_answer(fingerprint, now)
        return True

    def expire(self, now: float) -> None:
        """Forgets what is out of date."""
        self.table.expire(now)
        for server, kept in list(self.broken.items()):
            while kept and kept[0].broke_at < now - GIVEN_UP_S:
                kept.popleft()
            if not kept:
                del self.broken[server]

    # What calls ask.

    def wait_s(self, fingerprint: str, now: float) -> float | None:
        """Returns how long a request is still refused, or None."""
        until = self.table.refused_until(fingerprint, now)
        return None if until is None else until - now

    def is_suspect(self, fingerprint: str) -> bool:
        """Tells whether a server ended with a request that none answered."""
        return bool(self.table.ends_of(fingerprint))

    def ended_under(self, fingerprint: str, lost: str) -> int:
        """Counts the servers that ended with a request on them.

        Args:
            fingerprint: The request.
            lost: A server that broke the connection just now, and counts as
                ended.
        """
        return len(self.table.ends_of(fingerprint) | {lost})

    # Within.

    def _take_answer(self, fingerprint: str, at: float) -> None:
        before = self.table.revision
        self._conclude(self.table.answered(fingerprint, at))
        if self.table.revision != before:
            self.outlets.news({fingerprint})

    def _conclude(self, verdicts: list[table.Verdict]) -> None:
        for verdict in verdicts:
            self.outlets.verdict(verdict)
