"""The header and the inputs of a trace of the replica core."""

from typing import NamedTuple

from banyantiller.config import defaults
from banyantiller.replay import dispatcher_inputs

FLEET = "fleet"
KINDS = ("accepted", "unsigned", "self_signed", "stranger", "altered", "fork")


class Header(NamedTuple):
    """Fields of the header.

    Attributes:
        trace: Version of the format.
        core: "replica".
        daemons: Names of the daemons.
        about: What the trace shows.
        deployment: Fleet of the daemons.
        trusted: Keys of operators; none for the player's own, which sign
            what `offer` makes up.
    """

    trace: int
    core: str
    daemons: tuple[str, ...]
    about: str = ""
    deployment: str = FLEET
    trusted: tuple[defaults.TrustedKey, ...] = ()


class Offer(NamedTuple):
    """A daemon gets a bundle from the store or a peer.

    Attributes:
        daemon: The daemon.
        version: Version that the bundle claims.
        kind: "accepted", or what is wrong with it: "unsigned",
            "self_signed", "stranger" (signed by an unknown key), "altered"
            after signing, or "fork" (signed, but another content).
        parts: Whether its parts arrive with it.
    """

    daemon: str
    version: int
    kind: str = "accepted"
    parts: bool = True


class Parts(NamedTuple):
    """The parts of a bundle arrive at a daemon."""

    daemon: str
    version: int


class Restart(NamedTuple):
    """A daemon is replaced by one that knows nothing."""

    daemon: str


class Given(NamedTuple):
    """A recorded offer.

    Attributes:
        daemon: The daemon.
        accepted: Canonical JSON of the manifest with its signatures.
        source: Where it came from.
        wall: Wall-clock seconds at which it was judged.
    """

    daemon: str
    accepted: str
    source: str
    wall: float


class Part(NamedTuple):
    """A recorded part.

    Attributes:
        daemon: The daemon.
        data: Its text; bytes that are not UTF-8 as lone surrogates.
        spare: Whether it is kept although no known bundle needs it.
    """

    daemon: str
    data: str
    spare: bool = False


class Advance(NamedTuple):
    """A recorded try to put a bundle in force.

    Attributes:
        daemon: The daemon.
        floor: Lowest version that might be put in force.
        version: Version that was in force from then on, 0 for none.
        digest: Hex SHA-256 of its manifest.
    """

    daemon: str
    floor: int = 0
    version: int = 0
    digest: str = ""


INPUTS: dict[str, type] = {
    "offer": Offer,
    "parts": Parts,
    "restart": Restart,
    "given": Given,
    "part": Part,
    "advance": Advance,
    "truncated": dispatcher_inputs.Truncated,
}
NAMES = {kind: name for name, kind in INPUTS.items()}


def to_text(data: bytes) -> str:
    """Returns bytes as text that a trace can hold."""
    return data.decode("utf-8", "surrogateescape")


def to_bytes(text: str) -> bytes:
    """Returns the bytes of `to_text`.

    Raises:
        UnicodeEncodeError: The text is not one that `to_text` returns.
    """
    return text.encode("utf-8", "surrogateescape")
