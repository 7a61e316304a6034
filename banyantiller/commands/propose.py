"""`banyantiller propose`: proposes a bundle."""

from banyantiller.bundle import difference, parsing, proposals
from banyantiller.bundle.options import Bundle
from banyantiller.bundle.outcomes import Proposed
from banyantiller.commands import (
    changes,
    context,
    failures,
    output,
    references,
    statuses,
)


def propose(
    file: str,
    *,
    settings: str = context.DEFAULT_SETTINGS,
    json: bool = False,
) -> int:
    """Proposes a bundle that follows the one in force.

    The proposal is named by its digest. Another operator has to sign it.

    Args:
        file: YAML file of the bundle.
        settings: Settings file of the operator.
        json: Print JSON for programs.
    """
    parsed = parsing.parse_file(file)

    async def body(session: context.Session) -> int:
        seen = await references.view(session)
        before = await _content(session, seen)
        known = await statuses.read(session)
        outcome = await proposals.propose(
            session.store,
            session.deployment,
            parsed.bundle,
            session.operator(),
            floor=max((item.bundle for item in known), default=0),
        )
        if not isinstance(outcome, Proposed):
            failures.raise_for(outcome)
        found = difference.compare(before, parsed.bundle)
        version = outcome.manifest.version
        output.emit(
            json,
            {
                "digest": outcome.digest,
                "version": version,
                "changes": changes.data(found),
                "doubts": seen.doubts,
                "warnings": [
                    output.problem_data(item) for item in parsed.warnings
                ],
            },
            [
                *seen.doubts,
                *(item.text() for item in parsed.warnings),
                *changes.lines(found),
                f"Proposed version {version}: {outcome.digest}",
                "Another operator signs it by: banyantiller sign"
                f" {outcome.digest[:12]}",
            ],
        )
        return 0

    return context.run(settings, body)


async def _content(session: context.Session, seen: references.View) -> Bundle:
    if seen.head is None or seen.doubts:
        return Bundle(())
    return await references.content(session, seen.head.accepted.manifest)
