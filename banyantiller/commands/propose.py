"""`banyantiller propose`: proposes a bundle."""

from banyantiller.bundle import difference, parsing, proposals
from banyantiller.bundle.options import Bundle
from banyantiller.bundle.outcomes import Proposed
from banyantiller.commands import changes, context, failures, output, references


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
        before = await _in_force(session)
        outcome = await proposals.propose(
            session.store,
            session.deployment,
            parsed.bundle,
            session.operator(),
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
                "warnings": [
                    output.problem_data(item) for item in parsed.warnings
                ],
            },
            [
                *(item.text() for item in parsed.warnings),
                *changes.lines(found),
                f"Proposed version {version}: {outcome.digest}",
                "Another operator signs it by: banyantiller sign"
                f" {outcome.digest[:12]}",
            ],
        )
        return 0

    return context.run(settings, body)


async def _in_force(session: context.Session) -> Bundle:
    head = await references.head(session)
    if head is None:
        return Bundle(())
    return await references.content(session, head.accepted.manifest)
