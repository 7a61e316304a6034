"""Tests of the backend stand-in."""

import asyncio
import hashlib
import json
import os
import pathlib
import tempfile

from banyantiller.http import client, messages, outcomes, server
from banyantiller.tests import base
from standins import backend, backend_state

ADDRESS = "127.0.0.1"
SETTINGS = backend_state.Settings(
    "s1", slots=1, queue=1, service_s=1.0, sigma=0.0, drain_s=3.0
)


class BackendTest(base.TestCase):
    def run_with(self, check):
        """Runs `check(user, server, listener)` against a server."""

        async def body():
            stand_in = backend.Backend(SETTINGS)
            listener = server.HttpServer(stand_in.handle)
            bound = await listener.start(ADDRESS, 0)
            user = client.HttpClient(ADDRESS, bound.port)
            try:
                return await check(user, stand_in, listener)
            finally:
                await user.close()
                await listener.close()

        return self.run_paused(body())

    def test_echoes_and_counts(self):
        async def check(user, stand_in, listener):
            headers = (("idempotency-key", "k"), ("x-request-id", "r"))
            for _ in range(2):
                answer = await user.request("POST", "/d", 9, headers, b"body")
            told = await user.request("GET", "/standin/runs", 9)
            return answer, stand_in.counts, json.loads(told.body)

        answer, counts, report = self.run_with(check)
        told = json.loads(answer.body)
        self.assertEqual(hashlib.sha256(b"body").hexdigest(), told["sha256"])
        self.assertEqual(
            ("/d", "k", "r"),
            tuple(told[name] for name in ("target", "key", "request_id")),
        )
        self.assertEqual({"k": 2}, counts.runs_by_key)
        self.assertEqual({"k": 2}, report["runs_by_key"])
        self.assertEqual({"r": 2}, counts.runs_by_id)
        report = "TEXT named_metrics.in_flight=1"
        self.assertEqual(
            report, answer.response.header("endpoint-load-metrics")
        )

    def test_sheds_what_is_over_slots_and_queue(self):
        async def check(user, stand_in, listener):
            calls = [user.request("GET", f"/{n}", 9) for n in range(3)]
            return await asyncio.gather(*calls), stand_in.counts

        answers, counts = self.run_with(check)
        refused = [a for a in answers if a.response.status == 503]
        self.assertEqual(1, len(refused))
        self.assertEqual("1", refused[0].response.header("request-not-run"))
        self.assertEqual((2, 1), (counts.runs, counts.shed))

    def test_cuts_after_the_run(self):
        async def check(user, stand_in, listener):
            found = []
            for place in ("before", "head", "body"):
                stand_in.faults.cut = place
                stand_in.faults.cut_next = 1
                found.append(await user.request("GET", "/", 9))
            return found, stand_in.counts.runs

        found, runs = self.run_with(check)
        for outcome in found:
            self.assertIsInstance(outcome, outcomes.Lost)
        self.assertEqual(3, runs)

    def test_paused_then_resumed(self):
        async def check(user, stand_in, listener):
            await set_faults(user, {"paused": True})
            silent = await user.request("GET", "/a", 5)
            await set_faults(user, {"paused": False})
            return silent, await user.request("GET", "/b", 5), stand_in.counts

        silent, answered, counts = self.run_with(check)
        self.assertIsInstance(silent, outcomes.Lost)
        self.assertEqual(200, answered.response.status)
        self.assertEqual(1, counts.runs)

    def test_change_of_speed_counts_for_running_requests(self):
        async def check(user, stand_in, listener):
            await set_faults(user, {"slow": 10.0})
            running = asyncio.ensure_future(user.request("GET", "/a", 99))
            await asyncio.sleep(5.0)
            await set_faults(user, {"slow": 1.0})
            answer = json.loads((await running).body)
            return answer["work_s"], answer["held_s"], stand_in.counts.busy_s

        work_s, held_s, busy_s = self.run_with(check)
        self.assertAlmostEqual(1.0, work_s)
        self.assertAlmostEqual(5.5, held_s, places=2)
        self.assertAlmostEqual(5.5, busy_s, places=2)

    def test_journal_has_a_run_before_its_answer(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / "runs"
        journal = backend_state.Journal(str(path))
        self.addCleanup(os.close, journal.file)
        headers = (("x-request-id", "r"), ("idempotency-key", "k"))
        journal.note_run(messages.Request("POST", "/", headers))
        journal.note_run(messages.Request("GET", "/", headers[:1]))
        self.assertEqual("r\tk\nr\t\n", path.read_text())

    def test_unknown_fault_is_refused(self):
        async def check(user, stand_in, listener):
            return [
                (await set_faults(user, value)).response.status
                for value in ({"slwo": 2}, {"slow": "2"}, {"slow": 2})
            ]

        self.assertEqual([400, 400, 200], self.run_with(check))

    def test_drain_tells_and_ends_what_is_in_flight(self):
        async def check(user, stand_in, listener):
            ending = asyncio.ensure_future(backend.drain(stand_in, listener))
            await asyncio.sleep(2.5)
            health = await user.request("GET", "/healthz", 9)
            late = await user.request("GET", "/", 9)
            await ending
            refused = await user.request("GET", "/", 9)
            return health, late, refused, stand_in.counts

        health, late, refused, counts = self.run_with(check)
        self.assertEqual(503, health.response.status)
        self.assertIn(
            "draining=1", late.response.header("endpoint-load-metrics")
        )
        self.assertEqual(200, late.response.status)
        self.assertIsInstance(refused, outcomes.NotSent)
        self.assertAlmostEqual(2.5, counts.last_after_drain_s, places=2)


async def set_faults(user, value):
    sent = json.dumps(value).encode()
    return await user.request("PUT", "/standin/faults", 9, body=sent)
