"""Tests of the tracker of VM lists."""

from hypothesis import given, settings
from hypothesis import strategies as st

from banyantiller.tests import base
from banyantiller.vmlist import interface, tracker

LIVE = interface.VmState.LIVE
LEAVING = interface.VmState.LEAVING


def listed(as_of, **states):
    vms = [
        interface.Vm(name, "10.0.0.1", "north", state)
        for name, state in states.items()
    ]
    return interface.VmListing(tuple(vms), as_of)


def observe(watched, *lists):
    """Returns the changes of the last list as pairs."""
    changes = ()
    for item in lists:
        changes = watched.observe(item)
    return [(change.vm.name, change.change.value) for change in changes]


class VmTrackerTest(base.TestCase):
    def test_new_leaving_and_back(self):
        watched = tracker.VmTracker()
        first = observe(watched, listed(1, a=LIVE, b=LEAVING))
        self.assertEqual([("a", "new"), ("b", "leaving")], first)
        second = observe(watched, listed(2, a=LEAVING, b=LIVE))
        self.assertEqual([("a", "leaving"), ("b", "back")], second)
        self.assertEqual({"a"}, watched.leaving())

    def test_older_or_equal_list_changes_nothing(self):
        watched = tracker.VmTracker()
        observe(watched, listed(5, a=LEAVING))
        self.assertEqual([], observe(watched, listed(4, a=LIVE)))
        self.assertEqual([], observe(watched, listed(5)))
        self.assertEqual({"a"}, watched.leaving())

    def test_removed_after_two_newer_lists(self):
        watched = tracker.VmTracker()
        lists = [listed(1, a=LIVE, z=LIVE), listed(2, z=LIVE)]
        self.assertEqual([], observe(watched, *lists))
        self.assertEqual([], observe(watched, listed(3, a=LIVE, z=LIVE)))
        self.assertEqual([], observe(watched, listed(4, z=LIVE)))
        self.assertEqual([("a", "gone")], observe(watched, listed(5, z=LIVE)))
        self.assertEqual([], observe(watched, listed(6, z=LIVE)))
        found = observe(watched, listed(7, a=LIVE, z=LIVE))
        self.assertEqual([("a", "back")], found)

    def test_empty_lists_remove_no_vm(self):
        watched = tracker.VmTracker()
        observe(watched, listed(1, a=LIVE))
        for as_of in range(2, 9):
            self.assertEqual([], observe(watched, listed(as_of)))
        self.assertEqual([], observe(watched, listed(9, a=LIVE)))

    @settings(derandomize=True, database=None)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 20),
                st.dictionaries(
                    st.sampled_from("abc"), st.sampled_from([LIVE, LEAVING])
                ),
            )
        )
    )
    def test_older_list_never_undoes_a_newer_one(self, states):
        watched = tracker.VmTracker()
        newest = None
        for as_of, vms in states:
            if newest is None or as_of > newest[0]:
                newest = (as_of, vms)
            watched.observe(listed(as_of, **vms))
            for name, state in newest[1].items():
                self.assertIs(state, watched.vms[name].state)
