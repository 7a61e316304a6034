"""Tests of the reasons for which a server gets no new requests."""

import dataclasses
import itertools

from banyantiller.bundle import options
from banyantiller.leaving import notices, tracker
from banyantiller.leaving.types import (
    Action,
    PublishLeaving,
    PublishReturn,
    Reason,
    ResumeSending,
    ServerKey,
    StopSending,
)
from banyantiller.tests import base
from banyantiller.vmlist import interface
from banyantiller.vmlist import tracker as vm_tracker

S1 = ServerKey("registry", "s1")
S2 = ServerKey("registry", "s2")


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


def sending_changes(actions: list[Action]) -> list[Action]:
    """Returns the actions that are not messages."""
    return [a for a in actions if isinstance(a, StopSending | ResumeSending)]


def with_rounded_ages(actions: list[Action]) -> list[Action]:
    """Returns the actions with ages rounded for comparison."""
    return [
        dataclasses.replace(a, age_s=round(a.age_s, 6))
        if isinstance(a, PublishLeaving | PublishReturn)
        else a
        for a in actions
    ]


class TrackerTest(base.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.tracker = tracker.LeavingTracker()
        self.assertEqual([], self.tracker.configure([make_service()], 0.0))

    def test_drain_response_applies_until_a_later_probe(self) -> None:
        actions = self.tracker.record_draining(S1, 10.0)
        expected = [
            StopSending(S1, Reason.DRAIN_ANSWER),
            PublishLeaving(S1, False, 0.0),
        ]
        self.assertEqual(expected, actions)
        self.assertEqual([], self.tracker.record_draining(S1, 10.5))
        self.assertEqual([], self.tracker.record_not_draining(S1, 9.9, 10.6))
        for step in range(1000):
            self.tracker.tick(11.0 + step)
        self.assertEqual({"s1"}, self.tracker.leaving_servers("registry"))
        actions = self.tracker.record_not_draining(S1, 2000.0, 2000.1)
        self.assertEqual(
            [ResumeSending(S1), PublishReturn(S1, 0.1)],
            with_rounded_ages(actions),
        )

    def test_notice_is_published_several_times_in_time_then_as_reminder(
        self,
    ) -> None:
        self.tracker.record_draining(S1, 10.0)
        times = [10.0]
        while times[-1] < 30.0:
            due = self.tracker.next_tick()
            published = self.tracker.tick(due)
            self.assertEqual([PublishLeaving(S1, False, due - 10.0)], published)
            times.append(due)
        self.assertEqual(4, sum(time < 13.0 for time in times))
        intervals = {b - a for a, b in itertools.pairwise(times[3:])}
        self.assertEqual({5.0}, intervals)

    def test_notice_of_a_peer_is_forwarded_and_expires_without_reminders(
        self,
    ) -> None:
        actions = self.tracker.receive_leaving(S1, False, 0.5, 10.0)
        expected = [
            StopSending(S1, Reason.PEER),
            PublishLeaving(S1, False, 0.5),
        ]
        self.assertEqual(expected, actions)
        self.assertEqual([], self.tracker.receive_leaving(S1, False, 0.6, 10.1))
        reminded = self.tracker.receive_leaving(S1, False, 5.5, 15.0)
        self.assertEqual([PublishLeaving(S1, False, 5.5)], reminded)
        end = 15.0 + notices.PEER_NOTICE_TTL_S
        self.assertEqual([], sending_changes(self.tracker.tick(end - 0.1)))
        self.assertEqual([ResumeSending(S1)], self.tracker.tick(end))

    def test_return_reported_by_a_peer_must_be_later_than_the_drain(
        self,
    ) -> None:
        self.tracker.record_draining(S1, 10.0)
        early = self.tracker.receive_return(S1, 1.5, 11.0)
        self.assertEqual([], sending_changes(early))
        late = self.tracker.receive_return(S1, 0.1, 12.0)
        self.assertEqual([ResumeSending(S1)], sending_changes(late))
        # A late message about the earlier drain changes nothing.
        old = self.tracker.receive_leaving(S1, False, 4.0, 13.0)
        self.assertEqual([], old)

    def test_vm_list_applies_beside_a_drain_response(self) -> None:
        self.tracker.record_draining(S1, 10.0)
        leaving = vm_change(vm_tracker.Change.LEAVING, "vm-s1")
        actions = self.tracker.receive_vm_changes([leaving], 11.0)
        self.assertEqual(
            [StopSending(S1, Reason.VM_LIST)], sending_changes(actions)
        )
        after_probe = self.tracker.record_not_draining(S1, 12.0, 12.0)
        self.assertEqual([], sending_changes(after_probe))
        self.assertEqual({"s1"}, self.tracker.leaving_servers("registry"))
        back = vm_change(vm_tracker.Change.BACK, "vm-s1")
        returned = self.tracker.receive_vm_changes([back], 13.0)
        self.assertEqual([ResumeSending(S1)], sending_changes(returned))

    def test_returned_vm_ends_a_drain_without_a_probe(
        self,
    ) -> None:
        self.tracker.record_draining(S1, 10.0)
        for change in (vm_tracker.Change.REMOVED, vm_tracker.Change.BACK):
            actions = self.tracker.receive_vm_changes(
                [vm_change(change, "vm-s1")], 20.0
            )
        self.assertEqual([ResumeSending(S1)], sending_changes(actions))
        self.assertIn(PublishReturn(S1, 0.0), actions)

    def test_outdated_vm_list_is_not_published(self) -> None:
        leaving = vm_change(vm_tracker.Change.LEAVING, "vm-s1")
        published = self.tracker.receive_vm_changes([leaving], 10.0)
        self.assertEqual(
            [StopSending(S1, Reason.VM_LIST), PublishLeaving(S1, True, 0.0)],
            published,
        )
        later = [self.tracker.tick(10.0 + step) for step in range(100)]
        self.assertEqual(4, sum(map(len, later)))
        self.assertEqual({"s1"}, self.tracker.leaving_servers("registry"))

    def test_vm_that_leaves_before_the_bundle_names_it(self) -> None:
        gone = vm_change(vm_tracker.Change.REMOVED, "vm-s3")
        self.tracker.receive_vm_changes([gone], 1.0)
        actions = self.tracker.configure([make_service(("s1", "s3"))], 2.0)
        self.assertEqual(
            [StopSending(ServerKey("registry", "s3"), Reason.VM_LIST)],
            sending_changes(actions),
        )

    def test_bundle_that_moves_a_server_drops_its_state(self) -> None:
        self.tracker.record_draining(S1, 10.0)
        self.tracker.record_draining(S2, 10.0)
        self.tracker.configure([make_service()], 11.0)
        self.assertEqual({"s1", "s2"}, self.tracker.leaving_servers("registry"))
        self.tracker.configure([make_service(("s1",), 81)], 12.0)
        self.assertEqual(set(), self.tracker.leaving_servers("registry"))
        self.assertEqual([], self.tracker.record_draining(S2, 13.0))

    def test_refusing_server_is_paused_and_retried(self) -> None:
        def refuse(now: float, times: int) -> list[Action]:
            actions = [
                self.tracker.record_refused_connection(S1, now)
                for _ in range(times)
            ]
            return list(itertools.chain(*actions))

        self.assertEqual([], refuse(10.0, 2))
        self.assertEqual([StopSending(S1, Reason.REFUSED)], refuse(10.0, 1))
        self.assertEqual(11.0, self.tracker.next_tick())
        self.assertEqual([ResumeSending(S1)], self.tracker.tick(11.0))
        self.assertEqual([StopSending(S1, Reason.REFUSED)], refuse(11.0, 1))
        self.assertEqual(13.0, self.tracker.next_tick())
        self.assertEqual(
            [ResumeSending(S1)], self.tracker.record_connection(S1, 12.0)
        )
        self.assertEqual([], refuse(12.0, 2))
