"""Verdicts on a promise in a period."""

import dataclasses
from typing import NamedTuple

from banyantiller.evidence.history import EvidenceGap
from banyantiller.evidence.promises import Promise


class NamedBreach(NamedTuple):
    """One breach with its details.

    Attributes:
        daemon: Daemon that observed it, empty for the whole fleet.
        request_id: The request, empty if the breach concerns none.
        detail: Description in one sentence.
        at_ms: Time by the daemon's clock, wall-clock milliseconds.
    """

    daemon: str
    request_id: str
    detail: str
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """Every daemon reported for the whole period and observed no breach.

    Attributes:
        calls: Number of calls in the summaries.
    """

    calls: int


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """At least one breach was observed.

    Attributes:
        named: Breaches that are listed.
        unnamed: Number of further breaches that were only counted.
        unknown: Gaps of the period in which more breaches may have happened.
    """

    named: tuple[NamedBreach, ...]
    unnamed: int
    unknown: tuple[EvidenceGap, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NotKnown:
    """No breach was observed, but the evidence is incomplete.

    Attributes:
        since_ms: Start of the first gap.
        unknown: All gaps of the period.
    """

    since_ms: int
    unknown: tuple[EvidenceGap, ...]


Verdict = Held | Broken | NotKnown


class Judgement(NamedTuple):
    """The verdict on one promise in one period."""

    promise: Promise
    from_ms: int
    to_ms: int
    verdict: Verdict


class Finding(NamedTuple):
    """Result of one rule for a period.

    Attributes:
        named: Breaches that are listed.
        unnamed: Number of breaches that were only counted.
        unknown: Spans that the rule can't judge.
    """

    named: tuple[NamedBreach, ...] = ()
    unnamed: int = 0
    unknown: tuple[EvidenceGap, ...] = ()
