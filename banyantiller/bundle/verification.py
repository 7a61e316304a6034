"""Decides whether an accepted bundle may be put in force.

A key's `not_after` limits what the key may bring into force, not how long
it stays there: expiry is judged at the time of acceptance. Otherwise a
daemon that restarts after the expiry would have no bundle at all. A key that
was stolen is taken out of the trusted keys instead of left to expire.
"""

import datetime

from banyantiller.bundle import canonical, signing
from banyantiller.bundle.manifest import AcceptedBundle, Manifest, Signature
from banyantiller.config.defaults import TrustedKey

SECONDS_PER_DAY = 86400.0


def verify(
    accepted: AcceptedBundle,
    trusted: tuple[TrustedKey, ...],
    deployment: str,
    wall_now: float,
) -> tuple[str, ...]:
    """Lists the reasons for which an accepted bundle must be refused.

    Args:
        accepted: The bundle as the object API or a peer gave it.
        trusted: Keys of operators.
        deployment: Fleet of this process.
        wall_now: Wall-clock seconds; an acceptance later than this is taken
            to have happened now.

    Returns:
        One sentence for each reason; empty if the bundle may be used.
    """
    at = min(accepted.accepted_at, wall_now)
    return (
        *check_manifest(accepted.manifest, deployment),
        *check_signatures(accepted.manifest, accepted.signatures, trusted, at),
    )


def check_manifest(manifest: Manifest, deployment: str) -> tuple[str, ...]:
    """Lists what is wrong with a manifest itself."""
    reasons = []
    if manifest.deployment != deployment:
        reasons.append(
            f"The bundle is for deployment '{manifest.deployment}',"
            f" not for '{deployment}'."
        )
    if manifest.version < 1 or (manifest.version == 1 and manifest.parent):
        reasons.append("The bundle's version does not fit its parent.")
    names = [part.service for part in manifest.parts]
    if names != sorted(set(names)):
        reasons.append("The bundle's parts are not sorted by service.")
    size = canonical.total_size(manifest.parts)
    if size > canonical.MAX_BUNDLE_BYTES or any(
        part.size < 0 for part in manifest.parts
    ):
        reasons.append(
            f"The bundle has {size} bytes, more than"
            f" {canonical.MAX_BUNDLE_BYTES}."
        )
    return tuple(reasons)


def check_signatures(
    manifest: Manifest,
    signatures: tuple[Signature, ...],
    trusted: tuple[TrustedKey, ...],
    at: float,
) -> tuple[str, ...]:
    """Lists why the signatures do not suffice.

    One valid signature of the proposer and one of another operator with
    another key suffice; further signatures are not judged.

    Args:
        manifest: What was signed.
        signatures: Signatures of any operators.
        trusted: Keys of operators.
        at: Wall-clock seconds at which the keys have to be valid.
    """
    proposer_reasons = check_proposer(manifest, signatures, trusted, at)
    if proposer_reasons:
        return proposer_reasons
    proposer_keys = [
        key.public_key for key in trusted if key.name == manifest.proposer
    ]
    second_signatures = [
        item for item in signatures if item.role == signing.SIGN
    ]
    if not second_signatures:
        return ("The bundle is not signed by a second operator.",)
    reasons = []
    for signature in second_signatures:
        reason = find_signature_error(
            manifest, signature, trusted, at, proposer_keys
        )
        if not reason:
            return ()
        reasons.append(reason)
    return tuple(reasons)


def check_proposer(
    manifest: Manifest,
    signatures: tuple[Signature, ...],
    trusted: tuple[TrustedKey, ...],
    at: float,
) -> tuple[str, ...]:
    """Lists why the proposer's signature does not suffice."""
    reasons = []
    for signature in signatures:
        if signature.role != signing.PROPOSE:
            continue
        if signature.operator != manifest.proposer:
            continue
        reason = find_signature_error(manifest, signature, trusted, at)
        if not reason:
            return ()
        reasons.append(reason)
    return tuple(reasons) or ("The bundle is not signed by its proposer.",)


def find_signature_error(
    manifest: Manifest,
    signature: Signature,
    trusted: tuple[TrustedKey, ...],
    at: float,
    proposer_keys: list[str] | None = None,
) -> str:
    """Returns what is wrong with one signature, or an empty text.

    Args:
        manifest: What was signed.
        signature: The signature.
        trusted: Keys of operators.
        at: Wall-clock seconds at which the key has to be valid.
        proposer_keys: Public keys of the proposer, for a signature that has
            to come from someone else.
    """
    operator = signature.operator
    if signature.role == signing.SIGN and operator == manifest.proposer:
        return f"The proposer '{operator}' also signed the bundle."
    operator_keys = [key for key in trusted if key.name == operator]
    if not operator_keys:
        return f"No key of operator '{operator}' is trusted."
    allowed = [key for key in operator_keys if signature.role in key.roles]
    if not allowed:
        return f"Operator '{operator}' may not {signature.role}."
    matching = [
        key
        for key in allowed
        if signing.is_valid(key.public_key, signature, manifest)
    ]
    if not matching:
        return f"The signature of '{operator}' does not fit the bundle."
    if all(key.public_key in (proposer_keys or ()) for key in matching):
        return f"Operator '{operator}' signed with a key of the proposer."
    if all(is_expired(key, at) for key in matching):
        return f"The key of operator '{operator}' has expired."
    return ""


def is_expired(key: TrustedKey, at: float) -> bool:
    """Tells whether a key's last day, in UTC, is over."""
    if not key.not_after:
        return False
    last = datetime.datetime.fromisoformat(key.not_after)
    expires_at = last.replace(tzinfo=datetime.UTC).timestamp() + SECONDS_PER_DAY
    return at >= expires_at
