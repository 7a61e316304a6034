"""Tests of the player of selector traces."""

import json

from banyantiller.replay import player, traces
from banyantiller.tests import base

HEADER = {
    "trace": 1,
    "core": "selector",
    "daemon": "d1",
    "zone": "east",
    "seed": 1,
    "servers": [
        {"instance": f"b{n}", "zone": ("east", "west")[n % 2], "slots": 2}
        for n in range(12)
    ],
}
ALL = [server["instance"] for server in HEADER["servers"]]


def play(*rows):
    text = "\n".join(json.dumps(row) for row in (HEADER, *rows))
    return [result.problem for result in player.play(text)]


def told(server, score, *load):
    return {"server": server, "score": score, "load": load or [0.0, 0, 2, 1]}


class SelectorPlayerTest(base.TestCase):
    def test_other_choices_are_found(self):
        found = [told("b0", 1.0), told("b1", 1.2)]
        rows = [
            {"t": 1, "pick": {"found": found, "chosen": "b0"}},
            {"t": 2, "pick": {"found": found, "chosen": "b1"}},
            {"expect": "same_choices"},
            {"expect": "chosen_at_least", "count": 2},
            {"expect": "chosen_share_at_most", "server": "b0", "percent": 50},
        ]
        same, least, share = play(*rows)
        self.assertEqual("line 3: b0 in place of b1", same)
        self.assertEqual("", least)
        self.assertEqual("it got 100.0%", share)

    def test_own_zone_is_asked_first_and_others_if_it_is_busy(self):
        first = {"round": 1, "service": "s", "usable": ALL}
        busy = {"round": 1, "found": [told("b0", 3.0, 2.0, 1, 2, 1)]}
        (most,) = play(
            {"t": 1, "first": first},
            {"t": 2, "more": busy},
            {"expect": "asked_at_most", "count": 3},
        )
        self.assertEqual("7 were asked", most)
        good = {"round": 1, "found": [told("b0", 1.0)]}
        (most,) = play(
            {"t": 1, "first": first},
            {"t": 2, "more": good},
            {"expect": "asked_at_most", "count": 3},
        )
        self.assertEqual("", most)

    def test_unknown_servers_and_rounds_are_refused_with_their_line(self):
        stated = {"expect": "same_choices"}
        for row, wanted in (
            ({"pick": {"found": [told("b77", 1.0)]}}, "no server 'b77'"),
            ({"more": {"round": 4, "found": []}}, "no round 4"),
        ):
            error = self.assertRaises(
                traces.TraceError, play, {"t": 1, **row}, stated
            )
            self.assertIn("Line 2", str(error))
            self.assertIn(wanted, str(error))
