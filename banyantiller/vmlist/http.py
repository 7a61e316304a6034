"""Adapter of a VM list that is served as JSON over HTTP.

`GET /vms` returns an object with `as_of`, in seconds of the platform's clock,
and `vms`, a list of objects with the fields of `Vm`.
"""

import ipaddress

import msgspec

from banyantiller.config import defaults
from banyantiller.http import client, messages, outcomes
from banyantiller.vmlist import interface

TARGET = "/vms"
TIMEOUT_S = 2.0
LIMITS = messages.Limits(body_bytes=4 << 20, connections=2)


class VmEntry(msgspec.Struct):
    """One VM on the wire."""

    name: str
    address: str
    state: interface.VmState
    zone: str = ""
    role: str = "backend"


class VmDocument(msgspec.Struct):
    """The response body."""

    as_of: float
    vms: list[VmEntry]


class HttpVmList:
    """A `VmList` over HTTP.

    Attributes:
        timeout_s: Timeout of a read.
        calls: Number of reads.
    """

    def __init__(
        self, http_client: client.HttpClient, timeout_s: float
    ) -> None:
        self.http_client = http_client
        self.timeout_s = timeout_s
        self.calls = 0

    @classmethod
    def from_settings(cls, vm_list: defaults.VmListSettings) -> "HttpVmList":
        """Builds the adapter; it connects on the first read."""
        endpoint = vm_list.endpoint
        http_client = client.HttpClient(endpoint.address, endpoint.port, LIMITS)
        return cls(http_client, TIMEOUT_S)

    async def read(self) -> interface.VmListing | interface.VmListUnavailable:
        """Reads the current list."""
        self.calls += 1
        outcome = await self.http_client.request("GET", TARGET, self.timeout_s)
        if not isinstance(outcome, outcomes.Answered):
            return interface.VmListUnavailable(outcome.reason)
        if outcome.response.status != 200:
            return interface.VmListUnavailable(
                f"status {outcome.response.status}"
            )
        try:
            return _decode(outcome.body)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            return interface.VmListUnavailable(f"not a VM list: {error}")

    async def close(self) -> None:
        """Closes all connections."""
        await self.http_client.close()


def _decode(body: bytes) -> interface.VmListing:
    """Decodes the response body.

    Raises:
        ValueError: An address is not valid, or a VM is listed twice.
        MsgspecError: The body has another structure.
    """
    found = msgspec.json.decode(body, type=VmDocument)
    names = {entry.name for entry in found.vms}
    if len(names) != len(found.vms):
        raise ValueError("a VM is listed twice")
    for entry in found.vms:
        ipaddress.ip_address(entry.address)
    vms = tuple(
        interface.Vm(
            entry.name, entry.address, entry.zone, entry.state, entry.role
        )
        for entry in found.vms
    )
    return interface.VmListing(vms, found.as_of)
