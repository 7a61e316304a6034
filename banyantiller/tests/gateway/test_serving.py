"""Tests of calls from the request to the reply, with faulty servers."""

import asyncio

from banyantiller.tests.gateway import harness


class ServingTest(harness.TestCase):
    def test_server_response_is_forwarded(self):
        async def body(env):
            return await env.request("a1")

        answer = self.play(body)
        self.assertEqual(200, answer.status)
        self.assertTrue(answer.body.startswith(b"a1 at s"))
        self.assertTrue(answer.headers["upstream-signature"].startswith("by."))

    def test_server_receives_remaining_deadline_and_expected_instance(self):
        async def body(env):
            await env.request("a1", deadline_ms=500)
            return [h for s in env.servers.values() for h in s.seen]

        (head,) = self.play(body)
        self.assertIn(int(head["deadline-ms"]), range(470, 501))
        self.assertIn(head["target-instance"], ("s0", "s1", "s2"))

    def test_503_without_not_run_header_is_reported_as_unknown(self):
        """A forwarded 503 would imply that the request was not executed."""

        async def body(env):
            env.fault(silent_503=True)
            file_reply = await env.request("a", "/file/x", "POST", b"deposit")
            read_reply = await env.request("b")
            return file_reply, env.ran("a"), read_reply

        file_reply, ran, read_reply = self.play(body)
        self.assertEqual((502, 1), (file_reply.status, ran))
        self.assertEqual("unknown", file_reply.headers["request-ran"])
        self.assertNotIn("upstream-signature", file_reply.headers)
        self.assertEqual(502, read_reply.status)

    def test_read_is_retried_on_another_server_after_each_failure(self):
        for fault in ("reset", "cut", "fail", "unsigned", "other_id", "shed"):

            async def body(env, fault=fault):
                env.fault(**{fault: True})
                setattr(env.servers["s1"].faults, fault, False)
                answers = [await env.request(f"a{n}") for n in range(6)]
                return [answer.status for answer in answers]

            self.assertEqual([200] * 6, self.play(body), fault)

    def test_request_that_is_not_idempotent_runs_once_despite_failures(self):
        for fault in ("reset", "cut", "unsigned", "other_id", "fail"):

            async def body(env, fault=fault):
                env.fault(**{fault: True})
                answer = await env.request("a", "/file/x", "POST", b"deposit")
                return answer.status, env.ran("a")

            status, ran = self.play(body)
            self.assertEqual(1, ran, fault)
            self.assertIn(status, (500, 502, 504), fault)

    def test_rejection_by_all_servers_is_not_run_with_retry_after(self):
        async def body(env):
            env.fault(shed=True)
            answer = await env.request("a", "/file/x", "POST", b"deposit")
            return answer, env.ran("a")

        answer, ran = self.play(body)
        self.assertEqual((503, 0), (answer.status, ran))
        self.assertEqual("no", answer.headers["request-ran"])
        self.assertGreater(float(answer.headers["retry-after"]), 0)

    def test_call_is_rejected_soon_while_all_servers_are_busy(self):
        async def body(env):
            for server in env.servers.values():
                server.running = server.slots
            started_at = asyncio.get_running_loop().time()
            answer = await env.request("a")
            return answer.status, asyncio.get_running_loop().time() - started_at

        status, took_s = self.play(body)
        self.assertEqual(503, status)
        self.assertLess(took_s, 0.05)

    def test_urgent_request_waits_longer_for_a_free_server(self):
        async def body(env):
            routes = [
                harness.route("read", "safe", "/read/", priority=2),
                harness.route("file", "unsafe", "/file/", priority=1),
            ]
            env.put_document(routes)
            await asyncio.sleep(0.05)
            for server in env.servers.values():
                server.running = server.slots
            asyncio.get_running_loop().call_later(
                0.04, lambda: setattr(env.servers["s2"], "running", 0)
            )
            answers = await asyncio.gather(
                env.request("a"), env.request("b", "/file/x", "POST", b"x")
            )
            return [answer.status for answer in answers]

        self.assertEqual([503, 200], self.play(body))

    def test_slot_that_becomes_free_in_time_is_used(self):
        async def body(env):
            for server in env.servers.values():
                server.running = server.slots
            asyncio.get_running_loop().call_later(
                0.012, lambda: setattr(env.servers["s2"], "running", 0)
            )
            return (await env.request("a")).status

        self.assertEqual(200, self.play(body))

    def test_duplicate_response_is_not_used_for_the_next_request(self):
        async def body(env):
            env.fault(twice=True, twice_after=0.0)
            answers = [await env.request(f"a{n}") for n in range(8)]
            env.fault(twice_after=0.004)
            answers += [await env.request(f"b{n}") for n in range(8)]
            return [answer.body.split()[0] for answer in answers]

        expected = [f"{name}{n}".encode() for name in "ab" for n in range(8)]
        self.assertEqual(expected, self.play(body))

    def test_response_delimited_by_connection_close_is_complete(self):
        async def body(env):
            env.fault(unframed=True)
            return await env.request("a")

        answer = self.play(body)
        self.assertEqual(200, answer.status)
        self.assertTrue(answer.body.startswith(b"a at s"))

    def test_timeout_of_the_route_is_enforced(self):
        async def body(env):
            env.fault(mute=True)
            started_at = asyncio.get_running_loop().time()
            answer = await env.request(
                "a", "/file/x", "POST", b"x", deadline_ms=5000
            )
            took_s = asyncio.get_running_loop().time() - started_at
            await asyncio.sleep(0.1)
            dropped = sum(server.dropped for server in env.servers.values())
            return answer, took_s, dropped

        answer, took_s, dropped = self.play(body)
        self.assertEqual(504, answer.status)
        self.assertEqual("unknown", answer.headers["request-ran"])
        self.assertLess(abs(took_s - 0.8), 0.05)
        self.assertEqual(1, dropped)

    def test_read_is_hedged_when_its_server_stops_responding(self):
        async def body(env):
            asyncio.get_running_loop().call_later(0.03, env.fault)
            caller = await harness.Caller.connect(env)
            caller.send("a")
            await asyncio.sleep(0.03)
            (busy,) = [s for s in env.servers.values() if s.running]
            busy.work_s = 3600
            busy.faults.silent = True
            busy.running = 0
            for task in list(busy.tasks):
                task.cancel()
            answer = await caller.read()
            caller.close()
            return answer.status

        self.assertEqual(200, self.play(body))

    def test_attempt_continues_when_only_the_probe_is_lost(self):
        # Guards against a lost probe that ends an attempt while its server
        # executes the request: the caller got an error after 0.34 s.
        async def body(env):
            for server in env.servers.values():
                server.work_s = 0.3
            caller = await harness.Caller.connect(env)
            caller.send("a")
            await asyncio.sleep(0.03)
            env.fault(silent=True)
            answer = await caller.read()
            caller.close()
            return answer.status

        self.assertEqual(200, self.play(body))

    def test_servers_that_report_no_load_are_not_probed_again(self):
        async def body(env):
            for server in env.servers.values():
                server.tells_load = False
            await env.request("first")
            probes_before = sum(server.asked for server in env.servers.values())
            calls = [env.request(f"a{number}") for number in range(6)]
            answers = await asyncio.gather(*calls)
            probes_after = sum(server.asked for server in env.servers.values())
            request_counts = sorted(
                len(server.seen) for server in env.servers.values()
            )
            return (
                [answer.status for answer in answers],
                probes_after - probes_before,
                request_counts,
            )

        statuses, new_probes, request_counts = self.play(body)
        self.assertEqual(([200] * 6, 0), (statuses, new_probes))
        self.assertIn(request_counts, ([2, 2, 3], [1, 3, 3]))

    def test_hedge_is_attempted_until_a_server_is_available(self):
        # Guards against a single search for a second server. If none is free
        # at that moment, a read whose response was lost is never answered.
        async def body(env):
            env.fault(mute=True)
            caller = await harness.Caller.connect(env)
            caller.send("a")
            await asyncio.sleep(0.05)
            env.fault(mute=False)
            for server in env.servers.values():
                server.running = server.slots
            await asyncio.sleep(0.25)
            for server in env.servers.values():
                server.running = 0
            answer = await caller.read()
            caller.close()
            return answer.status

        self.assertEqual(200, self.play(body))

    def test_lost_response_to_a_read_is_replaced_by_a_hedge(self):
        async def body(env):
            env.fault(lose=True)
            caller = await harness.Caller.connect(env)
            caller.send("a")
            await asyncio.sleep(0.05)
            env.fault(lose=False)
            for server in env.servers.values():
                server.faults.lose = server.ran["a"] > 0
            answer = await caller.read()
            caller.close()
            return answer.status

        self.assertEqual(200, self.play(body))

    def test_slow_request_within_its_objective_is_not_hedged(self):
        async def body(env):
            for server in env.servers.values():
                server.work_s = 0.17
            await env.request("a")
            return env.ran("a")

        self.assertEqual(1, self.play(body))

    def test_servers_are_used_if_all_report_unhealthy(self):
        async def body(env):
            env.fault(ill=True)
            return (await env.request("a")).status

        self.assertEqual(200, self.play(body))

    def test_server_that_reports_unhealthy_gets_no_requests(self):
        async def body(env):
            env.servers["s0"].faults.ill = True
            for number in range(12):
                await env.request(f"a{number}")
            return len(env.servers["s0"].seen)

        self.assertEqual(0, self.play(body))
