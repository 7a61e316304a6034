"""Canonical JSON of parts, manifests and accepted bundles.

Canonical JSON is UTF-8 with sorted keys and no spaces, and leaves out fields
that have their default value. Decoding is strict: it rejects bytes that differ
from the encoding of the decoded value, so each value has exactly one digest.
"""

import hashlib
import json
from typing import Any, TypeVar

import msgspec

from banyantiller.bundle import plain
from banyantiller.bundle.manifest import AcceptedBundle, Manifest, Part
from banyantiller.bundle.options import Bundle, Service

MAX_BUNDLE_BYTES = 1_000_000
MAX_MANIFEST_BYTES = 400_000
MAX_ACCEPTED_BYTES = 500_000

T = TypeVar("T")


class CanonicalError(ValueError):
    """The bytes are not the canonical JSON of the expected type."""


def encode(value: Any) -> bytes:
    """Encodes a typed value as canonical JSON."""
    text = json.dumps(
        plain.to_plain(value),
        sort_keys=True,
        separators=(",", ":"),
        ensure_ascii=False,
        allow_nan=False,
    )
    return text.encode("utf-8")


def decode(data: bytes, value_type: type[T], limit: int) -> T:
    """Decodes canonical JSON.

    Args:
        data: Canonical JSON.
        value_type: `NamedTuple` type.
        limit: Maximum length in bytes.

    Raises:
        CanonicalError: The bytes are too long, not valid or not canonical.
    """
    if len(data) > limit:
        raise CanonicalError(f"{len(data)} bytes are more than {limit}")
    try:
        value = plain.from_plain(msgspec.json.decode(data), value_type)
        reencoded = encode(value)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise CanonicalError(
            f"not a valid {value_type.__name__}: {error}"
        ) from error
    if reencoded != data:
        raise CanonicalError(
            f"not the canonical form of a {value_type.__name__}"
        )
    return value


def digest(data: bytes) -> str:
    """Returns the hex SHA-256 of bytes."""
    return hashlib.sha256(data).hexdigest()


def encode_part(service: Service) -> bytes:
    """Encodes one service as a part."""
    return encode(service)


def decode_part(data: bytes, part: Part) -> Service:
    """Decodes one part and checks it against its reference in the manifest.

    Raises:
        CanonicalError: The bytes do not match the reference.
    """
    if len(data) != part.size or digest(data) != part.digest:
        raise CanonicalError(f"the part of '{part.service}' was altered")
    service = decode(data, Service, MAX_BUNDLE_BYTES)
    if service.name != part.service:
        raise CanonicalError(f"the part of '{part.service}' has another name")
    return service


def split(bundle: Bundle) -> dict[str, tuple[Part, bytes]]:
    """Splits a bundle into its parts by service name, sorted."""
    parts = {}
    for service in sorted(bundle.services, key=lambda item: item.name):
        data = encode_part(service)
        part = Part(service.name, digest(data), len(data))
        parts[service.name] = (part, data)
    return parts


def total_size(parts: tuple[Part, ...]) -> int:
    """Returns the size of all parts in bytes."""
    return sum(part.size for part in parts)


def encode_manifest(manifest: Manifest) -> bytes:
    """Encodes a manifest; these bytes are signed."""
    return encode(manifest)


def decode_manifest(data: bytes) -> Manifest:
    """Decodes a manifest.

    Raises:
        CanonicalError: The bytes are not a canonical manifest.
    """
    return decode(data, Manifest, MAX_MANIFEST_BYTES)


def manifest_digest(manifest: Manifest) -> str:
    """Returns the hex SHA-256 that identifies a manifest."""
    return digest(encode_manifest(manifest))


def encode_accepted(accepted: AcceptedBundle) -> bytes:
    """Encodes an accepted bundle as daemons and the object API hold it."""
    return encode(accepted)


def decode_accepted(data: bytes) -> AcceptedBundle:
    """Decodes an accepted bundle; its signatures are not verified here.

    Raises:
        CanonicalError: The bytes are not a canonical accepted bundle.
    """
    return decode(data, AcceptedBundle, MAX_ACCEPTED_BYTES)
