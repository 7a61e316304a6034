"""`banyantiller prune`: deletes old versions of bundles."""

from typing import Any

from banyantiller.bundle import retention
from banyantiller.commands import context, failures, output


def prune(
    *,
    versions: int = 1000,
    dry_run: bool = False,
    settings: str = context.DEFAULT_SETTINGS,
    json: bool = False,
) -> int:
    """Deletes proposals and parts that no kept version needs.

    The bundle in force, open proposals and all that is younger than a day
    are kept. The audit trail is never pruned.

    Args:
        versions: Accepted versions to keep, the one in force included.
        dry_run: Only tell what would be deleted.
        settings: Settings file of the operator.
        json: Print JSON for programs.
    """

    async def body(session: context.Session) -> int:
        outcome = await retention.prune(
            session.store,
            session.deployment,
            versions,
            session.operator(),
            dry_run,
        )
        pruned = failures.expect(outcome, retention.PruneResult)
        output.emit(json, _data(pruned, dry_run), [_line(pruned, dry_run)])
        return 0

    return context.run(settings, body)


def _data(pruned: retention.PruneResult, dry_run: bool) -> dict[str, Any]:
    return {
        "dry_run": dry_run,
        "proposals": pruned.proposals,
        "parts": pruned.parts,
        "failed": pruned.failed,
    }


def _line(pruned: retention.PruneResult, dry_run: bool) -> str:
    verb = "Would delete" if dry_run else "Deleted"
    return (
        f"{verb} {len(pruned.proposals)} proposals and"
        f" {len(pruned.parts)} parts;"
        f" {pruned.failed} deletes were not confirmed."
    )
