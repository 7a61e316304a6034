"""Decides which requests are not sent to servers any more.

A request may end each server that begins to run it, and come again. What is
counted for it is the servers that ended with it on them. That alone proves
nothing: whatever runs on a server ends with it, and many servers may end at
once for another reason. So a request is refused only if

- at least three servers ended with it on them,
- not all of them at once: it was sent to one after another had ended,
- it was answered by no server since, nor shortly before, and
- no other refused request was on the same servers and on more of them.

What is known are facts that only grow, so that daemons may learn them in any
order, twice, or from each other. There are no sockets and no clock here: times
are the loop's, and facts travel with their ages.
"""

import math
import random
from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple, TypedDict

# Servers that have ended with a request on them before it is refused.
ENOUGH_ENDS = 3
# A request that was answered so shortly before a server ended did not end it. A
# popular one may be on every server that others end, and be answered by none
# until they are back.
ANSWERED_LATELY_S = 2.0
# Ends kept of one request, the latest ones.
MOST_ENDS = 8
# Requests that are known at a time. A caller that sends another body each time
# fills the table, and pushes out others with as few ends.
MOST_REQUESTS = 1024
# Daemons try a refused request again at different times after the period, by
# up to this share of it: else all of them would send it on at once.
SPREAD = 0.2
# What is known of a request is forgotten this many periods after its last end.
FORGOTTEN_AFTER = 3


class End(NamedTuple):
    """A server ended with a request on it.

    Attributes:
        sent_at: Loop time at which the request was sent to it.
        ended_at: Loop time at which its end was seen.
    """

    sent_at: float
    ended_at: float


class EndFields(TypedDict):
    """An `End` on its way between daemons; ages in milliseconds."""

    server: str
    sent_age_ms: int
    ended_age_ms: int


class RecordFields(TypedDict):
    """What is known of a request on its way between daemons.

    `answered_age_ms` tells how long ago a server answered it last; -1 for
    never.
    """

    fingerprint: str
    ends: list[EndFields]
    answered_age_ms: int


class Verdict(NamedTuple):
    """A change of what is believed of a request.

    Attributes:
        fingerprint: The request.
        refused_until: Loop time until which it is refused; in the past if it
            is not refused any more.
        servers: Servers that ended with it on them.
    """

    fingerprint: str
    refused_until: float
    servers: tuple[str, ...]


class Learned(NamedTuple):
    """What followed from what another daemon told.

    Attributes:
        verdicts: Changes of what is believed.
        is_new: Whether anything was new.
        answered: Requests that this daemon knows to have been answered, and the
            other one does not.
    """

    verdicts: list[Verdict]
    is_new: bool
    answered: list[str]


class Record:
    """What is known of one request.

    Attributes:
        fingerprint: The request.
        ends: Ends of servers with it on them, by the server's start.
        answered_at: Loop time of a server's last answer to it.
        refused_until: Loop time until which it is refused.
        revision: Revision of the table at its last change.
        share: Part of the spread that is added to the period here, 0 to 1.
    """

    def __init__(self, fingerprint: str, share: float) -> None:
        self.fingerprint = fingerprint
        self.ends: dict[str, End] = {}
        self.answered_at = -math.inf
        self.refused_until = -math.inf
        self.revision = 0
        self.share = share

    def open_ends(self, explained: Iterable[str] = ()) -> dict[str, End]:
        """Returns the ends that no answer and no other request explains."""
        since = self.answered_at + ANSWERED_LATELY_S
        return {
            server: end
            for server, end in self.ends.items()
            if end.ended_at > since and server not in explained
        }

    def last_end(self) -> float:
        """Returns the loop time of the last end."""
        return max((e.ended_at for e in self.ends.values()), default=-math.inf)


class Table:
    """Requests with which servers ended.

    Attributes:
        period_s: How long a request is refused after a server's end.
        records: What is known, by request.
        revision: Counts the changes of records.
    """

    def __init__(self, period_s: float, rng: random.Random) -> None:
        self.period_s = period_s
        self.random = rng
        self.records: dict[str, Record] = {}
        self.revision = 0

    # What is learned.

    def ended(
        self,
        fingerprint: str,
        server: str,
        end: End,
        answered_at: float = -math.inf,
    ) -> list[Verdict]:
        """Notes that a server ended with a request on it.

        Args:
            fingerprint: The request.
            server: The server's start.
            end: When it was sent and when the server ended.
            answered_at: Loop time of the last answer that is known here.
        """
        record = self._record(fingerprint)
        record.answered_at = max(record.answered_at, answered_at)
        if self._add_end(record, server, end):
            return self._judge()
        return []

    def answered(self, fingerprint: str, at: float) -> list[Verdict]:
        """Notes that a server answered a request and went on.

        Changes nothing unless a server ended with the request on it.
        """
        record = self.records.get(fingerprint)
        if record is None or not self._note_answer(record, at):
            return []
        return self._judge()

    def learn(
        self,
        told: Iterable[RecordFields],
        now: float,
        answers: Mapping[str, float],
    ) -> Learned:
        """Takes what another daemon knows.

        Args:
            told: What it knows.
            now: Loop time.
            answers: Loop time of the last answers that are known here, by
                request.
        """
        before = self.revision
        answered = []
        for fields in told:
            record = self._record(fields["fingerprint"])
            for end in fields["ends"]:
                sent_at = now - end["sent_age_ms"] / 1000
                ended_at = now - end["ended_age_ms"] / 1000
                self._add_end(record, end["server"], End(sent_at, ended_at))
            age_ms = fields["answered_age_ms"]
            if age_ms >= 0:
                self._note_answer(record, now - age_ms / 1000)
            known_at = answers.get(record.fingerprint, -math.inf)
            if self._note_answer(record, known_at):
                answered.append(record.fingerprint)
        if self.revision == before:
            return Learned([], False, [])
        return Learned(self._judge(), True, answered)

    def expire(self, now: float) -> None:
        """Forgets requests with which no server ended for long."""
        oldest = now - FORGOTTEN_AFTER * self.period_s
        for record in list(self.records.values()):
            if record.last_end() < oldest:
                del self.records[record.fingerprint]

    # What is asked.

    def refused_until(self, fingerprint: str, now: float) -> float | None:
        """Returns until when a request is refused, or None if it is not."""
        record = self.records.get(fingerprint)
        if record is None or record.refused_until <= now:
            return None
        return record.refused_until

    def refused(self, now: float) -> list[Record]:
        """Returns the requests that are refused."""
        return [r for r in self.records.values() if r.refused_until > now]

    def ends_of(self, fingerprint: str) -> frozenset[str]:
        """Returns the servers that ended since the request's last answer."""
        record = self.records.get(fingerprint)
        return frozenset(record.open_ends()) if record else frozenset()

    def newest(self, least_ends: int) -> int:
        """Returns the latest revision of requests with enough ends."""
        return max(
            (
                record.revision
                for record in self.records.values()
                if len(record.ends) >= least_ends
            ),
            default=0,
        )

    def tell(
        self, now: float, after: int = 0, least_ends: int = 1
    ) -> list[RecordFields]:
        """Returns what other daemons are told.

        Args:
            now: Loop time.
            after: Revision from which on changes are told.
            least_ends: Fewest ends of a request that is told.
        """
        return [
            _fields(record, now)
            for record in self.records.values()
            if record.revision > after and len(record.ends) >= least_ends
        ]

    def tell_of(
        self, fingerprints: Iterable[str], now: float
    ) -> list[RecordFields]:
        """Returns what is known of some requests."""
        found = (self.records.get(name) for name in fingerprints)
        return [_fields(record, now) for record in found if record is not None]

    # Within.

    def _record(self, fingerprint: str) -> Record:
        record = self.records.get(fingerprint)
        if record is None:
            self._make_room()
            record = Record(fingerprint, self.random.random())
            self.records[fingerprint] = record
        return record

    def _make_room(self) -> None:
        """Drops the request with the fewest ends, of these the oldest."""
        if len(self.records) < MOST_REQUESTS:
            return
        least = min(
            self.records.values(), key=lambda r: (len(r.ends), r.last_end())
        )
        del self.records[least.fingerprint]

    def _add_end(self, record: Record, server: str, end: End) -> bool:
        """Adds an end; False if it is known or older than those kept."""
        if server in record.ends:
            return False
        if len(record.ends) >= MOST_ENDS:
            oldest = min(record.ends, key=lambda s: record.ends[s].ended_at)
            if record.ends[oldest].ended_at >= end.ended_at:
                return False
            del record.ends[oldest]
        record.ends[server] = end
        self._changed(record)
        return True

    def _note_answer(self, record: Record, at: float) -> bool:
        """Takes an answer; tells whether it changes what its ends mean."""
        before = len(record.open_ends())
        record.answered_at = max(record.answered_at, at)
        if len(record.open_ends()) == before:
            return False
        self._changed(record)
        return True

    def _changed(self, record: Record) -> None:
        self.revision += 1
        record.revision = self.revision

    def _judge(self) -> list[Verdict]:
        """Decides anew which requests are refused."""
        verdicts = []
        explained: set[str] = set()
        for record in self._suspects():
            ends = record.open_ends(explained)
            until = -math.inf
            if _is_cause(ends):
                explained.update(record.ends)
                last = max(end.ended_at for end in ends.values())
                until = last + self.period_s * (1 + SPREAD * record.share)
            if until != record.refused_until:
                record.refused_until = until
                verdicts.append(
                    Verdict(record.fingerprint, until, tuple(record.ends))
                )
        return verdicts

    def _suspects(self) -> Iterator[Record]:
        """Yields those with enough ends, with the most ends first.

        The order is the same at every daemon that knows the same.
        """
        found = [
            record
            for record in self.records.values()
            if len(record.ends) >= ENOUGH_ENDS
        ]
        found.sort(key=lambda r: (-len(r.open_ends()), r.fingerprint))
        yield from found


def _is_cause(ends: dict[str, End]) -> bool:
    """Tells whether servers ended one after the other under a request."""
    if len(ends) < ENOUGH_ENDS:
        return False
    last_sent = max(end.sent_at for end in ends.values())
    first_ended = min(end.ended_at for end in ends.values())
    return last_sent >= first_ended


def _fields(record: Record, now: float) -> RecordFields:
    answered = record.answered_at
    return RecordFields(
        fingerprint=record.fingerprint,
        ends=[
            EndFields(
                server=server,
                sent_age_ms=_age_ms(end.sent_at, now),
                ended_age_ms=_age_ms(end.ended_at, now),
            )
            for server, end in record.ends.items()
        ],
        answered_age_ms=_age_ms(answered, now) if answered > -math.inf else -1,
    )


def _age_ms(at: float, now: float) -> int:
    return max(0, round((now - at) * 1000))
