"""Tests that the load tool sees what it is meant to see."""

import asyncio
import collections
import hashlib
import json

from banyantiller.tests import base
from bench import load_callers, load_connection, load_result
from bench.load_callers import Arrival, End, Kind, Made
from bench.load_connection import Answer, Broken

ADDRESS = "127.0.0.1"
BODY = b"once"


def arrival(name="once-1", kind=Kind.ONCE, key=""):
    return Arrival(0.0, name, kind, "POST", "/d", key, BODY)


def echo(call, name, **changes):
    told = {
        "method": call.method,
        "target": call.target,
        "key": call.key,
        "sha256": hashlib.sha256(call.body).hexdigest(),
        "request_id": name,
        "work_s": 0.01,
        "held_s": 0.02,
        **changes,
    }
    return Answer(200, {}, json.dumps(told).encode())


def refusal(status, ran, retry, *headers):
    body = json.dumps({"error": "x", "ran": ran, "retry": retry}).encode()
    return Answer(status, dict(headers), body)


def runs(by_id=(), by_key=()):
    return load_result.Runs(
        collections.Counter(by_id),
        collections.Counter(by_key),
        collections.Counter(),
        0.0,
    )


class ScriptedGateway:
    """Gives the outcomes of a list in turn."""

    ready = True

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.requests = []
        self.connections = self

    async def exchange(self, request):
        self.requests.append(request)
        outcome = self.outcomes.pop(0)
        if outcome is None:
            await asyncio.sleep(99)
        return outcome


class CallersTest(base.TestCase):
    def made(self, call, *outcomes):
        """Returns what became of a call with these outcomes."""

        async def body():
            gateway = ScriptedGateway(*outcomes)
            callers = load_callers.Callers([gateway], 2.0, 0.5, 1)
            await callers.send([call])
            return callers.made[0]

        return self.run_paused(body())

    def test_sends_again_what_has_not_run(self):
        call = arrival()
        made = self.made(
            call,
            Broken("refused", False),
            refusal(503, "no", True, (b"retry-after", b"1")),
            echo(call, "once-1-2"),
        )
        self.assertEqual(End.ANSWERED, made.end)
        self.assertEqual(["once-1-0", "once-1-1"], made.not_run)
        self.assertAlmostEqual(1.0, made.latency_s)

    def test_never_repeats_what_may_have_run(self):
        for outcome in (
            Broken("closed", True),
            refusal(502, "unknown", False),
            refusal(504, "unknown", False),
        ):
            made = self.made(arrival(), outcome)
            self.assertEqual(["once-1-0"], made.tries)
            self.assertNotEqual(End.ANSWERED, made.end)

    def test_repeats_by_key(self):
        call = arrival("keyed-1", Kind.KEYED, "k")
        made = self.made(call, Broken("closed", True), echo(call, "keyed-1-0"))
        self.assertEqual(End.ANSWERED, made.end)
        self.assertEqual(1, len(made.cut))

    def test_gives_up_a_silent_try_of_what_may_be_repeated(self):
        call = arrival("keyed-1", Kind.KEYED, "k")
        made = self.made(call, None, echo(call, "keyed-1-1"))
        self.assertEqual(End.ANSWERED, made.end)
        self.assertAlmostEqual(0.5, made.latency_s)
        made = self.made(arrival(), None)
        self.assertEqual(End.LOST, made.end)
        self.assertAlmostEqual(3.0, made.latency_s, places=2)

    def test_repeats_by_key_until_told_the_conflict(self):
        call = arrival("keyed-1", Kind.KEYED, "k")
        made = self.made(
            call,
            refusal(502, "unknown", False),
            refusal(409, "unknown", True),
            refusal(409, "unknown", False),
        )
        self.assertEqual(End.OPEN, made.end)
        self.assertEqual(3, len(made.tries))

    def test_waits_no_longer_than_the_deadline(self):
        later = refusal(503, "no", True, (b"retry-after", b"2"))
        made = self.made(arrival(), later)
        self.assertEqual(End.REFUSED, made.end)

    def test_sees_an_exchanged_answer(self):
        call = arrival()
        for changes in (
            {"request_id": "once-12-0"},
            {"sha256": "0"},
            {"target": "/e"},
        ):
            made = self.made(call, echo(call, "once-1-0", **changes))
            self.assertEqual(End.EXCHANGED, made.end)


class FaultsTest(base.TestCase):
    def faults(self, made, counted):
        found = load_result.find_faults([made], counted)
        return {name for name, lines in found._asdict().items() if lines}

    def test_nothing_wrong(self):
        made = Made(arrival(), ["a", "b"], ["a"], [], End.ANSWERED)
        self.assertEqual(set(), self.faults(made, runs({"b": 1})))

    def test_wrong_not_run(self):
        made = Made(arrival(), ["a"], ["a"], [], End.REFUSED)
        self.assertEqual({"wrong_not_run"}, self.faults(made, runs({"a": 1})))

    def test_run_twice(self):
        made = Made(arrival(), ["a"], [], [], End.ANSWERED)
        self.assertEqual({"run_twice"}, self.faults(made, runs({"a": 2})))
        keyed = arrival("keyed-1", Kind.KEYED, "k")
        made = Made(keyed, ["a", "b"], [], [], End.ANSWERED)
        counted = runs({"a": 1, "b": 1}, {"k": 2})
        self.assertEqual({"run_twice"}, self.faults(made, counted))

    def test_answered_but_never_run(self):
        made = Made(arrival(), ["a"], [], [], End.ANSWERED)
        self.assertEqual({"lost"}, self.faults(made, runs()))

    def test_no_answer_at_all(self):
        lookup = arrival("lookup-1", Kind.LOOKUP)
        made = Made(lookup, ["a", "b"], [], ["closed"], End.LOST)
        self.assertEqual({"lost", "cut"}, self.faults(made, runs()))
        once = Made(arrival(), ["a"], [], ["closed"], End.LOST)
        self.assertEqual({"cut"}, self.faults(once, runs()))

    def test_no_answer_counts_as_the_deadline(self):
        made = Made(arrival(), ["a"], ["a"], [], End.REFUSED, latency_s=0.001)
        found = load_result.fill([made], 2.0, keyed=False)
        self.assertEqual(2, round(found.get_max_value() / 1e6))


class ConnectionTest(base.TestCase):
    def exchange(self, *parts):
        """Returns the outcome when a server writes `parts` and closes."""

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            for part in parts:
                writer.write(part)
            await writer.drain()
            writer.close()

        async def body():
            server = await asyncio.start_server(serve, ADDRESS, 8080)
            request = load_connection.Request("GET", "/", (), b"")
            try:
                pool = load_connection.Connections(8080)
                return await pool.exchange(request)
            finally:
                server.close()

        return self.run_paused(body())

    def test_whole_answer(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
        self.assertEqual(b"body", self.exchange(head, b"body").body)

    def test_cut_answers(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
        for parts in ((), (head[:20],), (head, b"bo")):
            outcome = self.exchange(*parts)
            self.assertIsInstance(outcome, Broken)
            self.assertTrue(outcome.sent)

    def test_nobody_listens(self):
        async def body():
            request = load_connection.Request("GET", "/", (), b"")
            return await load_connection.Connections(8081).exchange(request)

        self.assertFalse(self.run_paused(body()).sent)
