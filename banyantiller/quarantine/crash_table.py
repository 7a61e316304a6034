"""Decides which requests are quarantined and not sent to servers.

A request may crash each server that starts to run it, and be sent again. The
table counts the servers that crashed while they ran a request. That alone
proves nothing: a crash affects all requests on the server, and many servers may
crash at once for another reason. So a request is quarantined only if

- at least three servers crashed while they ran it,
- not all of them at once: it was sent to one after another had crashed,
- no server responded to it since, or shortly before, and
- no other quarantined request ran on the same servers and on more of them.

Where as many servers crashed under several requests, the one that was sent
shortest before the crashes is quarantined: a request that crashes servers does
so when it begins to run, and others have run for a while. This may be wrong,
and a quarantined request can't prove itself harmless, so the quarantine is
short until one more server has crashed under the request.

The recorded facts only accumulate, so that daemons may learn them in any order,
twice, or from each other. There are no sockets and no clock here: times are the
loop's, and facts are sent with their ages.
"""

import math
import random
from collections.abc import Iterable, Mapping
from typing import NamedTuple, TypedDict

# Servers that crashed while running a request before it is quarantined.
MIN_CRASHES = 3
# A request to which a server responded so shortly before a crash did not cause
# the crash. A popular request may run on every server that other requests
# crash, and get no response until they are back.
RECENT_RESPONSE_S = 2.0
# Latest crashes kept for each request.
MAX_CRASHES = 8
# How long a request is quarantined if others may as well have caused the same
# crashes, in seconds.
AMBIGUOUS_PERIOD_S = 10.0
# Resolution of the times from a send to a crash, so that daemons that learn
# them from each other in milliseconds order requests alike.
RUN_TIME_STEP_S = 0.01
# Maximum number of records. A caller that sends a different body each time
# fills the table, and evicts other requests with as few crashes.
MAX_REQUESTS = 1024
# Daemons end a quarantine at different times, up to this share of the period
# later: otherwise all of them would forward the request at once.
RETRY_SPREAD = 0.2
# A record is removed this many periods after its last crash.
RETENTION_PERIODS = 3


class Crash(NamedTuple):
    """A crash of a server while it ran a request.

    Attributes:
        sent_at: Loop time at which the request was sent to the server.
        crashed_at: Loop time at which the crash was observed.
    """

    sent_at: float
    crashed_at: float


class CrashFields(TypedDict):
    """A `Crash` in a message between daemons; ages in milliseconds."""

    server: str
    sent_age_ms: int
    ended_age_ms: int


class RecordFields(TypedDict):
    """Record of a request in a message between daemons.

    `answered_age_ms` is the time since a server's last response to it; -1 for
    never.
    """

    fingerprint: str
    ends: list[CrashFields]
    answered_age_ms: int


class QuarantineChange(NamedTuple):
    """Start or end of a request's quarantine.

    Attributes:
        fingerprint: The request.
        quarantined_until: Loop time at which the quarantine ends; in the past
            if the request is not quarantined any more.
        servers: Servers that crashed while they ran it.
    """

    fingerprint: str
    quarantined_until: float
    servers: tuple[str, ...]


class MergeResult(NamedTuple):
    """Result of merging the records of a peer.

    Attributes:
        changes: Changes of quarantines.
        is_new: Whether any record contained something new.
        unknown_to_peer: Requests that this daemon knows to have got a response
            of which the peer doesn't know.
    """

    changes: list[QuarantineChange]
    is_new: bool
    unknown_to_peer: list[str]


class Record:
    """Recorded facts about one request.

    Attributes:
        fingerprint: The request.
        crashes: Crashes of servers that ran it, by the server's incarnation.
        responded_at: Loop time of a server's last response to it.
        quarantined_until: Loop time at which its quarantine ends.
        revision: Revision of the table at the record's last change.
        spread: Share of `RETRY_SPREAD` added to the period here, 0 to 1.
    """

    def __init__(self, fingerprint: str, spread: float) -> None:
        self.fingerprint = fingerprint
        self.crashes: dict[str, Crash] = {}
        self.responded_at = -math.inf
        self.quarantined_until = -math.inf
        self.revision = 0
        self.spread = spread

    def unexplained_crashes(
        self, explained: Iterable[str] = ()
    ) -> dict[str, Crash]:
        """Returns crashes that no response and no other request explains."""
        since = self.responded_at + RECENT_RESPONSE_S
        return {
            server: crash
            for server, crash in self.crashes.items()
            if crash.crashed_at > since and server not in explained
        }

    def longest_run(self) -> int:
        """Returns the longest time from a send to a crash, in steps."""
        crashes = self.unexplained_crashes().values()
        longest_s = max((c.crashed_at - c.sent_at for c in crashes), default=0)
        return round(longest_s / RUN_TIME_STEP_S)

    def last_crash_at(self) -> float:
        """Returns the loop time of the last crash."""
        return max(
            (crash.crashed_at for crash in self.crashes.values()),
            default=-math.inf,
        )


class CrashTable:
    """Requests that were running on servers when these crashed.

    Attributes:
        period_s: How long a request is quarantined after a server's crash.
        records: Records by request.
        revision: Counts the changes of records.
    """

    def __init__(self, period_s: float, rng: random.Random) -> None:
        self.period_s = period_s
        self.random = rng
        self.records: dict[str, Record] = {}
        self.revision = 0

    # Updates.

    def record_crash(
        self,
        fingerprint: str,
        server: str,
        crash: Crash,
        responded_at: float = -math.inf,
    ) -> list[QuarantineChange]:
        """Records that a server crashed while it ran a request.

        Args:
            fingerprint: The request.
            server: The server's incarnation.
            crash: When the request was sent and when the server crashed.
            responded_at: Loop time of the last response known to this daemon.
        """
        record = self._get_or_add(fingerprint)
        record.responded_at = max(record.responded_at, responded_at)
        if self._add_crash(record, server, crash):
            return self._update_quarantine()
        return []

    def record_response(
        self, fingerprint: str, at: float
    ) -> list[QuarantineChange]:
        """Records that a server responded to a request and kept running.

        Changes nothing unless a server crashed while it ran the request.
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
        """Merges the records of a peer.

        Args:
            records: Records of the peer.
            now: Loop time.
            response_times: Loop times of the last responses known to this
                daemon, by request.
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
            local_at = response_times.get(record.fingerprint, -math.inf)
            if self._record_response(record, local_at):
                unknown_to_peer.append(record.fingerprint)
        if self.revision == before:
            return MergeResult([], False, [])
        return MergeResult(self._update_quarantine(), True, unknown_to_peer)

    def expire(self, now: float) -> None:
        """Removes requests that have crashed no server for a long time."""
        oldest = now - RETENTION_PERIODS * self.period_s
        for record in list(self.records.values()):
            if record.last_crash_at() < oldest:
                del self.records[record.fingerprint]

    # Queries.

    def quarantined_until(self, fingerprint: str, now: float) -> float | None:
        """Returns the end of a request's quarantine, or None without one."""
        record = self.records.get(fingerprint)
        if record is None or record.quarantined_until <= now:
            return None
        return record.quarantined_until

    def quarantined_records(self, now: float) -> list[Record]:
        """Returns the records of quarantined requests."""
        return [r for r in self.records.values() if r.quarantined_until > now]

    def crashed_servers(self, fingerprint: str) -> frozenset[str]:
        """Returns the servers that crashed since the last response."""
        record = self.records.get(fingerprint)
        return (
            frozenset(record.unexplained_crashes()) if record else frozenset()
        )

    def latest_revision(self, min_crashes: int) -> int:
        """Returns the latest revision of records with enough crashes."""
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
        """Returns the changed records as fields of a message to peers.

        Args:
            now: Loop time.
            after: Only records changed after this revision are returned.
            min_crashes: Only records with at least so many crashes are
                returned.
        """
        return [
            _fields(record, now)
            for record in self.records.values()
            if record.revision > after and len(record.crashes) >= min_crashes
        ]

    def export_records(
        self, fingerprints: Iterable[str], now: float
    ) -> list[RecordFields]:
        """Returns the records of some requests as fields of a message."""
        found = (self.records.get(name) for name in fingerprints)
        return [_fields(record, now) for record in found if record is not None]

    def _get_or_add(self, fingerprint: str) -> Record:
        record = self.records.get(fingerprint)
        if record is None:
            self._make_room()
            record = Record(fingerprint, self.random.random())
            self.records[fingerprint] = record
        return record

    def _make_room(self) -> None:
        """Removes the request with the fewest crashes; of these, the oldest."""
        if len(self.records) < MAX_REQUESTS:
            return
        evicted = min(
            self.records.values(),
            key=lambda r: (len(r.crashes), r.last_crash_at()),
        )
        del self.records[evicted.fingerprint]

    def _add_crash(self, record: Record, server: str, crash: Crash) -> bool:
        """Adds a crash; False if it is known or older than the kept ones."""
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

    def _record_response(self, record: Record, at: float) -> bool:
        """Records a response; returns whether it explains any crash."""
        before = len(record.unexplained_crashes())
        record.responded_at = max(record.responded_at, at)
        if len(record.unexplained_crashes()) == before:
            return False
        self._mark_changed(record)
        return True

    def _mark_changed(self, record: Record) -> None:
        self.revision += 1
        record.revision = self.revision

    def _update_quarantine(self) -> list[QuarantineChange]:
        """Decides again which requests are quarantined."""
        changes = []
        explained: set[str] = set()
        candidates = self._candidates()
        for record in candidates:
            crashes = record.unexplained_crashes(explained)
            until = -math.inf
            if _indicates_cause(crashes):
                period_s = self.period_s
                if _is_ambiguous(record, explained, candidates):
                    period_s = min(period_s, AMBIGUOUS_PERIOD_S)
                explained.update(record.crashes)
                last = max(crash.crashed_at for crash in crashes.values())
                until = last + period_s * (1 + RETRY_SPREAD * record.spread)
            if until != record.quarantined_until:
                record.quarantined_until = until
                changes.append(
                    QuarantineChange(
                        record.fingerprint, until, tuple(record.crashes)
                    )
                )
        return changes

    def _candidates(self) -> list[Record]:
        """Returns records with enough crashes, the most likely causes first.

        The order is the same at every daemon with the same records.
        """
        candidates = [
            record
            for record in self.records.values()
            if len(record.crashes) >= MIN_CRASHES
        ]
        candidates.sort(
            key=lambda r: (
                -len(r.unexplained_crashes()),
                r.longest_run(),
                r.fingerprint,
            )
        )
        return candidates


def _is_ambiguous(
    record: Record, explained: Iterable[str], candidates: Iterable[Record]
) -> bool:
    """Returns whether another request may have caused the same crashes.

    One more crash decides: meanwhile the others are sent, and are cleared by
    their responses if they are harmless.
    """
    crashes = record.unexplained_crashes(explained)
    if len(crashes) > MIN_CRASHES:
        return False
    return any(
        _indicates_cause(other.unexplained_crashes(explained))
        and not crashes.keys().isdisjoint(other.unexplained_crashes())
        for other in candidates
        if other is not record
    )


def _indicates_cause(crashes: dict[str, Crash]) -> bool:
    """Returns whether the request was sent again after the first crash."""
    if len(crashes) < MIN_CRASHES:
        return False
    last_sent_at = max(crash.sent_at for crash in crashes.values())
    first_crashed_at = min(crash.crashed_at for crash in crashes.values())
    return last_sent_at >= first_crashed_at


def _fields(record: Record, now: float) -> RecordFields:
    at = record.responded_at
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
        answered_age_ms=_age_ms(at, now) if at > -math.inf else -1,
    )


def _age_ms(at: float, now: float) -> int:
    return max(0, round((now - at) * 1000))
