"""What is answered for a promise and a period."""

import dataclasses
from typing import NamedTuple

from banyantiller.evidence.history import EvidenceGap
from banyantiller.evidence.promises import Promise


class NamedBreach(NamedTuple):
    """One breach.

    Attributes:
        daemon: Daemon that saw it.
        request_id: The request, empty if none is concerned.
        detail: One sentence.
        at_ms: When, by that daemon's clock.
    """

    daemon: str
    request_id: str
    detail: str
    at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """Every daemon reported for the whole period and saw no breach.

    Attributes:
        calls: Calls that were seen.
    """

    calls: int


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """At least one breach was seen.

    Attributes:
        named: Breaches that are listed.
        unnamed: Further breaches that were only counted.
        unknown: Times of the period for which more may have happened.
    """

    named: tuple[NamedBreach, ...]
    unnamed: int
    unknown: tuple[EvidenceGap, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NotKnown:
    """No breach was seen, but not everything was seen.

    Attributes:
        since_ms: Start of the first unknown time.
        unknown: All unknown times of the period.
    """

    since_ms: int
    unknown: tuple[EvidenceGap, ...]


Verdict = Held | Broken | NotKnown


class Judgement(NamedTuple):
    """The answer for one promise and one period."""

    promise: Promise
    from_ms: int
    to_ms: int
    verdict: Verdict


class Finding(NamedTuple):
    """What one rule found in a period.

    Attributes:
        named: Breaches.
        unnamed: Breaches that were only counted.
        unknown: Times that the rule can't judge.
    """

    named: tuple[NamedBreach, ...] = ()
    unnamed: int = 0
    unknown: tuple[EvidenceGap, ...] = ()
