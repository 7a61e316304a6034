"""Finds bundles by version, digest or file, as commands name them."""

import os
from typing import NamedTuple

from banyantiller import exceptions
from banyantiller.bundle import (
    canonical,
    history,
    parsing,
    reading,
    verification,
)
from banyantiller.bundle.manifest import Manifest, Signature
from banyantiller.bundle.options import Bundle
from banyantiller.bundle.outcomes import (
    DamagedObject,
    HeadFound,
    NotReached,
    ProposalFound,
    Refused,
)
from banyantiller.commands import failures
from banyantiller.commands.context import Session

IN_FORCE = "accepted"
SHORTEST_DIGEST = 6
REFUSED = "Daemons refuse what the object API holds as accepted."


class Named(NamedTuple):
    """A bundle in the object API.

    Attributes:
        manifest: Its manifest.
        digest: Digest of the manifest.
        signatures: Signatures found beside it, not verified here.
        accepted_at: Wall-clock seconds, or None if not in force.
        roller: Who rolled it, or empty.
    """

    manifest: Manifest
    digest: str
    signatures: tuple[Signature, ...] = ()
    accepted_at: float | None = None
    roller: str = ""


class View(NamedTuple):
    """What the object API holds as accepted.

    Attributes:
        base: What a next bundle follows.
        head: The accepted bundle, None if there is none or it is damaged.
        doubts: Why daemons refuse it; empty if they take it.
    """

    base: reading.ProposalBase
    head: HeadFound | None
    doubts: tuple[str, ...]


async def view(session: Session) -> View:
    """Reads the accepted bundle and verifies it as daemons do.

    Raises:
        StoreError: It cannot be read.
    """
    found = await reading.read_head(session.store, session.deployment)
    if isinstance(found, NotReached):
        failures.raise_for(found)
    base = reading.ProposalBase.from_head(found)
    if isinstance(found, DamagedObject):
        return View(base, None, (REFUSED, found.reason))
    if not isinstance(found, HeadFound):
        return View(base, None, ())
    reasons = verification.verify(
        found.accepted,
        session.settings.trusted_keys,
        session.deployment,
        session.wall(),
    )
    return View(base, found, (REFUSED, *reasons) if reasons else ())


async def head(session: Session) -> HeadFound | None:
    """Reads the accepted bundle, None if there never was one.

    Raises:
        BanyantillerError: It cannot be read, or daemons refuse it.
    """
    seen = await view(session)
    if seen.doubts:
        failures.raise_for(Refused(seen.doubts))
    return seen.head


async def find(session: Session, text: str) -> Named:
    """Finds a bundle: "accepted", a version, or the start of a digest.

    Raises:
        BanyantillerError: It does not exist or cannot be read.
    """
    if text == IN_FORCE:
        found = await head(session)
        if found is None:
            raise exceptions.BanyantillerError("No bundle was accepted yet.")
        return _of_head(found)
    if text.isdecimal() and len(text) < SHORTEST_DIGEST:
        return await _version(session, int(text))
    proposal = await find_proposal(session, text)
    return Named(proposal.manifest, proposal.digest, proposal.signatures)


async def find_proposal(session: Session, prefix: str) -> ProposalFound:
    """Finds the one proposal whose digest begins with a prefix.

    Raises:
        BanyantillerError: There is none, more than one, or no answer.
    """
    if len(prefix) < SHORTEST_DIGEST:
        raise exceptions.BanyantillerError(
            f"Give at least {SHORTEST_DIGEST} digits of the digest."
        )
    if len(prefix) >= reading.SHORT_DIGEST_CHARS:
        found = await reading.read_proposal(
            session.store, session.deployment, prefix
        )
        return failures.expect(found, ProposalFound)
    listed = await history.find_proposals(
        session.store, session.deployment, prefix
    )
    many = failures.expect(listed, tuple)
    if len(many) != 1:
        count = "No proposal" if not many else f"{len(many)} proposals"
        raise exceptions.BanyantillerError(
            f"{count} of '{session.deployment}' begin with '{prefix}'."
        )
    return many[0]


async def load(session: Session, text: str) -> Bundle:
    """Loads the content of a bundle from a file or from the object API.

    Raises:
        BanyantillerError: It is not valid or cannot be read.
    """
    bundle = _from_file(text)
    if bundle is not None:
        return bundle
    named = await find(session, text)
    return await content(session, named.manifest)


def _from_file(path: str) -> Bundle | None:
    if not os.path.isfile(path):
        return None
    return parsing.parse_file(path).bundle


async def content(session: Session, manifest: Manifest) -> Bundle:
    """Reads every part of a bundle.

    Raises:
        BanyantillerError: A part cannot be read or was altered.
    """
    found = await history.read_bundle(session.store, manifest)
    return failures.expect(found, Bundle)


async def _version(session: Session, version: int) -> Named:
    found = await history.read_version(
        session.store, session.deployment, version
    )
    manifest = failures.expect(found, Manifest)
    digest = canonical.manifest_digest(manifest)
    current = await head(session)
    if current is not None and current.digest == digest:
        return _of_head(current)
    return Named(manifest, digest)


def _of_head(found: HeadFound) -> Named:
    accepted = found.accepted
    return Named(
        accepted.manifest,
        found.digest,
        accepted.signatures,
        accepted.accepted_at,
        accepted.roller,
    )
