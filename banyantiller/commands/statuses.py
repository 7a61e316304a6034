"""Status objects that each daemon writes to the object API."""

from typing import Any, NamedTuple

from banyantiller.bundle.outcomes import NotReached
from banyantiller.commands import failures
from banyantiller.commands.context import Session
from banyantiller.replica import status as writing
from banyantiller.store import interface

SPEAKING_PERIODS = 1.5


class DaemonStatus(NamedTuple):
    """What one daemon last said of itself.

    Attributes:
        daemon: Name.
        zone: Availability zone.
        bundle: Version in force there, 0 for none.
        digest: Digest of its manifest, or empty.
        at: Wall-clock seconds at which the daemon said so.
        incarnation: Start of the daemon in milliseconds.
    """

    daemon: str
    zone: str
    bundle: int
    digest: str
    at: float
    incarnation: int


async def read(session: Session) -> tuple[DaemonStatus, ...]:
    """Reads the status of every daemon, by name.

    Raises:
        StoreError: The object API gave no answer.
    """
    listed = await session.store.list(
        writing.OBJECT_KIND, {"deployment": session.deployment}
    )
    if isinstance(listed, interface.Unavailable):
        failures.raise_for(NotReached(listed.reason))
    found = [_decode(item.value) for item in listed.items]
    return tuple(sorted(item for item in found if item is not None))


def speaking(
    found: tuple[DaemonStatus, ...], now: float
) -> tuple[DaemonStatus, ...]:
    """Returns those who renewed their status in time; others may be gone."""
    renewal = max(
        writing.RENEWAL_PERIOD_S,
        writing.RENEWAL_PERIOD_PER_MEMBER_S * len(found),
    )
    limit = renewal * SPEAKING_PERIODS
    return tuple(item for item in found if now - item.at <= limit)


def _decode(value: dict[str, Any]) -> DaemonStatus | None:
    try:
        return DaemonStatus(
            str(value["daemon"]),
            str(value["zone"]),
            int(value["bundle"]),
            str(value["digest"]),
            float(value["at"]),
            int(value["incarnation"]),
        )
    except (KeyError, TypeError, ValueError):
        return None
