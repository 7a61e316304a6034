"""`banyantiller sign`: signs a proposal."""

from banyantiller.bundle import approval
from banyantiller.bundle.outcomes import Signed
from banyantiller.commands import context, failures, output, references


def sign(
    digest: str,
    *,
    settings: str = context.DEFAULT_SETTINGS,
    json: bool = False,
) -> int:
    """Signs another operator's proposal.

    Look at it before, by `banyantiller compare accepted DIGEST`.

    Args:
        digest: Digest of the proposal, or its start.
        settings: Settings file of the operator.
        json: Print JSON for programs.
    """

    async def body(session: context.Session) -> int:
        proposal = await references.find_proposal(session, digest)
        outcome = await approval.sign(
            session.store,
            session.deployment,
            proposal.digest,
            session.operator(),
        )
        if not isinstance(outcome, Signed):
            failures.raise_for(outcome)
        version = outcome.manifest.version
        output.emit(
            json,
            {"digest": outcome.digest, "version": version},
            [
                f"Signed version {version}: {outcome.digest}",
                f"Roll it by: banyantiller roll {outcome.digest[:12]}",
            ],
        )
        return 0

    return context.run(settings, body)
