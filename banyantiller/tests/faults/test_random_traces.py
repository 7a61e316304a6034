"""Random faults over the real cores, each run written as a trace.

A failing example is a whole trace: put into `traces/` it is replayed for
good. Faults come alone, together and twice, at any time, and so at any await
point of what runs then.
"""

import json

from hypothesis import strategies as st

from banyantiller.replay import player
from banyantiller.tests.base import TestCase
from banyantiller.tests.faults import seeds

DAEMONS = ("d1", "d2", "d3")
OPERATORS = ("ana", "ben", "cy")
SERVERS = ("s1", "s2", "s3")
VERSIONS = 5

TIMES = st.floats(0, 20).map(lambda value: round(value, 2))
SHORT = st.sampled_from([0.0, 0.001, 0.2, 1.0, 2.5, 7.0])


def fields(**values):
    return st.fixed_dictionaries(values)


def inputs(name, values):
    return st.tuples(TIMES, values.map(lambda chosen: {name: chosen}))


def faults(owners):
    owner = st.sampled_from(owners)
    store = fields(
        owner=st.sampled_from(("", *owners)),
        down=st.booleans(),
        slow_s=SHORT,
        lose_answers=st.integers(0, 2),
        stale=st.booleans(),
    )
    return st.one_of(
        inputs("store", store),
        inputs("pause", fields(owner=owner)),
        inputs("resume", fields(owner=owner)),
    )


def trace(header, rows, expected):
    ordered = sorted(rows, key=lambda row: row[0])
    lines = [{"trace": 1, **header}]
    lines += [{"t": at, **row} for at, row in ordered]
    lines += [{"expect": name} for name in expected]
    return "".join(json.dumps(line) + "\n" for line in lines)


REQUESTS = inputs(
    "request",
    fields(
        daemon=st.sampled_from(DAEMONS),
        key=st.sampled_from(("k1", "k2")),
        patience_s=st.sampled_from([0.0, 0.5, 3.0, 60.0]),
        work_s=SHORT,
        ends=st.sampled_from(("run", "run", "unknown", "not_sent")),
        fingerprint=st.sampled_from(("f", "f", "f", "g")),
    ),
)
KILLS = inputs("kill", fields(daemon=st.sampled_from(DAEMONS)))


def numbered(rows):
    for number, (_, row) in enumerate(rows, 1):
        if "request" in row:
            row["request"] = {"call": number, **row["request"]}
    return rows


def rolls(order):
    """Proposals of all bundles, then rolls and faults."""
    proposals = [
        (0.0, {"propose": {"operator": operator, "bundle": operator}})
        for operator in OPERATORS
    ]
    return proposals + [(at + 1, row) for at, row in order]


ROLLS = inputs(
    "roll",
    st.tuples(st.sampled_from(OPERATORS), st.sampled_from(OPERATORS)).map(
        lambda pair: {"operator": pair[0], "bundle": pair[1]}
    ),
)
OFFERS = st.one_of(
    inputs(
        "offer",
        fields(
            daemon=st.sampled_from(DAEMONS),
            version=st.integers(1, VERSIONS),
            kind=st.sampled_from(
                (
                    *["accepted"] * 6,
                    "unsigned",
                    "self_signed",
                    "stranger",
                    "altered",
                )
            ),
            parts=st.booleans(),
        ),
    ),
    inputs(
        "parts",
        fields(
            daemon=st.sampled_from(DAEMONS), version=st.integers(1, VERSIONS)
        ),
    ),
    inputs("restart", fields(daemon=st.sampled_from(DAEMONS))),
)

BEHAVES = inputs(
    "behaves",
    fields(
        server=st.sampled_from(SERVERS),
        answer_s=st.sampled_from([0.001, 0.02, 0.3, 2.0]),
        body_s=st.sampled_from([0.0, 0.5]),
        status=st.sampled_from([200, 200, 500, 503]),
        error=st.sampled_from(
            (
                "",
                "",
                "connection_lost",
                "connect_failed",
                "backend_shed",
                "backend_timeout",
            )
        ),
        silent=st.sampled_from([False, False, True]),
        in_flight=st.sampled_from([-1.0, 0.0, 2.0, 50.0]),
        draining=st.sampled_from([False, False, False, True]),
        slots=st.sampled_from([0, 2]),
    ),
)
CALLS = inputs(
    "calls",
    fields(
        count=st.integers(1, 20),
        every_s=st.sampled_from([0.0, 0.005, 0.1]),
        idempotent=st.booleans(),
        patience_s=st.sampled_from([0.05, 0.5, 3.0]),
        replayable=st.booleans(),
    ),
)
CONFIGURES = inputs(
    "configure",
    st.lists(
        st.tuples(st.sampled_from(SERVERS), st.booleans()), max_size=3
    ).map(
        lambda chosen: {
            "service": {"name": "desk", "servers": []},
            "servers": [
                {"name": name, "zone": "z", "slots": 2, "leaving": leaving}
                for name, leaving in dict(chosen).items()
            ],
        }
    ),
)


def dispatched(rows):
    first = 1
    rows = [*rows, (0.5, {"calls": {"count": 5, "every_s": 0.01}})]
    for _, row in sorted(rows, key=lambda item: item[0]):
        if "calls" in row:
            row["calls"] = {"first": first, **row["calls"]}
            first += row["calls"]["count"]
    start = [(0.0, {"behaves": {"server": name}}) for name in SERVERS]
    return start + rows


class RandomTracesTest(TestCase):
    def holds(self, text):
        for result in player.play(text):
            self.assertEqual("", result.problem, f"{result.name} in\n{text}")

    def explore(self, examples, rows, make):
        lists = st.lists(rows, min_size=2, max_size=14)
        seeds.explore(lambda chosen: self.holds(make(chosen)), examples, lists)

    def test_claims(self):
        header = {"core": "claims", "daemons": list(DAEMONS)}
        expected = ("runs_at_most_once", "told_not_run_was_not_run")
        self.explore(
            150,
            st.one_of(REQUESTS, REQUESTS, KILLS, faults(DAEMONS)),
            lambda rows: trace(header, numbered(rows), expected),
        )

    def test_rolls(self):
        header = {"core": "rolls", "operators": list(OPERATORS)}
        expected = ("one_bundle_a_version", "told_the_truth")
        self.explore(
            40,
            st.one_of(ROLLS, ROLLS, faults(OPERATORS)),
            lambda rows: trace(header, rolls(rows), expected),
        )

    def test_replica(self):
        header = {"core": "replica", "daemons": list(DAEMONS)}
        expected = ("never_goes_down", "holds_only_accepted")
        self.explore(40, OFFERS, lambda rows: trace(header, rows, expected))

    def test_dispatcher(self):
        header = {
            "core": "dispatcher",
            "service": {"name": "desk", "servers": []},
            "servers": [
                {"name": name, "zone": "z", "slots": 2} for name in SERVERS
            ],
            "probe_every_s": 0.5,
        }
        expected = (
            "every_call_ends_once",
            "runs_at_most_once",
            "told_not_run_was_not_run",
            "no_try_outlives_its_call",
        )
        self.explore(
            150,
            st.one_of(BEHAVES, BEHAVES, CALLS, CALLS, CONFIGURES),
            lambda rows: trace(header, dispatched(rows), expected),
        )
