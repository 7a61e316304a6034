"""`banyantiller proposals`: lists proposals that can still be rolled."""

from typing import Any

from banyantiller.bundle import history, signing
from banyantiller.bundle.outcomes import ProposalFound
from banyantiller.commands import context, failures, output, references

HEAD = ("DIGEST", "VERSION", "PROPOSER", "SIGNERS", "DESCRIPTION")


def proposals(
    *, settings: str = context.DEFAULT_SETTINGS, json: bool = False
) -> int:
    """Lists the proposals that follow the bundle in force.

    Args:
        settings: Settings file of the operator.
        json: Print JSON for programs.
    """

    async def body(session: context.Session) -> int:
        seen = await references.view(session)
        found = await history.find_proposals(
            session.store, session.deployment, ""
        )
        waiting = [
            item
            for item in failures.expect(found, tuple)
            if item.manifest.parent == seen.base.digest
        ]
        lines = output.table(HEAD, [_cells(item) for item in waiting])
        output.emit(json, [_data(item) for item in waiting], lines)
        return 0

    return context.run(settings, body)


def _data(item: ProposalFound) -> dict[str, Any]:
    manifest = item.manifest
    return {
        "digest": item.digest,
        "version": manifest.version,
        "proposer": manifest.proposer,
        "signers": _signers(item),
        "description": manifest.description,
    }


def _cells(item: ProposalFound) -> tuple[str, ...]:
    manifest = item.manifest
    return (
        item.digest[:12],
        str(manifest.version),
        manifest.proposer,
        ",".join(_signers(item)) or "-",
        manifest.description,
    )


def _signers(item: ProposalFound) -> list[str]:
    return [one.operator for one in item.signatures if one.role == signing.SIGN]
