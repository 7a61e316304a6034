"""The interface to the platform's list of live and leaving VMs."""

import dataclasses
import enum
from typing import NamedTuple, Protocol


class VmState(enum.StrEnum):
    """State of a VM as reported by the platform, possibly late."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(NamedTuple):
    """One VM.

    Attributes:
        name: Name of the VM.
        address: IP address.
        zone: Availability zone.
        state: Live or leaving.
        role: "balancer" or "backend".
    """

    name: str
    address: str
    zone: str
    state: VmState
    role: str = "backend"


@dataclasses.dataclass(frozen=True, slots=True)
class VmListing:
    """The list, which may be stale, and its time on the platform's clock."""

    vms: tuple[Vm, ...]
    as_of: float


@dataclasses.dataclass(frozen=True, slots=True)
class VmListUnavailable:
    """The list could not be read."""

    reason: str


class VmList(Protocol):
    """Interface of an adapter of a VM list."""

    async def read(self) -> VmListing | VmListUnavailable:
        """Reads the current list."""

    async def close(self) -> None:
        """Closes all connections."""
