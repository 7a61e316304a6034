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
        signed = failures.expect(outcome, Signed)
        version = signed.manifest.version
        output.emit(
            json,
            {"digest": signed.digest, "version": version},
            [
                f"Signed version {version}: {signed.digest}",
                f"Roll it by: banyantiller roll {signed.digest[:12]}",
            ],
        )
        return 0

    return context.run(settings, body)
