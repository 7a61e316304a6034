"""Derives changes from successive VM lists.

The list lags, and successive reads may return copies of different age. A list
older than one that was read before is ignored, so that it cannot undo a newer
one. A VM counts as removed only after it is missing from several consecutive
newer lists.
"""

import enum
from typing import NamedTuple

from banyantiller.vmlist import interface

LISTS_UNTIL_REMOVED = 2


class Change(enum.StrEnum):
    """Kind of change of a VM."""

    NEW = "new"
    LEAVING = "leaving"
    REMOVED = "gone"
    BACK = "back"


class VmChange(NamedTuple):
    """One change of one VM.

    Attributes:
        change: Kind of the change.
        vm: The VM as last listed.
    """

    change: Change
    vm: interface.Vm


class VmTracker:
    """State of the VMs according to the newest lists.

    Attributes:
        as_of: Time of the newest list on the platform's clock, or None.
        vms: VMs by name, including those that are missing but not yet removed.
        missing: Number of consecutive newer lists that lack a VM, by name.
        removed: Names of removed VMs.
    """

    def __init__(self, lists_until_removed: int = LISTS_UNTIL_REMOVED) -> None:
        self.lists_until_removed = lists_until_removed
        self.as_of: float | None = None
        self.vms: dict[str, interface.Vm] = {}
        self.missing: dict[str, int] = {}
        self.removed: set[str] = set()

    def observe(self, listed: interface.VmListing) -> tuple[VmChange, ...]:
        """Records a list and returns its changes, sorted by VM name.

        The change of a removed or leaving VM that is listed as live again is
        `BACK`. An empty list is ignored as wrong, since the reader itself runs
        on a VM.
        """
        if self.as_of is not None and listed.as_of <= self.as_of:
            return ()
        self.as_of = listed.as_of
        if not listed.vms:
            return ()
        seen = {vm.name: vm for vm in listed.vms}
        changes = [self._record_listed(vm) for vm in seen.values()]
        changes += [
            self._record_missing(name)
            for name in list(self.vms)
            if name not in seen
        ]
        found = [change for change in changes if change is not None]
        return tuple(sorted(found, key=lambda change: change.vm.name))

    def leaving(self) -> frozenset[str]:
        """Returns the names of VMs that are leaving."""
        return frozenset(
            name
            for name, vm in self.vms.items()
            if vm.state is interface.VmState.LEAVING
        )

    def _record_listed(self, vm: interface.Vm) -> VmChange | None:
        before = self.vms.get(vm.name)
        self.vms[vm.name] = vm
        self.missing.pop(vm.name, None)
        was_removed = vm.name in self.removed
        self.removed.discard(vm.name)
        if vm.state is interface.VmState.LEAVING:
            if before is None or before.state is not vm.state:
                return VmChange(Change.LEAVING, vm)
            return None
        if was_removed:
            return VmChange(Change.BACK, vm)
        if before is None:
            return VmChange(Change.NEW, vm)
        if before.state is interface.VmState.LEAVING:
            return VmChange(Change.BACK, vm)
        return None

    def _record_missing(self, name: str) -> VmChange | None:
        count = self.missing.get(name, 0) + 1
        if count < self.lists_until_removed:
            self.missing[name] = count
            return None
        self.missing.pop(name, None)
        self.removed.add(name)
        return VmChange(Change.REMOVED, self.vms.pop(name))
