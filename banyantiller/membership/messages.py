"""Messages between daemons and their CBOR form.

A message is encoded as a CBOR array: the number of its type, then its fields
in order. A decoder ignores unknown fields at the end of a message, fills
missing ones with their defaults, and ignores unknown types, so daemons of
different releases interoperate. Fields are never removed or reordered, and
the number of a type is never reused.
"""

from typing import Any, NamedTuple

import cbor2
import msgspec

PROTOCOL_VERSION = 1
OLDEST_PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 1_200_000


class Hello(NamedTuple):
    """Identifies the sender to its peer; both sides of a link send it.

    Attributes:
        protocol: Newest protocol version that the sender supports.
        oldest: Oldest protocol version that the sender supports.
        deployment: Deployment of the sender.
        daemon: Name of the sender.
        zone: Availability zone of the sender.
        incarnation: Start time of the sender, wall-clock milliseconds.
        address: IP address on which it listens for peers.
        port: Port on which it listens for peers.
        proof: HMAC over both challenges of the link, empty without a
            secret.
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
        sequence: Counter of heartbeats on the link.
        bundle: Version of the bundle in force, 0 for none.
        digest: First 8 bytes of its manifest's SHA-256.
    """

    sequence: int
    bundle: int
    digest: bytes


class MemberEntry(NamedTuple):
    """State of one member, as disseminated by gossip.

    Attributes:
        daemon: Name.
        incarnation: Start time, wall-clock milliseconds.
        state: 0 alive, 1 suspect, 2 leaving, 3 dead.
        heard: Refutation counter; only the daemon itself raises it, to
            refute a suspicion.
        address: IP address for peers.
        port: Port for peers.
        zone: Availability zone.
        bundle: Version of the bundle in force at the daemon.
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
    """Changed member entries, or the whole table of the sender.

    A change is forwarded a bounded number of times.
    """

    entries: tuple[MemberEntry, ...]


class BundleOffer(NamedTuple):
    """An accepted bundle without its parts.

    Attributes:
        accepted: Canonical JSON of `bundle.manifest.AcceptedBundle`.
    """

    accepted: bytes


class BundleRequest(NamedTuple):
    """Requests the accepted bundle if it is newer than `above`."""

    above: int


class PartRequest(NamedTuple):
    """Requests parts by digest (32 bytes each)."""

    digests: tuple[bytes, ...]


class PartData(NamedTuple):
    """Canonical JSON of one part; the receiver verifies its digest."""

    data: bytes


class ServersLeaving(NamedTuple):
    """Servers of one service that must get no new requests.

    Attributes:
        service: Service name.
        servers: Server names.
        age_ms: Time since a daemon learned this directly.
        by_vm_list: Whether the VM list reported it, and not the servers.
    """

    service: str
    servers: tuple[str, ...]
    age_ms: int = 0
    by_vm_list: bool = False


class ServersReturned(NamedTuple):
    """Servers of one service that report that they no longer drain.

    Attributes:
        service: Service name.
        servers: Server names.
        age_ms: Time since their report.
    """

    service: str
    servers: tuple[str, ...]
    age_ms: int = 0


class ServerCrash(NamedTuple):
    """A server crashed while it ran a request; ages in milliseconds."""

    server: str
    sent_age_ms: int
    ended_age_ms: int


class SuspectRequest(NamedTuple):
    """The record of a request that may crash servers.

    Attributes:
        fingerprint: Digest that identifies the request.
        ends: Crashes of servers while they ran it.
        answered_age_ms: Time since a server answered it; -1 for never.
    """

    fingerprint: str
    ends: tuple[ServerCrash, ...]
    answered_age_ms: int


class SuspectRequests(NamedTuple):
    """Requests that may crash servers; their records only grow."""

    requests: tuple[SuspectRequest, ...]


class Challenge(NamedTuple):
    """Sent before `Hello`, so that a proof cannot be replayed.

    Attributes:
        nonce: Random bytes that the proof of the peer must cover.
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
    # 8 carried the load of single servers, which did not improve the choice
    # of servers. The number is not reused.
    9: ServersLeaving,
    10: Challenge,
    11: ServersReturned,
    12: SuspectRequests,
}
TYPE_NUMBERS = {
    message_type: number for number, message_type in MESSAGE_TYPES.items()
}


class MessageError(ValueError):
    """Bytes from a peer are not a valid message."""


def encode(message: Any) -> bytes:
    """Encodes a message of a declared type."""
    return cbor2.dumps([TYPE_NUMBERS[type(message)], *message])


def decode(data: bytes) -> Any | None:
    """Decodes a message.

    Args:
        data: One CBOR array.

    Returns:
        The typed message, or None for an unknown type.

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
    message_type = MESSAGE_TYPES.get(number)
    if message_type is None:
        return None
    fields = items[1 : 1 + len(message_type._fields)]
    try:
        return msgspec.convert(fields, message_type)
    except msgspec.ValidationError as error:
        raise MessageError(
            f"A {message_type.__name__} is not valid: {error}."
        ) from error
