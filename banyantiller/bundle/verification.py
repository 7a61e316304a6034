"""Decides whether an accepted bundle may be put in force.

A key's `not_after` limits which bundles the key may bring into force, not how
long they stay in force: expiry is checked at the time of acceptance. Otherwise
a daemon that restarts after the expiry would have no bundle at all. A stolen
key has to be removed from the trusted keys instead.
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
    """Lists the reasons to reject an accepted bundle.

    Args:
        accepted: The bundle as received from the object API or a peer.
        trusted: Keys of operators.
        deployment: Fleet of this process.
        wall_now: Wall-clock time in seconds; a later time of acceptance is
            replaced by it.

    Returns:
        One sentence for each reason; empty if the bundle may be used.
    """
    at = min(accepted.accepted_at, wall_now)
    return (
        *check_manifest(accepted.manifest, deployment),
        *check_signatures(accepted.manifest, accepted.signatures, trusted, at),
    )


def check_manifest(manifest: Manifest, deployment: str) -> tuple[str, ...]:
    """Lists errors of a manifest itself."""
    reasons = []
    if manifest.deployment != deployment:
        reasons.append(
            f"The bundle is for deployment '{manifest.deployment}',"
            f" not for '{deployment}'."
        )
    if manifest.version < 1 or (manifest.version == 1 and manifest.parent):
        reasons.append("The bundle's version does not match its parent.")
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
    """Lists why the signatures are not sufficient.

    One valid signature of the proposer and one of another operator with
    another key are sufficient; any other signatures are ignored.

    Args:
        manifest: The signed manifest.
        signatures: Signatures of any operators.
        trusted: Keys of operators.
        at: Wall-clock time in seconds at which the keys must be valid.
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
    """Lists why the proposer's signature is not sufficient."""
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
    """Returns the error of one signature, or an empty text.

    Args:
        manifest: The signed manifest.
        signature: The signature.
        trusted: Keys of operators.
        at: Wall-clock time in seconds at which the key must be valid.
        proposer_keys: Public keys of the proposer, with which a second
            signature must not be made.
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
        return f"The signature of '{operator}' does not match the bundle."
    if all(key.public_key in (proposer_keys or ()) for key in matching):
        return f"Operator '{operator}' signed with a key of the proposer."
    if all(is_expired(key, at) for key in matching):
        return f"The key of operator '{operator}' has expired."
    return ""


def is_expired(key: TrustedKey, at: float) -> bool:
    """Returns whether the last valid day of a key, in UTC, is over."""
    if not key.not_after:
        return False
    last = datetime.datetime.fromisoformat(key.not_after)
    expires_at = last.replace(tzinfo=datetime.UTC).timestamp() + SECONDS_PER_DAY
    return at >= expires_at
