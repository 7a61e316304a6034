"""What excuses a daemon that did something late."""

from soak import record as records
from soak.record import Record

# How long after a fault's end its effects may last on a kept connection.
SLACK_S = 0.3
# What excuses a daemon that learns late what the store holds.
STORE_EXCUSES = (
    records.PROCESS,
    records.STORE,
    records.STORE_LINK,
    records.CONTROL_LINK,
    records.LAG,
)
# What excuses a daemon that sends more than its part.
PART_EXCUSES = (
    records.PROCESS,
    records.STORE_LINK,
    records.CONTROL_LINK,
    records.LAG,
)


def calm(
    seen: Record,
    daemon: int,
    began: float,
    ended: float,
    excuses: tuple[str, ...],
) -> bool:
    """Tells whether nothing that excuses a daemon came near a time span."""
    earliest = began - seen.bounds.contact_s
    return not any(
        one.what in excuses
        and one.daemon in (None, daemon)
        and one.began <= ended
        and one.ended >= earliest
        for one in seen.disturbances
    )
