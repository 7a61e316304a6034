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
MIN_CRASHES = 3
# A request that was answered so shortly before a server ended did not end it. A
# popular one may be on every server that others end, and be answered by none
# until they are back.
RECENT_RESPONSE_S = 2.0
# Ends kept of one request, the latest ones.
MAX_CRASHES = 8
# Requests that are known at a time. A caller that sends another body each time
# fills the table, and pushes out others with as few ends.
MAX_REQUESTS = 1024
# Daemons try a refused request again at different times after the period, by
# up to this share of it: else all of them would send it on at once.
RETRY_SPREAD = 0.2
# What is known of a request is forgotten this many periods after its last end.
RETENTION_PERIODS = 3


class Crash(NamedTuple):
    """A server ended with a request on it.

    Attributes:
        sent_at: Loop time at which the request was sent to it.
        crashed_at: Loop time at which its end was seen.
    """

    sent_at: float
    crashed_at: float


class CrashFields(TypedDict):
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
    ends: list[CrashFields]
    answered_age_ms: int


class QuarantineChange(NamedTuple):
    """A change of what is believed of a request.

    Attributes:
        fingerprint: The request.
        quarantined_until: Loop time until which it is refused; in the past if
            it
            is not refused any more.
        servers: Servers that ended with it on them.
    """

    fingerprint: str
    quarantined_until: float
    servers: tuple[str, ...]


class MergeResult(NamedTuple):
    """What followed from what another daemon told.

    Attributes:
        changes: Changes of what is believed.
        is_new: Whether anything was new.
        unknown_to_peer: Requests that this daemon knows to have been answered,
            and the
            other one does not.
    """

    changes: list[QuarantineChange]
    is_new: bool
    unknown_to_peer: list[str]


class RequestRecord:
    """What is known of one request.

    Attributes:
        fingerprint: The request.
        crashes: Ends of servers with it on them, by the server's start.
        responded_at: Loop time of a server's last answer to it.
        quarantined_until: Loop time until which it is refused.
        revision: Revision of the table at its last change.
        spread_share: Part of the spread that is added to the period here, 0 to
            1.
    """

    def __init__(self, fingerprint: str, spread_share: float) -> None:
        self.fingerprint = fingerprint
        self.crashes: dict[str, Crash] = {}
        self.responded_at = -math.inf
        self.quarantined_until = -math.inf
        self.revision = 0
        self.spread_share = spread_share

    def unexplained_crashes(
        self, explained_servers: Iterable[str] = ()
    ) -> dict[str, Crash]:
        """Returns the ends that no answer and no other request explains."""
        since = self.responded_at + RECENT_RESPONSE_S
        return {
            server: crash
            for server, crash in self.crashes.items()
            if crash.crashed_at > since and server not in explained_servers
        }

    def last_crash_at(self) -> float:
        """Returns the loop time of the last end."""
        return max(
            (crash.crashed_at for crash in self.crashes.values()),
            default=-math.inf,
        )


class CrashTable:
    """Requests with which servers ended.

    Attributes:
        period_s: How long a request is refused after a server's end.
        records: What is known, by request.
        revision: Counts the changes of records.
    """

    def __init__(self, period_s: float, rng: random.Random) -> None:
        self.period_s = period_s
        self.random = rng
        self.records: dict[str, RequestRecord] = {}
        self.revision = 0

    # What is learned.

    def record_crash(
        self,
        fingerprint: str,
        server: str,
        crash: Crash,
        responded_at: float = -math.inf,
    ) -> list[QuarantineChange]:
        """Notes that a server ended with a request on it.

        Args:
            fingerprint: The request.
            server: The server's start.
            crash: When it was sent and when the server ended.
            responded_at: Loop time of the last answer that is known here.
        """
        record = self._get_or_add(fingerprint)
        record.responded_at = max(record.responded_at, responded_at)
        if self._add_crash(record, server, crash):
            return self._update_quarantine()
        return []

    def record_response(
        self, fingerprint: str, at: float
    ) -> list[QuarantineChange]:
        """Notes that a server answered a request and went on.

        Changes nothing unless a server ended with the request on it.
        """
        record = self.records.get(fingerprint)
        if record is None or not self._record_response(record, at):
            return []
        return self._update_quarantine()

    def merge_records(
        self,
        records: Iterable[RecordFields],
        now: float,
        response_times: Mapping[str, float],
    ) -> MergeResult:
        """Takes what another daemon knows.

        Args:
            records: What it knows.
            now: Loop time.
            response_times: Loop time of the last answers that are known here,
                by
                request.
        """
        before = self.revision
        unknown_to_peer = []
        for fields in records:
            record = self._get_or_add(fields["fingerprint"])
            for crash in fields["ends"]:
                sent_at = now - crash["sent_age_ms"] / 1000
                crashed_at = now - crash["ended_age_ms"] / 1000
                self._add_crash(
                    record, crash["server"], Crash(sent_at, crashed_at)
                )
            age_ms = fields["answered_age_ms"]
            if age_ms >= 0:
                self._record_response(record, now - age_ms / 1000)
            local_response_at = response_times.get(
                record.fingerprint, -math.inf
            )
            if self._record_response(record, local_response_at):
                unknown_to_peer.append(record.fingerprint)
        if self.revision == before:
            return MergeResult([], False, [])
        return MergeResult(self._update_quarantine(), True, unknown_to_peer)

    def expire(self, now: float) -> None:
        """Forgets requests with which no server ended for long."""
        oldest = now - RETENTION_PERIODS * self.period_s
        for record in list(self.records.values()):
            if record.last_crash_at() < oldest:
                del self.records[record.fingerprint]

    # What is asked.

    def quarantined_until(self, fingerprint: str, now: float) -> float | None:
        """Returns until when a request is refused, or None if it is not."""
        record = self.records.get(fingerprint)
        if record is None or record.quarantined_until <= now:
            return None
        return record.quarantined_until

    def quarantined_records(self, now: float) -> list[RequestRecord]:
        """Returns the requests that are refused."""
        return [r for r in self.records.values() if r.quarantined_until > now]

    def crashed_servers(self, fingerprint: str) -> frozenset[str]:
        """Returns the servers that ended since the request's last answer."""
        record = self.records.get(fingerprint)
        return (
            frozenset(record.unexplained_crashes()) if record else frozenset()
        )

    def latest_revision(self, min_crashes: int) -> int:
        """Returns the latest revision of requests with enough ends."""
        return max(
            (
                record.revision
                for record in self.records.values()
                if len(record.crashes) >= min_crashes
            ),
            default=0,
        )

    def export_changes(
        self, now: float, after: int = 0, min_crashes: int = 1
    ) -> list[RecordFields]:
        """Returns what other daemons are told.

        Args:
            now: Loop time.
            after: Revision from which on changes are told.
            min_crashes: Fewest ends of a request that is told.
        """
        return [
            _to_fields(record, now)
            for record in self.records.values()
            if record.revision > after and len(record.crashes) >= min_crashes
        ]

    def export_records(
        self, fingerprints: Iterable[str], now: float
    ) -> list[RecordFields]:
        """Returns what is known of some requests."""
        candidates = (self.records.get(name) for name in fingerprints)
        return [
            _to_fields(record, now)
            for record in candidates
            if record is not None
        ]

    # Within.

    def _get_or_add(self, fingerprint: str) -> RequestRecord:
        record = self.records.get(fingerprint)
        if record is None:
            self._make_room()
            record = RequestRecord(fingerprint, self.random.random())
            self.records[fingerprint] = record
        return record

    def _make_room(self) -> None:
        """Drops the request with the fewest ends, of these the oldest."""
        if len(self.records) < MAX_REQUESTS:
            return
        evicted = min(
            self.records.values(),
            key=lambda r: (len(r.crashes), r.last_crash_at()),
        )
        del self.records[evicted.fingerprint]

    def _add_crash(
        self, record: RequestRecord, server: str, crash: Crash
    ) -> bool:
        """Adds an end; False if it is known or older than those kept."""
        if server in record.crashes:
            return False
        if len(record.crashes) >= MAX_CRASHES:
            oldest = min(
                record.crashes, key=lambda s: record.crashes[s].crashed_at
            )
            if record.crashes[oldest].crashed_at >= crash.crashed_at:
                return False
            del record.crashes[oldest]
        record.crashes[server] = crash
        self._mark_changed(record)
        return True

    def _record_response(self, record: RequestRecord, at: float) -> bool:
        """Takes an answer; tells whether it changes what its ends mean."""
        before = len(record.unexplained_crashes())
        record.responded_at = max(record.responded_at, at)
        if len(record.unexplained_crashes()) == before:
            return False
        self._mark_changed(record)
        return True

    def _mark_changed(self, record: RequestRecord) -> None:
        self.revision += 1
        record.revision = self.revision

    def _update_quarantine(self) -> list[QuarantineChange]:
        """Decides anew which requests are refused."""
        changes = []
        explained_servers: set[str] = set()
        for record in self._candidates():
            crashes = record.unexplained_crashes(explained_servers)
            until = -math.inf
            if _indicates_cause(crashes):
                explained_servers.update(record.crashes)
                last_crash_at = max(
                    crash.crashed_at for crash in crashes.values()
                )
                until = last_crash_at + self.period_s * (
                    1 + RETRY_SPREAD * record.spread_share
                )
            if until != record.quarantined_until:
                record.quarantined_until = until
                changes.append(
                    QuarantineChange(
                        record.fingerprint, until, tuple(record.crashes)
                    )
                )
        return changes

    def _candidates(self) -> Iterator[RequestRecord]:
        """Yields those with enough ends, with the most ends first.

        The order is the same at every daemon that knows the same.
        """
        candidates = [
            record
            for record in self.records.values()
            if len(record.crashes) >= MIN_CRASHES
        ]
        candidates.sort(
            key=lambda r: (-len(r.unexplained_crashes()), r.fingerprint)
        )
        yield from candidates


def _indicates_cause(crashes: dict[str, Crash]) -> bool:
    """Tells whether servers ended one after the other under a request."""
    if len(crashes) < MIN_CRASHES:
        return False
    last_sent_at = max(crash.sent_at for crash in crashes.values())
    first_crashed_at = min(crash.crashed_at for crash in crashes.values())
    return last_sent_at >= first_crashed_at


def _to_fields(record: RequestRecord, now: float) -> RecordFields:
    responded_at = record.responded_at
    return RecordFields(
        fingerprint=record.fingerprint,
        ends=[
            CrashFields(
                server=server,
                sent_age_ms=_age_ms(crash.sent_at, now),
                ended_age_ms=_age_ms(crash.crashed_at, now),
            )
            for server, crash in record.crashes.items()
        ],
        answered_age_ms=_age_ms(responded_at, now)
        if responded_at > -math.inf
        else -1,
    )


def _age_ms(at: float, now: float) -> int:
    return max(0, round((now - at) * 1000))
