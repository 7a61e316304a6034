"""Hash chains, which reveal missing and altered records.

Each record carries its sequence number, the digest of the record before it
and its own digest over all other fields. The functions here are pure.
"""

import enum
import hashlib
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import msgspec

FIRST_SEQUENCE = 1
NO_DIGEST = ""


class Damage(enum.StrEnum):
    """Kind of damage to a record of a chain."""

    MISSING = "missing"
    ALTERED = "altered"
    REORDERED = "reordered"
    TRUNCATED = "truncated"
    REPLACED = "replaced"
    UNREADABLE = "unreadable"


class Problem(NamedTuple):
    """One damaged record of a chain.

    Attributes:
        sequence: Sequence number of the damaged record.
        damage: Kind of damage.
        detail: Description in one sentence.
    """

    sequence: int
    damage: Damage
    detail: str


class Tip(NamedTuple):
    """The last record of a chain, as observed at some time.

    Attributes:
        sequence: Its sequence number, 0 for an empty chain.
        digest: Its hex digest, empty for an empty chain.
    """

    sequence: int = 0
    digest: str = NO_DIGEST


def canonical(value: Any) -> bytes:
    """Encodes a JSON-compatible value with sorted keys and no spaces."""
    return msgspec.json.encode(value, order="sorted")


def digest_of(record: Mapping[str, Any]) -> str:
    """Returns the hex SHA-256 of a record without its own digest."""
    content = {key: item for key, item in record.items() if key != "digest"}
    return hashlib.sha256(canonical(content)).hexdigest()


def sealed(record: Mapping[str, Any]) -> dict[str, Any]:
    """Returns the record with its digest added."""
    return {**record, "digest": digest_of(record)}


def check_record(sequence: int, record: Mapping[str, Any]) -> Problem | None:
    """Checks one record without its neighbours.

    Args:
        sequence: Sequence number by which the record was found.
        record: The record as stored.

    Returns:
        The problem, or None for a sound record.
    """
    if not isinstance(record.get("digest"), str):
        return Problem(sequence, Damage.UNREADABLE, "The record has no digest.")
    if record["digest"] != digest_of(record):
        return Problem(
            sequence,
            Damage.ALTERED,
            f"Record {sequence} does not match its own digest.",
        )
    if record.get("sequence") != sequence:
        return Problem(
            sequence,
            Damage.REORDERED,
            f"Record {record.get('sequence')} stands in place {sequence}.",
        )
    return None


def check_links(records: Mapping[int, Mapping[str, Any]]) -> list[Problem]:
    """Checks each record and its link to the one before.

    Args:
        records: Records by the sequence number under which they are stored.
            The lowest sequence number isn't checked here: a caller that
            needs a chain to start at 1 checks that itself.

    Returns:
        Problems in order of sequence.
    """
    problems: list[Problem] = []
    previous: Mapping[str, Any] | None = None
    expected = min(records, default=FIRST_SEQUENCE)
    for sequence in sorted(records):
        record = records[sequence]
        problems += _gap(expected, sequence)
        problem = check_record(sequence, record)
        if problem is None and sequence == expected and previous is not None:
            problem = _link(sequence, previous, record)
        if problem is not None:
            problems.append(problem)
        previous = record
        expected = sequence + 1
    return problems


def check_tips(
    records: Mapping[int, Mapping[str, Any]], tips: Iterable[Tip]
) -> list[Problem]:
    """Checks a chain against tips that were observed earlier.

    Args:
        records: Records by sequence number.
        tips: Tips that were observed at any time.

    Returns:
        One problem for each tip that the chain no longer contains.
    """
    last = max(records, default=0)
    problems: list[Problem] = []
    for tip in sorted(set(tips)):
        if tip.sequence == 0:
            continue
        if tip.sequence > last:
            problems.append(
                Problem(
                    tip.sequence,
                    Damage.TRUNCATED,
                    f"Record {tip.sequence} was seen, but the chain ends at"
                    f" {last}.",
                )
            )
        elif tip.sequence in records:
            problems += _replaced(tip, records[tip.sequence])
    return problems


def _gap(expected: int, found: int) -> list[Problem]:
    if found == expected:
        return []
    last = found - 1
    named = f"Record {expected} is" if last == expected else "Records are"
    span = "" if last == expected else f" ({expected} to {last})"
    return [Problem(expected, Damage.MISSING, f"{named} missing{span}.")]


def _link(
    sequence: int, previous: Mapping[str, Any], record: Mapping[str, Any]
) -> Problem | None:
    if record.get("previous") == previous.get("digest"):
        return None
    return Problem(
        sequence - 1,
        Damage.REPLACED,
        f"Record {sequence} follows a record {sequence - 1} that is not the"
        " stored one.",
    )


def _replaced(tip: Tip, record: Mapping[str, Any]) -> list[Problem]:
    if record.get("digest") == tip.digest:
        return []
    return [
        Problem(
            tip.sequence,
            Damage.REPLACED,
            f"Record {tip.sequence} is not the one that was seen before.",
        )
    ]
