"""Tests of how the demonstration judges; each kind of harm must show."""

import collections
import json

import yaml

from banyantiller.bundle import parsing
from banyantiller.config import settings
from banyantiller.http import messages, outcomes
from banyantiller.tests import base
from standins import backend_state
from standins.demo import callers, files, findings, traffic

GOOD = findings.Events((0.1, 0.2), {"server-3": 0, "daemon-2": 0})


def scene():
    """Returns callers and counts of a run in which everything held."""
    users = callers.Callers([], 1)
    runs = collections.Counter()
    for arrival in traffic.plan(1, 2):
        sending = arrival.sending
        users.tally.calls += 1
        told = reply_to(sending)
        assert users.judge(sending, answered(200, told)) is None
        if sending.key:
            runs[sending.key] = 1
    return users, [{"runs_by_key": runs, "last_after_drain_s": 1.0}]


def reply_to(sending):
    headers = (
        ("x-request-id", f"{sending.call_id}-0"),
        ("idempotency-key", sending.key),
    )
    request = messages.Request(
        sending.method, sending.target, headers, sending.body
    )
    return backend_state.echo(backend_state.Counts("s"), request)


def answered(status, told, headers=()):
    response = messages.Response(status, headers)
    return outcomes.Answered(response, json.dumps(told).encode())


DEPOSIT = callers.Sending("d", "POST", "/deposits?number=1", "key-x", b"b")
LOOKUP = callers.Sending("l", "GET", "/records/1")


class JudgeTest(base.TestCase):
    def test_all_held(self):
        users, counts = scene()
        found = findings.judge(users, counts, GOOD)
        self.assertTrue(found.held)
        calls = traffic.LOOKUPS + traffic.DEPOSITS + traffic.REPEATED
        expected = {"calls": calls, "lost": 0, "exchanged": 0, "cut": 0}
        expected |= {"run_twice": 0, "in_force_seconds": 0.2}
        self.assertEqual(expected, found.last_line)

    def assert_broken(self, promises, users, counts, events=GOOD, column=""):
        """Asserts that these promises, and no others, were broken."""
        found = findings.judge(users, counts, events)
        broken = {row.promise for row in found.rows if not row.held}
        self.assertEqual(set(promises), broken)
        if column:
            self.assertEqual(1, found.last_line[column])

    def test_run_twice_on_two_servers(self):
        users, counts = scene()
        key = next(iter(counts[0]["runs_by_key"]))
        counts.append({"runs_by_key": {key: 1}, "last_after_drain_s": 0.0})
        promises = ("no deposit ran twice",)
        self.assert_broken(promises, users, counts, column="run_twice")

    def test_answered_but_never_run(self):
        users, counts = scene()
        counts[0]["runs_by_key"].popitem()
        promises = ("no call was lost", "every deposit was run")
        self.assert_broken(promises, users, counts, column="lost")

    def test_told_not_run_but_run(self):
        users, counts = scene()
        runs = counts[0]["runs_by_key"]
        runs.popitem()
        users.confirmed &= set(runs)
        users.judge(DEPOSIT, answered(503, {"ran": "no", "retry": True}))
        runs[DEPOSIT.key] = 1
        promises = ('what was told "not run" was not run',)
        self.assert_broken(promises, users, counts)

    def test_answers_to_something_else(self):
        others = (
            LOOKUP._replace(target="/records/2"),
            LOOKUP._replace(call_id="m"),
            LOOKUP._replace(body=b"x"),
        )
        for other in others:
            users, counts = scene()
            users.judge(LOOKUP, answered(200, reply_to(other)))
            promises = ("no answer was exchanged",)
            self.assert_broken(promises, users, counts, column="exchanged")

    def test_repeated_answer_of_the_same_key_is_own(self):
        again = DEPOSIT._replace(call_id="repeat")
        body = json.dumps(reply_to(DEPOSIT)).encode()
        self.assertTrue(callers.is_own(again, body))

    def test_cuts(self):
        lost_link = answered(502, {"ran": "unknown", "retry": False})
        for outcome in (outcomes.Lost("closed"), lost_link):
            users, counts = scene()
            self.assertFalse(users.judge(LOOKUP, outcome).final)
            promises = ("no call was cut",)
            self.assert_broken(promises, users, counts, column="cut")

    def test_open_outcome_of_a_key_is_final(self):
        users, _ = scene()
        told = {"ran": "unknown", "retry": False}
        failure = users.judge(DEPOSIT, answered(409, told))
        self.assertTrue(failure.final)

    def test_exit_status_late_request_and_slow_bundle(self):
        users, counts = scene()
        exits = GOOD._replace(exits={"daemon-2": 1})
        promises = ("stopped processes ended with status 0",)
        self.assert_broken(promises, users, counts, exits)
        slow = GOOD._replace(in_force_s=(0.1, 60.0))
        promises = ("bundles were in force everywhere within seconds",)
        self.assert_broken(promises, users, counts, slow)
        counts[0]["last_after_drain_s"] = 60.0
        promises = ("the leaving server soon got nothing new",)
        self.assert_broken(promises, users, counts)


class FilesTest(base.TestCase):
    def test_settings_and_bundle_are_valid(self):
        operators = tuple(
            files.Operator(name, digits * 32, "")
            for name, digits in (("ana", "ab"), ("ben", "cd"))
        )
        platform = files.Platform(1, 2)
        ports = (files.DaemonPorts(3, 4, 5), files.DaemonPorts(6, 7, 8))
        value = files.daemon_settings(0, ports, platform, operators)
        found, warnings = settings.parse(yaml.safe_dump(value), "x")
        self.assertEqual(("daemon-1", ()), (found.daemon, warnings))
        bundle = files.bundle({"server-1": 9}, "text")
        parsed = parsing.parse(yaml.safe_dump(bundle), "x")
        self.assertEqual(9, parsed.bundle.services[0].servers[0].port)
