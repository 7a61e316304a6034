"""`banyantiller proposals`: lists proposals that can still be rolled."""

from banyantiller.bundle import history
from banyantiller.commands import context, failures, output, references


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
        if not isinstance(found, tuple):
            failures.raise_for(found)
        rows = []
        for item in found:
            if item.manifest.parent != seen.base.digest:
                continue
            signers = [s.operator for s in item.signatures if s.role == "sign"]
            rows.append((item, signers))
        output.emit(
            json,
            [
                {
                    "digest": item.digest,
                    "version": item.manifest.version,
                    "proposer": item.manifest.proposer,
                    "signers": signers,
                    "description": item.manifest.description,
                }
                for item, signers in rows
            ],
            output.table(
                ("DIGEST", "VERSION", "PROPOSER", "SIGNERS", "DESCRIPTION"),
                [
                    (
                        item.digest[:12],
                        str(item.manifest.version),
                        item.manifest.proposer,
                        ",".join(signers) or "-",
                        item.manifest.description,
                    )
                    for item, signers in rows
                ],
            ),
        )
        return 0

    return context.run(settings, body)
