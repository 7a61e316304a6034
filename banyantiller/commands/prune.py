"""`banyantiller prune`: deletes old versions of bundles."""

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
        if not isinstance(outcome, retention.Pruned):
            failures.raise_for(outcome)
        verb = "Would delete" if dry_run else "Deleted"
        count = f"{len(outcome.proposals)} proposals"
        output.emit(
            json,
            {
                "dry_run": dry_run,
                "proposals": outcome.proposals,
                "parts": outcome.parts,
                "failed": outcome.failed,
            },
            [
                f"{verb} {count} and {len(outcome.parts)} parts;"
                f" {outcome.failed} deletes were not confirmed.",
            ],
        )
        return 0

    return context.run(settings, body)
