"""`banyantiller propose`: proposes a bundle."""

from typing import Any, NamedTuple

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
from banyantiller.config.problems import Problem


class Offered(NamedTuple):
    """A proposal that was made, and what is told about it.

    Attributes:
        proposed: The proposal.
        found: How it differs from the bundle in force.
        doubts: Why daemons refuse what is in force; empty if they take it.
        warnings: What is questionable in the bundle.
    """

    proposed: Proposed
    found: tuple[difference.Difference, ...]
    doubts: tuple[str, ...]
    warnings: tuple[Problem, ...]


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
        result = await offer(session, seen.doubts, before, parsed.bundle)
        emit(json, result._replace(warnings=parsed.warnings))
        return 0

    return context.run(settings, body)


async def offer(
    session: context.Session,
    doubts: tuple[str, ...],
    before: Bundle,
    bundle: Bundle,
) -> Offered:
    """Proposes a bundle that follows the one in force.

    Args:
        session: What the operator works with.
        doubts: Why daemons refuse what is in force.
        before: Content of the bundle in force.
        bundle: The content that is proposed.

    Raises:
        BanyantillerError: It could not be proposed.
    """
    known = await statuses.read(session)
    outcome = await proposals.propose(
        session.store,
        session.deployment,
        bundle,
        session.operator(),
        floor=max((item.bundle for item in known), default=0),
    )
    proposed = failures.expect(outcome, Proposed)
    return Offered(proposed, difference.compare(before, bundle), doubts, ())


def emit(json: bool, result: Offered) -> None:
    """Prints what is told about a proposal."""
    output.emit(json, _data(result), _lines(result))


async def _content(session: context.Session, seen: references.View) -> Bundle:
    if seen.head is None or seen.doubts:
        return Bundle(())
    return await references.content(session, seen.head.accepted.manifest)


def _data(result: Offered) -> dict[str, Any]:
    return {
        "digest": result.proposed.digest,
        "version": result.proposed.manifest.version,
        "changes": changes.data(result.found),
        "doubts": result.doubts,
        "warnings": [output.problem_data(item) for item in result.warnings],
    }


def _lines(result: Offered) -> list[str]:
    digest = result.proposed.digest
    version = result.proposed.manifest.version
    return [
        *result.doubts,
        *(item.text() for item in result.warnings),
        *changes.lines(result.found),
        f"Proposed version {version}: {digest}",
        f"Another operator signs it by: banyantiller sign {digest[:12]}",
    ]
