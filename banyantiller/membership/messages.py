"""Messages between daemons and their CBOR form.

A message travels as a CBOR array: the type's number, then its fields in
order. A decoder ignores fields that it does not know at the end of a
message, fills missing ones from their defaults, and ignores unknown types,
so old and new daemons work together. A field is never removed or reordered,
and a type's number is never used again.
"""

from typing import Any, NamedTuple

import cbor2
import msgspec

PROTOCOL_VERSION = 1
OLDEST_PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 1_200_000


class Hello(NamedTuple):
    """Tells who is at the other end of a link, in both directions.

    Attributes:
        protocol: Newest protocol version that the sender speaks.
        oldest: Oldest protocol version that the sender speaks.
        deployment: Fleet of the sender.
        daemon: Name of the sender.
        zone: Availability zone of the sender.
        incarnation: Start of the sender, wall-clock milliseconds.
        address: IP number on which it listens for peers.
        port: Port on which it listens for peers.
        proof: HMAC over the link's challenge, empty under TLS.
    """

    protocol: int
    oldest: int
    deployment: str
    daemon: str
    zone: str
    incarnation: int
    address: str
    port: int
    proof: bytes = b""


class Heartbeat(NamedTuple):
    """Sent periodically on each link.

    Attributes:
        sequence: Counts up for each link.
        bundle: Version of the bundle in force, 0 for none.
        digest: First 8 bytes of its manifest's SHA-256.
    """

    sequence: int
    bundle: int
    digest: bytes


class MemberEntry(NamedTuple):
    """What is known of one daemon.

    Attributes:
        daemon: Name.
        incarnation: Start, wall-clock milliseconds.
        state: 0 alive, 1 suspect, 2 leaving, 3 dead.
        heard: Counter that the daemon itself raises to refute suspicion.
        address: IP number for peers.
        port: Port for peers.
        zone: Availability zone.
        bundle: Version of the bundle in force there.
    """

    daemon: str
    incarnation: int
    state: int
    heard: int
    address: str
    port: int
    zone: str
    bundle: int = 0


class Members(NamedTuple):
    """Changed member entries, passed on a bounded number of times."""

    entries: tuple[MemberEntry, ...]


class BundleOffer(NamedTuple):
    """An accepted bundle, without its parts.

    Attributes:
        accepted: Canonical JSON of `bundle.manifest.AcceptedBundle`.
    """

    accepted: bytes


class BundleRequest(NamedTuple):
    """Asks for the accepted bundle if it is newer than `above`."""

    above: int


class PartRequest(NamedTuple):
    """Asks for parts by digest (32 bytes each)."""

    digests: tuple[bytes, ...]


class PartData(NamedTuple):
    """One part's canonical JSON; its digest is checked by the receiver."""

    data: bytes


class ServersLeaving(NamedTuple):
    """Servers of one service that must get nothing new.

    Attributes:
        service: Service name.
        servers: Server names.
        age_ms: Time since this was learned first-hand.
        by_vm_list: Whether the VM list says so, and not the servers.
    """

    service: str
    servers: tuple[str, ...]
    age_ms: int = 0
    by_vm_list: bool = False


class ServersReturned(NamedTuple):
    """Servers of one service that said that they do not drain any more.

    Attributes:
        service: Service name.
        servers: Server names.
        age_ms: Time since they said so.
    """

    service: str
    servers: tuple[str, ...]
    age_ms: int = 0


class ServerEnd(NamedTuple):
    """A server ended with a request on it; ages in milliseconds."""

    server: str
    sent_age_ms: int
    ended_age_ms: int


class SuspectRequest(NamedTuple):
    """What is known of a request with which servers ended.

    Attributes:
        fingerprint: Digest that tells the request.
        ends: The servers.
        answered_age_ms: Time since a server answered it; -1 for never.
    """

    fingerprint: str
    ends: tuple[ServerEnd, ...]
    answered_age_ms: int


class SuspectRequests(NamedTuple):
    """Requests with which servers ended; facts that only grow."""

    requests: tuple[SuspectRequest, ...]


class Challenge(NamedTuple):
    """Sent before Hello, so that the other side's proof is fresh.

    Attributes:
        nonce: Random bytes that the other side's proof has to cover.
    """

    nonce: bytes


MESSAGE_TYPES: dict[int, type] = {
    1: Hello,
    2: Heartbeat,
    3: Members,
    4: BundleOffer,
    5: BundleRequest,
    6: PartRequest,
    7: PartData,
    # 8 was the load of single servers; it did not pay and is not used again.
    9: ServersLeaving,
    10: Challenge,
    11: ServersReturned,
    12: SuspectRequests,
}
NUMBERS = {kind: number for number, kind in MESSAGE_TYPES.items()}


class MessageError(ValueError):
    """Bytes from a peer are not a valid message."""


def encode(message: Any) -> bytes:
    """Encodes a message of a declared type."""
    return cbor2.dumps([NUMBERS[type(message)], *message])


def decode(data: bytes) -> Any | None:
    """Decodes a message.

    Args:
        data: One CBOR array.

    Returns:
        The typed message, or None for a type that is not known here.

    Raises:
        MessageError: The bytes are not a valid message.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise MessageError(f"A message of {len(data)} bytes is too long.")
    try:
        items = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        raise MessageError(f"A message is not CBOR: {error}.") from error
    if not isinstance(items, list) or not items:
        raise MessageError("A message is not an array.")
    number = items[0]
    if not isinstance(number, int) or isinstance(number, bool):
        raise MessageError("A message has no type number.")
    kind = MESSAGE_TYPES.get(number)
    if kind is None:
        return None
    known = items[1 : 1 + len(kind._fields)]
    try:
        return msgspec.convert(known, kind)
    except msgspec.ValidationError as error:
        raise MessageError(
            f"A {kind.__name__} is not valid: {error}."
        ) from error
