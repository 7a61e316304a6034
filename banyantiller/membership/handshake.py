"""Handshake of a link: identifies and authenticates both sides.

Each side sends a random `Challenge`, then a `Hello`. With a shared secret
the `Hello` carries an HMAC over both challenges, the sender's role on the
link and the `Hello` itself, so a proof is valid for one link, deployment,
daemon and direction only. The dialer proves its identity first, so an
unauthenticated client receives nothing but a challenge. With TLS both
certificates have been verified before, and the secret is optional.
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
    """The peer is refused during the handshake.

    Attributes:
        code: WebSocket close code that is sent to the peer.
        reason: Why it is refused; for `CLOSE_NAME_TAKEN` the incarnation
            that holds the name.
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
    """Sends and receives encoded messages."""

    async def send(self, data: bytes) -> None:
        """Sends one message."""

    async def recv(self, decode: bool | None = None) -> bytes | str:
        """Waits for one message."""


class Nonces(NamedTuple):
    """The nonces of both challenges of one link."""

    dialer: bytes
    listener: bytes


def compute_proof(
    secret: str, role: str, nonces: Nonces, hello: messages.Hello
) -> bytes:
    """Computes the proof for the `Hello` of one side.

    Args:
        secret: Shared secret of the fleet, or empty for no proof.
        role: Role of the sender, `DIALER` or `LISTENER`.
        nonces: Nonces of both challenges.
        hello: `Hello` of the sender; its `proof` is not covered.
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
    """Performs the handshake on a new link.

    Args:
        channel: The link.
        role: Role of this daemon, `DIALER` or `LISTENER`.
        local: `Hello` of this daemon; its proof is filled in.
        secret: Shared secret, or empty with TLS alone.
        admit_peer: Called with the verified `Hello` of the peer, on the
            listening side before the local `Hello` is sent; raises
            `LinkRefusedError` to refuse the peer.

    Returns:
        The verified `Hello` of the peer.

    Raises:
        LinkRefusedError: The peer is refused.
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
    """Verifies the `Hello` of the peer.

    Raises:
        LinkRefusedError: It is not authenticated, belongs to another
            deployment, has no protocol version in common, or is the hello
            of this daemon itself.
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
