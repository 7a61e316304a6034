"""What the tracker of leaving servers answers to its inputs."""

import dataclasses
import enum
from typing import NamedTuple


class Reason(enum.StrEnum):
    """Why a server gets nothing new.

    Attributes:
        DRAIN_ANSWER: It said so to this daemon.
        PEER: Another daemon learned that it leaves.
        VM_LIST: The VM list shows its VM as leaving or gone.
        REFUSED: It refuses connections of this daemon.
    """

    DRAIN_ANSWER = "drain_answer"
    PEER = "peer"
    VM_LIST = "vm_list"
    REFUSED = "refused"


class ServerKey(NamedTuple):
    """Names one backend server of one service."""

    service: str
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class StopSending:
    """Give a server nothing new from now on."""

    server: ServerKey
    reason: Reason


@dataclasses.dataclass(frozen=True, slots=True)
class ResumeSending:
    """Give a server requests again."""

    server: ServerKey


@dataclasses.dataclass(frozen=True, slots=True)
class PublishLeaving:
    """Tell the other daemons that a server leaves.

    Attributes:
        server: The server.
        by_vm_list: Whether the VM list says so; otherwise the server does.
        age_s: Time since this was learned first-hand.
    """

    server: ServerKey
    by_vm_list: bool
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PublishReturn:
    """Tell the other daemons that a server drains no more.

    Attributes:
        server: The server.
        age_s: Time since it was asked.
    """

    server: ServerKey
    age_s: float


Action = StopSending | ResumeSending | PublishLeaving | PublishReturn
