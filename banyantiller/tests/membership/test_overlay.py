"""Tests of the choice of links and of the selection by rank."""

from banyantiller.membership import overlay
from banyantiller.membership.messages import MemberEntry
from banyantiller.tests.base import TestCase
from banyantiller.tests.membership.support import ZONES


def fleet(count: int, without: frozenset[int] = frozenset()):
    return [
        MemberEntry(
            f"d{i}", 1, 0, 0, "127.0.0.1", 7000 + i, ZONES[i % len(ZONES)]
        )
        for i in range(count)
        if i not in without
    ]


def graph(members, links):
    """Returns the neighbours of each member if all views are equal."""
    edges = {entry.daemon: set() for entry in members}
    for entry in members:
        for other in overlay.choose_link_targets(entry, members, links):
            edges[entry.daemon].add(other.daemon)
            edges[other.daemon].add(entry.daemon)
    return edges


def connected(edges) -> bool:
    seen = set()
    pending = [next(iter(edges))]
    while pending:
        name = pending.pop()
        if name not in seen:
            seen.add(name)
            pending.extend(edges[name])
    return len(seen) == len(edges)


class OverlayTest(TestCase):
    def test_graph_is_connected_with_few_links_at_any_size(self):
        for count in (2, 3, 14, 28, 56, 200):
            for links in (1, 2, 4):
                edges = graph(fleet(count), links)
                self.assertTrue(connected(edges), (count, links))
                total = sum(len(neighbours) for neighbours in edges.values())
                self.assertLessEqual(total, 2 * links * count)

    def test_connected_after_a_zone_is_lost(self):
        lost = frozenset(range(0, 56, len(ZONES)))
        self.assertTrue(connected(graph(fleet(56, lost), 4)))

    def test_targets_spread_over_zones(self):
        members = fleet(28)
        for local in members:
            chosen = overlay.choose_link_targets(local, members, 4)
            self.assertGreaterEqual(len({e.zone for e in chosen}), 3)
            self.assertNotIn(local.daemon, {e.daemon for e in chosen})

    def test_one_death_changes_few_targets(self):
        members = fleet(28)
        after = [entry for entry in members if entry.daemon != "d5"]
        for local in after:
            before = {
                e.daemon for e in overlay.choose_link_targets(local, members, 4)
            }
            now = {
                e.daemon for e in overlay.choose_link_targets(local, after, 4)
            }
            if "d5" not in before:
                self.assertEqual(before, now)

    def test_single_member_has_no_targets(self):
        (local,) = fleet(1)
        self.assertEqual([], overlay.choose_link_targets(local, [local], 4))

    def test_equal_views_select_the_requested_count(self):
        names = [entry.daemon for entry in fleet(20)]
        selected = [n for n in names if overlay.is_selected("w", n, names, 3)]
        self.assertEqual(3, len(selected))
        remaining = [n for n in names if n not in selected[:1]]
        selected_later = [
            n for n in remaining if overlay.is_selected("w", n, remaining, 3)
        ]
        self.assertEqual(set(selected[1:]), set(selected_later) & set(selected))
        self.assertTrue(overlay.is_selected("w", "d1", [], 1))
