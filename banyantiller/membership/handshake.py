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
PROOF_LABEL = "banyantiller peer link"
DIALER = "dialer"
LISTENER = "listener"


class LinkRefusedError(Exception):
    """The other end is not let in.

    Attributes:
        code: Close code of the link.
    """

    def __init__(self, code: int, reason: str) -> None:
        super().__init__(reason)
        self.code = code
        self.reason = reason


CLOSE_UNAUTHENTICATED = 1008
CLOSE_MALFORMED = 4001
CLOSE_NO_COMMON_VERSION = 4002
CLOSE_NAME_TAKEN = 4003
CLOSE_OTHER_DEPLOYMENT = 4004
CLOSE_SELF_LINK = 4005


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


def compute_proof(
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
    unproven = hello._replace(proof=b"")
    signed = cbor2.dumps([PROOF_LABEL, role, *nonces, *unproven])
    return hmac.digest(secret.encode(), signed, hashlib.sha256)


async def perform_handshake(
    channel: Channel,
    role: str,
    local: messages.Hello,
    secret: str,
    admit_peer: Callable[[messages.Hello], None] = lambda _: None,
) -> messages.Hello:
    """Runs the handshake on a fresh link.

    Args:
        channel: The link.
        role: `DIALER` or `LISTENER`.
        local: What this daemon says of itself; its proof is filled in.
        secret: Shared secret, or empty under TLS alone.
        admit_peer: Called with the other side's verified `Hello`, on the
            listening side before it is answered; raises `RefusedError` to
            turn the other side down.

    Returns:
        The other side's verified `Hello`.

    Raises:
        RefusedError: The other side is not let in.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    await channel.send(messages.encode(messages.Challenge(nonce)))
    peer_nonce = (await _receive_message(channel, messages.Challenge)).nonce
    if len(peer_nonce) < NONCE_BYTES or peer_nonce == nonce:
        raise LinkRefusedError(CLOSE_MALFORMED, "the challenge is not valid")
    if role == DIALER:
        nonces = Nonces(dialer=nonce, listener=peer_nonce)
        await _send_hello(channel, role, local, secret, nonces)
        hello = await _receive_message(channel, messages.Hello)
        verify_hello(hello, LISTENER, local, secret, nonces)
        admit_peer(hello)
        return hello
    nonces = Nonces(dialer=peer_nonce, listener=nonce)
    hello = await _receive_message(channel, messages.Hello)
    verify_hello(hello, DIALER, local, secret, nonces)
    admit_peer(hello)
    await _send_hello(channel, role, local, secret, nonces)
    return hello


def verify_hello(
    hello: messages.Hello,
    role: str,
    local: messages.Hello,
    secret: str,
    nonces: Nonces,
) -> None:
    """Checks the other side's `Hello`.

    Raises:
        RefusedError: It is a stranger, from another fleet, or speaks no
            common protocol version.
    """
    expected = compute_proof(secret, role, nonces, hello)
    if not hmac.compare_digest(expected, hello.proof if secret else b""):
        raise LinkRefusedError(CLOSE_UNAUTHENTICATED, "not authenticated")
    if hello.deployment != local.deployment:
        raise LinkRefusedError(CLOSE_OTHER_DEPLOYMENT, "another deployment")
    if min(hello.protocol, local.protocol) < max(hello.oldest, local.oldest):
        raise LinkRefusedError(
            CLOSE_NO_COMMON_VERSION, "no common protocol version"
        )
    same_incarnation = (hello.incarnation, hello.address, hello.port) == (
        local.incarnation,
        local.address,
        local.port,
    )
    if hello.daemon == local.daemon and same_incarnation:
        raise LinkRefusedError(CLOSE_SELF_LINK, "a link to itself")


async def _send_hello(
    channel: Channel,
    role: str,
    local: messages.Hello,
    secret: str,
    nonces: Nonces,
) -> None:
    hello = local._replace(proof=compute_proof(secret, role, nonces, local))
    await channel.send(messages.encode(hello))


async def _receive_message(
    channel: Channel, message_type: type
) -> messages.Hello:
    data = await channel.recv(decode=False)
    try:
        message = messages.decode(data)
    except messages.MessageError as error:
        raise LinkRefusedError(
            CLOSE_MALFORMED, "not a valid message"
        ) from error
    if not isinstance(message, message_type):
        raise LinkRefusedError(
            CLOSE_MALFORMED, f"expected {message_type.__name__}"
        )
    return message
