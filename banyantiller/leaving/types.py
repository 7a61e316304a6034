"""Actions that the tracker of leaving servers returns."""

import dataclasses
import enum
from typing import NamedTuple


class Reason(enum.StrEnum):
    """Why a server gets no new requests.

    Attributes:
        DRAIN_ANSWER: It reported to this daemon that it drains.
        PEER: A peer learned that it leaves.
        VM_LIST: The VM list shows its VM as leaving or removed.
        REFUSED: It refuses connections of this daemon.
    """

    DRAIN_ANSWER = "drain_answer"
    PEER = "peer"
    VM_LIST = "vm_list"
    REFUSED = "refused"


class ServerKey(NamedTuple):
    """Identifies one backend server of one service."""

    service: str
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class StopSending:
    """Sends a server no new requests from now on."""

    server: ServerKey
    reason: Reason


@dataclasses.dataclass(frozen=True, slots=True)
class ResumeSending:
    """Sends a server requests again."""

    server: ServerKey


@dataclasses.dataclass(frozen=True, slots=True)
class PublishLeaving:
    """Publishes to the peers that a server leaves.

    Attributes:
        server: The server.
        by_vm_list: Whether the VM list says so; otherwise the server does.
        age_s: Time since this was learned directly.
    """

    server: ServerKey
    by_vm_list: bool
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PublishReturn:
    """Publishes to the peers that a server no longer drains.

    Attributes:
        server: The server.
        age_s: Time since it was probed.
    """

    server: ServerKey
    age_s: float


Action = StopSending | ResumeSending | PublishLeaving | PublishReturn
