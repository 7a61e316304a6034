"""Tests of the reasons for which a server gets nothing new."""

import dataclasses
import itertools

from banyantiller.bundle import options
from banyantiller.leaving import notices, tracker
from banyantiller.leaving.types import (
    Action,
    Back,
    Leave,
    Reason,
    Server,
    TellLeaving,
    TellReturn,
)
from banyantiller.tests import base
from banyantiller.vmlist import interface
from banyantiller.vmlist import tracker as vm_tracker

S1 = Server("registry", "s1")
S2 = Server("registry", "s2")


def make_service(
    names: tuple[str, ...] = ("s1", "s2"), port: int = 80
) -> options.Service:
    servers = tuple(
        options.BackendServer(name, "127.0.0.1", port, vm=f"vm-{name}")
        for name in names
    )
    return options.Service("registry", servers)


def vm_change(change: vm_tracker.Change, name: str) -> vm_tracker.VmChange:
    vm = interface.Vm(name, "127.0.0.1", "z1", interface.VmState.LIVE)
    return vm_tracker.VmChange(change, vm)


def moves(actions: list[Action]) -> list[Action]:
    """Returns the actions that are not messages."""
    return [a for a in actions if isinstance(a, Leave | Back)]


def rounded(actions: list[Action]) -> list[Action]:
    """Returns the actions with ages that can be compared."""
    return [
        dataclasses.replace(a, age_s=round(a.age_s, 6))
        if isinstance(a, TellLeaving | TellReturn)
        else a
        for a in actions
    ]


class TrackerTest(base.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.tracker = tracker.LeavingTracker()
        self.assertEqual([], self.tracker.configure([make_service()], 0.0))

    def test_drain_answer_holds_until_asked_after_it(self) -> None:
        actions = self.tracker.drain_told(S1, 10.0)
        expected = [Leave(S1, Reason.DRAIN_ANSWER), TellLeaving(S1, False, 0.0)]
        self.assertEqual(expected, actions)
        self.assertEqual([], self.tracker.drain_told(S1, 10.5))
        self.assertEqual([], self.tracker.open_told(S1, 9.9, 10.6))
        for step in range(1000):
            self.tracker.tick(11.0 + step)
        self.assertEqual({"s1"}, self.tracker.leaving("registry"))
        actions = self.tracker.open_told(S1, 2000.0, 2000.1)
        self.assertEqual([Back(S1), TellReturn(S1, 0.1)], rounded(actions))

    def test_peers_are_told_several_times_in_time_then_reminded(self) -> None:
        self.tracker.drain_told(S1, 10.0)
        times = [10.0]
        while times[-1] < 30.0:
            due = self.tracker.next_tick()
            tells = self.tracker.tick(due)
            self.assertEqual([TellLeaving(S1, False, due - 10.0)], tells)
            times.append(due)
        self.assertEqual(4, sum(time < 13.0 for time in times))
        pauses = {b - a for a, b in itertools.pairwise(times[3:])}
        self.assertEqual({5.0}, pauses)

    def test_peer_word_is_passed_on_and_ends_without_reminders(self) -> None:
        actions = self.tracker.peer_told_leaving(S1, False, 0.5, 10.0)
        expected = [Leave(S1, Reason.PEER), TellLeaving(S1, False, 0.5)]
        self.assertEqual(expected, actions)
        self.assertEqual(
            [], self.tracker.peer_told_leaving(S1, False, 0.6, 10.1)
        )
        reminded = self.tracker.peer_told_leaving(S1, False, 5.5, 15.0)
        self.assertEqual([TellLeaving(S1, False, 5.5)], reminded)
        end = 15.0 + notices.PEER_HOLD_S
        self.assertEqual([], moves(self.tracker.tick(end - 0.1)))
        self.assertEqual([Back(S1)], self.tracker.tick(end))

    def test_return_told_by_a_peer_must_be_later_than_the_drain(self) -> None:
        self.tracker.drain_told(S1, 10.0)
        early = self.tracker.peer_told_return(S1, 1.5, 11.0)
        self.assertEqual([], moves(early))
        late = self.tracker.peer_told_return(S1, 0.1, 12.0)
        self.assertEqual([Back(S1)], moves(late))
        # A word about the earlier drain that comes late changes nothing.
        old = self.tracker.peer_told_leaving(S1, False, 4.0, 13.0)
        self.assertEqual([], old)

    def test_vm_list_holds_beside_a_drain_answer(self) -> None:
        self.tracker.drain_told(S1, 10.0)
        leaving = vm_change(vm_tracker.Change.LEAVING, "vm-s1")
        actions = self.tracker.vms_read([leaving], 11.0)
        self.assertEqual([Leave(S1, Reason.VM_LIST)], moves(actions))
        opened = self.tracker.open_told(S1, 12.0, 12.0)
        self.assertEqual([], moves(opened))
        self.assertEqual({"s1"}, self.tracker.leaving("registry"))
        back = vm_change(vm_tracker.Change.BACK, "vm-s1")
        returned = self.tracker.vms_read([back], 13.0)
        self.assertEqual([Back(S1)], moves(returned))

    def test_vm_that_comes_back_ends_a_drain_that_nobody_could_ask(
        self,
    ) -> None:
        self.tracker.drain_told(S1, 10.0)
        for change in (vm_tracker.Change.REMOVED, vm_tracker.Change.BACK):
            actions = self.tracker.vms_read([vm_change(change, "vm-s1")], 20.0)
        self.assertEqual([Back(S1)], moves(actions))
        self.assertIn(TellReturn(S1, 0.0), actions)

    def test_old_vm_list_is_not_told_on(self) -> None:
        leaving = vm_change(vm_tracker.Change.LEAVING, "vm-s1")
        told = self.tracker.vms_read([leaving], 10.0)
        self.assertEqual(
            [Leave(S1, Reason.VM_LIST), TellLeaving(S1, True, 0.0)], told
        )
        later = [self.tracker.tick(10.0 + step) for step in range(100)]
        self.assertEqual(4, sum(map(len, later)))
        self.assertEqual({"s1"}, self.tracker.leaving("registry"))

    def test_vm_that_leaves_before_the_bundle_names_it(self) -> None:
        gone = vm_change(vm_tracker.Change.REMOVED, "vm-s3")
        self.tracker.vms_read([gone], 1.0)
        actions = self.tracker.configure([make_service(("s1", "s3"))], 2.0)
        self.assertEqual(
            [Leave(Server("registry", "s3"), Reason.VM_LIST)], moves(actions)
        )

    def test_bundle_that_moves_a_server_forgets_what_it_said(self) -> None:
        self.tracker.drain_told(S1, 10.0)
        self.tracker.drain_told(S2, 10.0)
        self.tracker.configure([make_service()], 11.0)
        self.assertEqual({"s1", "s2"}, self.tracker.leaving("registry"))
        self.tracker.configure([make_service(("s1",), 81)], 12.0)
        self.assertEqual(set(), self.tracker.leaving("registry"))
        self.assertEqual([], self.tracker.drain_told(S2, 13.0))

    def test_refusing_server_is_left_alone_and_tried_again(self) -> None:
        def refuse(now: float, times: int) -> list[Action]:
            actions = [self.tracker.refused(S1, now) for _ in range(times)]
            return list(itertools.chain(*actions))

        self.assertEqual([], refuse(10.0, 2))
        self.assertEqual([Leave(S1, Reason.REFUSED)], refuse(10.0, 1))
        self.assertEqual(11.0, self.tracker.next_tick())
        self.assertEqual([Back(S1)], self.tracker.tick(11.0))
        self.assertEqual([Leave(S1, Reason.REFUSED)], refuse(11.0, 1))
        self.assertEqual(13.0, self.tracker.next_tick())
        self.assertEqual([Back(S1)], self.tracker.connected(S1, 12.0))
        self.assertEqual([], refuse(12.0, 2))
