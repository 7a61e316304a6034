"""A VM list in memory, for tests and for embedding."""

import asyncio

from banyantiller.vmlist import interface


class MemoryVmList:
    """A `VmList` with content that the test or application sets.

    Attributes:
        vms: VMs by name.
        as_of: Time of the list on the platform's clock.
        down: Whether reads fail.
        slow_s: Duration of a read, in seconds of the loop's clock.
        reads: Number of reads.
    """

    def __init__(
        self, vms: tuple[interface.Vm, ...] = (), as_of: float = 0.0
    ) -> None:
        self.vms = {vm.name: vm for vm in vms}
        self.as_of = as_of
        self.down = False
        self.slow_s = 0.0
        self.reads = 0

    def put(self, vm: interface.Vm) -> None:
        """Adds or replaces a VM; the list becomes one second newer."""
        self.vms[vm.name] = vm
        self.as_of += 1

    def remove(self, name: str) -> None:
        """Removes a VM; the list becomes one second newer."""
        del self.vms[name]
        self.as_of += 1

    async def read(self) -> interface.VmListing | interface.VmListUnavailable:
        """Reads the current list."""
        self.reads += 1
        await asyncio.sleep(self.slow_s)
        if self.down:
            return interface.VmListUnavailable("the VM list is down")
        return interface.VmListing(tuple(self.vms.values()), self.as_of)

    async def close(self) -> None:
        """Does nothing."""
