"""The handshake of a link: who is at the other end, and may they talk.

Each side sends a random `Challenge`, then a `Hello`. With a shared secret
the `Hello` carries an HMAC over both challenges, the sender's role on the
link and the `Hello` itself, so a proof fits one link, one deployment, one
daemon and one direction. The side that dialled proves itself first, so a
stranger learns nothing but a challenge. Under TLS both certificates were
verified before, and the secret may be left out.
"""

import hashlib
import hmac
import secrets
from collections.abc import Callable
from typing import NamedTuple, Protocol

import cbor2

from banyantiller.membership import messages

NONCE_BYTES = 32
LABEL = "banyantiller peer link"
DIALER = "dialer"
LISTENER = "listener"


class RefusedError(Exception):
    """The other end is not let in.

    Attributes:
        code: Close code of the link.
    """

    def __init__(self, code: int, reason: str) -> None:
        super().__init__(reason)
        self.code = code
        self.reason = reason


STRANGER = 1008
MALFORMED = 4001
VERSION = 4002
NAME_TAKEN = 4003
OTHER_FLEET = 4004
ITSELF = 4005


class Channel(Protocol):
    """Sends and receives whole messages as bytes."""

    async def send(self, data: bytes) -> None:
        """Sends one message."""

    async def recv(self, decode: bool | None = None) -> bytes | str:
        """Waits for one message."""


class Nonces(NamedTuple):
    """The challenges of one link."""

    dialer: bytes
    listener: bytes


def proof(
    secret: str, role: str, nonces: Nonces, hello: messages.Hello
) -> bytes:
    """Computes the proof that a side puts into its `Hello`.

    Args:
        secret: Shared secret of the fleet, or empty for no proof.
        role: `DIALER` or `LISTENER`, the sender's.
        nonces: Both challenges.
        hello: The sender's `Hello`; its `proof` is left out.
    """
    if not secret:
        return b""
    bare = hello._replace(proof=b"")
    covered = cbor2.dumps([LABEL, role, *nonces, *bare])
    return hmac.digest(secret.encode(), covered, hashlib.sha256)


async def greet(
    channel: Channel,
    role: str,
    own: messages.Hello,
    secret: str,
    admit: Callable[[messages.Hello], None] = lambda _: None,
) -> messages.Hello:
    """Runs the handshake on a fresh link.

    Args:
        channel: The link.
        role: `DIALER` or `LISTENER`.
        own: What this daemon says of itself; its proof is filled in.
        secret: Shared secret, or empty under TLS alone.
        admit: Called with the other side's verified `Hello`, on the
            listening side before it is answered; raises `RefusedError` to
            turn the other side down.

    Returns:
        The other side's verified `Hello`.

    Raises:
        RefusedError: The other side is not let in.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    await channel.send(messages.encode(messages.Challenge(nonce)))
    theirs = (await _receive(channel, messages.Challenge)).nonce
    if len(theirs) < NONCE_BYTES or theirs == nonce:
        raise RefusedError(MALFORMED, "the challenge is not valid")
    if role == DIALER:
        nonces = Nonces(dialer=nonce, listener=theirs)
        await _introduce(channel, role, own, secret, nonces)
        hello = await _receive(channel, messages.Hello)
        check(hello, LISTENER, own, secret, nonces)
        admit(hello)
        return hello
    nonces = Nonces(dialer=theirs, listener=nonce)
    hello = await _receive(channel, messages.Hello)
    check(hello, DIALER, own, secret, nonces)
    admit(hello)
    await _introduce(channel, role, own, secret, nonces)
    return hello


def check(
    hello: messages.Hello,
    role: str,
    own: messages.Hello,
    secret: str,
    nonces: Nonces,
) -> None:
    """Checks the other side's `Hello`.

    Raises:
        RefusedError: It is a stranger, from another fleet, or speaks no
            common protocol version.
    """
    expected = proof(secret, role, nonces, hello)
    if not hmac.compare_digest(expected, hello.proof if secret else b""):
        raise RefusedError(STRANGER, "not authenticated")
    if hello.deployment != own.deployment:
        raise RefusedError(OTHER_FLEET, "another deployment")
    if min(hello.protocol, own.protocol) < max(hello.oldest, own.oldest):
        raise RefusedError(VERSION, "no common protocol version")
    same_run = (hello.incarnation, hello.address, hello.port) == (
        own.incarnation,
        own.address,
        own.port,
    )
    if hello.daemon == own.daemon and same_run:
        raise RefusedError(ITSELF, "a link to itself")


async def _introduce(
    channel: Channel,
    role: str,
    own: messages.Hello,
    secret: str,
    nonces: Nonces,
) -> None:
    hello = own._replace(proof=proof(secret, role, nonces, own))
    await channel.send(messages.encode(hello))


async def _receive(channel: Channel, kind: type) -> messages.Hello:
    data = await channel.recv(decode=False)
    try:
        message = messages.decode(data)
    except messages.MessageError as error:
        raise RefusedError(MALFORMED, "not a valid message") from error
    if not isinstance(message, kind):
        raise RefusedError(MALFORMED, f"expected {kind.__name__}")
    return message
