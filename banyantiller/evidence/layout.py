"""Layout of evidence in the object API.

A run is one incarnation of a daemon, identified by its start time.
`evidenceruns` holds one object for each run, written at its start and at its
graceful shutdown. `evidence` holds blocks of a run's summaries; the records of
all blocks of a run form one hash chain.
"""

import datetime
from typing import Any, NamedTuple

import msgspec

from banyantiller.evidence import chain
from banyantiller.evidence import summary as summaries

BLOCK_KIND = "evidence"
RUN_KIND = "evidenceruns"
RECORDS_PER_BLOCK = 10
MAX_BLOCK_BYTES = 600_000
MS_PER_SECOND = 1000


class Run(NamedTuple):
    """One incarnation of a daemon.

    Attributes:
        deployment: Name of the fleet.
        daemon: Name of the daemon.
        zone: Its availability zone.
        started_ms: Start, wall-clock milliseconds.
        period_ms: Configured period of its summaries, 0 if unknown.
        ended_ms: Graceful shutdown, wall-clock milliseconds; 0 before it.
    """

    deployment: str
    daemon: str
    zone: str
    started_ms: int
    period_ms: int
    ended_ms: int = 0

    @property
    def name(self) -> str:
        """Object name of the run."""
        return f"{self.deployment}.{self.daemon}.{self.started_ms}"

    def block_name(self, number: int) -> str:
        """Returns the object name of a block."""
        return f"{self.name}.{number:06d}"


def day_of(at_ms: int) -> str:
    """Returns the UTC date of a time, in the form of the `day` label."""
    at = datetime.datetime.fromtimestamp(at_ms / MS_PER_SECOND, datetime.UTC)
    return at.date().isoformat()


def block_labels(run: Run, at_ms: int) -> dict[str, str]:
    """Returns the labels by which blocks are listed."""
    return {"deployment": run.deployment, "day": day_of(at_ms)}


def run_value(run: Run) -> dict[str, Any]:
    """Returns the JSON value of a run object."""
    return run._asdict()


def parse_run(value: dict[str, Any]) -> Run:
    """Parses a run object.

    Raises:
        msgspec.ValidationError: The value is not a run.
    """
    fields = [value.get(name) for name in Run._fields]
    return msgspec.convert(fields, Run)


def block_value(run: Run, records: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns the JSON value of a block."""
    return {
        "daemon": run.daemon,
        "started_ms": run.started_ms,
        "period_ms": run.period_ms,
        "zone": run.zone,
        "records": records,
    }


def seal_summary(summary: summaries.Summary, tip: chain.Tip) -> dict[str, Any]:
    """Returns the record that follows `tip` in a run's chain."""
    return chain.sealed(
        {
            **summaries.encode(summary),
            "sequence": tip.sequence + 1,
            "previous": tip.digest,
        }
    )
