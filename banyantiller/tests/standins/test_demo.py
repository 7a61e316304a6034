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
        assert users._judge(sending, answered(200, told)) == ""
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

    def assert_broken(self, column, users, counts, events=GOOD):
        found = findings.judge(users, counts, events)
        self.assertFalse(found.held)
        if column:
            self.assertEqual(1, found.last_line[column])

    def test_run_twice_on_two_servers(self):
        users, counts = scene()
        key = next(iter(counts[0]["runs_by_key"]))
        other = {"runs_by_key": {key: 1}, "last_after_drain_s": 0.0}
        self.assert_broken("run_twice", users, [*counts, other])

    def test_answered_but_never_run(self):
        users, counts = scene()
        counts[0]["runs_by_key"].popitem()
        self.assert_broken("lost", users, counts)

    def test_told_not_run_but_run(self):
        users, counts = scene()
        users._judge(DEPOSIT, answered(503, {"ran": "no", "retry": True}))
        counts[0]["runs_by_key"][DEPOSIT.key] = 1
        self.assert_broken("", users, counts)

    def test_answers_to_something_else(self):
        others = (
            LOOKUP._replace(target="/records/2"),
            LOOKUP._replace(call_id="m"),
            LOOKUP._replace(body=b"x"),
        )
        for other in others:
            users, counts = scene()
            users._judge(LOOKUP, answered(200, reply_to(other)))
            self.assert_broken("exchanged", users, counts)

    def test_repeated_answer_of_the_same_key_is_own(self):
        again = DEPOSIT._replace(call_id="repeat")
        body = json.dumps(reply_to(DEPOSIT)).encode()
        self.assertTrue(callers.is_own(again, body))

    def test_cuts(self):
        lost_link = answered(502, {"ran": "unknown", "retry": False})
        for outcome in (outcomes.Lost("closed"), lost_link):
            users, counts = scene()
            self.assertNotEqual("", users._judge(LOOKUP, outcome))
            self.assert_broken("cut", users, counts)

    def test_open_outcome_of_a_key_is_final(self):
        users, _ = scene()
        told = {"ran": "unknown", "retry": False}
        reason = users._judge(DEPOSIT, answered(409, told))
        self.assertTrue(reason.startswith(callers.FINAL))

    def test_exit_status_late_request_and_slow_bundle(self):
        users, counts = scene()
        exits = GOOD._replace(exits={"daemon-2": 1})
        slow = GOOD._replace(in_force_s=(0.1, 60.0))
        self.assert_broken("", users, counts, exits)
        self.assert_broken("", users, counts, slow)
        counts[0]["last_after_drain_s"] = 60.0
        self.assert_broken("", users, counts)


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
