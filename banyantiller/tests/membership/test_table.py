"""Tests of the member table."""

import functools

from hypothesis import given, settings
from hypothesis import strategies as st

from banyantiller.membership import table
from banyantiller.membership.messages import MemberEntry
from banyantiller.tests.base import TestCase
from banyantiller.tests.membership import support

LOCAL = MemberEntry("own", 100, 0, 0, "127.0.0.1", 1, "zone-c")
PEER = MemberEntry("other", 100, 0, 0, "127.0.0.1", 2, "zone-c")

ENTRIES = st.builds(
    MemberEntry,
    daemon=st.just("other"),
    incarnation=st.integers(1, 3),
    state=st.integers(0, 3),
    heard=st.integers(0, 2),
    address=st.just("127.0.0.1"),
    port=st.integers(1, 2),
    zone=st.sampled_from(["zone-c", "zone-b"]),
    bundle=st.integers(0, 3),
)


class MergeTest(TestCase):
    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.lists(ENTRIES, min_size=1, max_size=5), st.randoms())
    def test_merge_is_independent_of_order_and_repetition(self, entries, rng):
        once = functools.reduce(table.merge, entries)
        again = entries + entries
        rng.shuffle(again)
        self.assertEqual(once, functools.reduce(table.merge, again))

    def test_later_incarnation_wins_with_its_own_bundle_version(self):
        earlier = PEER._replace(bundle=7, heard=9, state=table.State.DEAD)
        later = PEER._replace(incarnation=101)
        self.assertEqual(later, table.merge(earlier, later))


class TableTest(TestCase):
    def setUp(self):
        super().setUp()
        self.members = table.MemberTable(LOCAL, suspect_s=2.0)

    def test_suspicion_is_refuted_by_a_higher_counter(self):
        self.members.apply_entry(PEER, 0.0)
        suspected = self.members.mark_suspect("other", 1.0)
        self.assertEqual(table.State.SUSPECT, suspected.state)
        self.assertIsNone(self.members.apply_entry(PEER, 1.5).changed)
        peer_table = table.MemberTable(PEER, suspect_s=2.0)
        refuted = peer_table.apply_entry(suspected, 1.6)
        self.assertTrue(refuted.refuted)
        applied = self.members.apply_entry(refuted.changed, 1.7)
        self.assertEqual(table.State.ALIVE, applied.changed.state)
        self.assertEqual([], self.members.expire_entries(60.0))

    def test_resumed_daemon_refutes_its_death(self):
        dead = PEER._replace(state=table.State.DEAD)
        peer_table = table.MemberTable(PEER, suspect_s=2.0)
        alive = peer_table.apply_entry(dead, 0.0).changed
        self.assertEqual(alive, table.merge(dead, alive))

    def test_suspects_become_dead_and_the_dead_are_removed(self):
        self.members.apply_entry(PEER, 0.0)
        suspected = self.members.mark_suspect("other", 1.0)
        self.assertEqual([], self.members.expire_entries(4.9))
        (dead,) = self.members.expire_entries(5.0)
        self.assertEqual(table.State.DEAD, dead.state)
        self.assertIsNone(self.members.apply_entry(suspected, 6.0).changed)
        self.members.expire_entries(5.0 + table.FORGET_DEAD_AFTER_S)
        self.assertEqual({}, self.members.entries)
        self.assertEqual({}, self.members.state_since)
        # A peer that still has the dead entry must not bring it back.
        self.assertEqual(
            table.ApplyResult(), self.members.apply_entry(dead, 400.0)
        )

    def test_leaving_is_final_for_an_incarnation(self):
        self.members.apply_entry(PEER, 0.0)
        leaving = table.MemberTable(PEER, 2.0).mark_leaving()
        self.members.apply_entry(leaving, 1.0)
        self.assertIsNone(self.members.apply_entry(PEER, 2.0).changed)
        self.assertIsNone(self.members.mark_suspect("other", 2.0))
        self.assertEqual(
            table.State.DEAD, self.members.mark_left("other", 3).state
        )

    def test_other_incarnations_of_the_local_name(self):
        earlier = LOCAL._replace(incarnation=99)
        self.assertEqual(LOCAL, self.members.apply_entry(earlier, 0.0).changed)
        later = LOCAL._replace(incarnation=101)
        self.assertTrue(self.members.apply_entry(later, 0.0).displaced)
        self.assertEqual(
            102, self.members.raise_incarnation_above(later).incarnation
        )

    def test_the_table_is_bounded(self):
        for index in range(table.MAX_MEMBERS + 5):
            self.members.apply_entry(PEER._replace(daemon=f"d{index}"), 0.0)
        self.assertEqual(table.MAX_MEMBERS, len(self.members.entries))

    def test_table_size_depends_on_the_fleet_only(self):
        entries = [PEER._replace(daemon=f"d{i}") for i in range(50)]
        for seed in range(20):
            for entry in support.shuffled(entries, seed):
                self.members.apply_entry(
                    entry._replace(heard=seed), float(seed)
                )
        self.assertEqual(50, len(self.members.entries))
        self.assertEqual(50, len(self.members.state_since))
