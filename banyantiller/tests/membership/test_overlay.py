"""Tests of the choice of links."""

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
    """Neighbours of each member when all have the same view."""
    edges = {entry.daemon: set() for entry in members}
    for entry in members:
        for other in overlay.choose_link_targets(entry, members, links):
            edges[entry.daemon].add(other.daemon)
            edges[other.daemon].add(entry.daemon)
    return edges


def connected(edges) -> bool:
    seen = set()
    todo = [next(iter(edges))]
    while todo:
        name = todo.pop()
        if name not in seen:
            seen.add(name)
            todo.extend(edges[name])
    return len(seen) == len(edges)


class OverlayTest(TestCase):
    def test_connected_with_few_links_at_any_size(self):
        for count in (2, 3, 14, 28, 56, 200):
            for links in (1, 2, 4):
                edges = graph(fleet(count), links)
                self.assertTrue(connected(edges), (count, links))
                total = sum(len(near) for near in edges.values())
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

    def test_alone(self):
        (local,) = fleet(1)
        self.assertEqual([], overlay.choose_link_targets(local, [local], 4))

    def test_same_views_give_exactly_the_asked_places(self):
        names = [entry.daemon for entry in fleet(20)]
        holders = [n for n in names if overlay.is_selected("w", n, names, 3)]
        self.assertEqual(3, len(holders))
        fewer = [n for n in names if n not in holders[:1]]
        left = [n for n in fewer if overlay.is_selected("w", n, fewer, 3)]
        self.assertEqual(set(holders[1:]), set(left) & set(holders))
        self.assertTrue(overlay.is_selected("w", "d1", [], 1))
