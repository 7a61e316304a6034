"""Tests of whole calls: tries, servers and what callers are told."""

import asyncio

from banyantiller.tests.gateway import harness


class ServingTest(harness.TestCase):
    def test_answer_is_the_servers_own(self):
        async def body(place):
            return await place.request("a1")

        answer = self.play(body)
        self.assertEqual(200, answer.status)
        self.assertTrue(answer.body.startswith(b"a1 at s"))
        self.assertTrue(answer.headers["upstream-signature"].startswith("by."))

    def test_server_gets_what_is_left_of_the_time_and_its_name(self):
        async def body(place):
            await place.request("a1", deadline_ms=500)
            return [h for s in place.servers.values() for h in s.seen]

        (head,) = self.play(body)
        self.assertIn(int(head["deadline-ms"]), range(470, 501))
        self.assertIn(head["target-instance"], ("s0", "s1", "s2"))

    def test_refusal_that_does_not_say_not_run_is_no_promise(self):
        """A 503 of a server may come after it ran; told on, it promises."""

        async def body(place):
            place.fault(silent_503=True)
            filed = await place.request("a", "/file/x", "POST", b"deposit")
            read = await place.request("b")
            return filed, place.ran("a"), read

        filed, ran, read = self.play(body)
        self.assertEqual((502, 1), (filed.status, ran))
        self.assertEqual("unknown", filed.headers["request-ran"])
        self.assertNotIn("upstream-signature", filed.headers)
        self.assertEqual(502, read.status)

    def test_read_is_tried_elsewhere_after_each_kind_of_failure(self):
        for fault in ("reset", "cut", "fail", "unsigned", "other_id", "shed"):

            async def body(place, fault=fault):
                place.fault(**{fault: True})
                setattr(place.servers["s1"].faults, fault, False)
                found = [await place.request(f"a{n}") for n in range(6)]
                return [answer.status for answer in found]

            self.assertEqual([200] * 6, self.play(body), fault)

    def test_unrepeatable_request_runs_once_whatever_fails(self):
        for fault in ("reset", "cut", "unsigned", "other_id", "fail"):

            async def body(place, fault=fault):
                place.fault(**{fault: True})
                answer = await place.request("a", "/file/x", "POST", b"deposit")
                return answer.status, place.ran("a")

            status, ran = self.play(body)
            self.assertEqual(1, ran, fault)
            self.assertIn(status, (500, 502, 504), fault)

    def test_refused_by_all_is_told_as_not_run_with_a_time(self):
        async def body(place):
            place.fault(shed=True)
            answer = await place.request("a", "/file/x", "POST", b"deposit")
            return answer, place.ran("a")

        answer, ran = self.play(body)
        self.assertEqual((503, 0), (answer.status, ran))
        self.assertEqual("no", answer.headers["request-ran"])
        self.assertGreater(float(answer.headers["retry-after"]), 0)

    def test_busy_servers_are_waited_for_and_then_refused_at_once(self):
        async def body(place):
            for one in place.servers.values():
                one.running = one.slots
            began = asyncio.get_running_loop().time()
            answer = await place.request("a")
            return answer.status, asyncio.get_running_loop().time() - began

        status, took_s = self.play(body)
        self.assertEqual(503, status)
        self.assertLess(took_s, 0.05)

    def test_urgent_request_waits_longer_for_a_free_server(self):
        async def body(place):
            routes = [
                harness.route("read", "safe", "/read/", priority=2),
                harness.route("file", "unsafe", "/file/", priority=1),
            ]
            place.put_document(routes)
            await asyncio.sleep(0.05)
            for one in place.servers.values():
                one.running = one.slots
            asyncio.get_running_loop().call_later(
                0.04, lambda: setattr(place.servers["s2"], "running", 0)
            )
            found = await asyncio.gather(
                place.request("a"), place.request("b", "/file/x", "POST", b"x")
            )
            return [answer.status for answer in found]

        self.assertEqual([503, 200], self.play(body))

    def test_slot_that_frees_in_time_is_taken(self):
        async def body(place):
            for one in place.servers.values():
                one.running = one.slots
            asyncio.get_running_loop().call_later(
                0.012, lambda: setattr(place.servers["s2"], "running", 0)
            )
            return (await place.request("a")).status

        self.assertEqual(200, self.play(body))

    def test_late_second_answer_is_given_to_nobody_else(self):
        async def body(place):
            place.fault(twice=True, twice_after=0.0)
            found = [await place.request(f"a{n}") for n in range(8)]
            place.fault(twice_after=0.004)
            found += [await place.request(f"b{n}") for n in range(8)]
            return [answer.body.split()[0] for answer in found]

        wanted = [f"{name}{n}".encode() for name in "ab" for n in range(8)]
        self.assertEqual(wanted, self.play(body))

    def test_answer_that_ends_with_its_connection_is_whole(self):
        async def body(place):
            place.fault(unframed=True)
            return await place.request("a")

        answer = self.play(body)
        self.assertEqual(200, answer.status)
        self.assertTrue(answer.body.startswith(b"a at s"))

    def test_time_limit_of_the_route_is_kept(self):
        async def body(place):
            place.fault(mute=True)
            began = asyncio.get_running_loop().time()
            answer = await place.request(
                "a", "/file/x", "POST", b"x", deadline_ms=5000
            )
            took_s = asyncio.get_running_loop().time() - began
            await asyncio.sleep(0.1)
            dropped = sum(one.dropped for one in place.servers.values())
            return answer, took_s, dropped

        answer, took_s, dropped = self.play(body)
        self.assertEqual(504, answer.status)
        self.assertEqual("unknown", answer.headers["request-ran"])
        self.assertLess(abs(took_s - 0.8), 0.05)
        self.assertEqual(1, dropped)

    def test_server_that_falls_silent_is_left_for_reads(self):
        async def body(place):
            asyncio.get_running_loop().call_later(0.03, place.fault)
            caller = await harness.Caller.connect(place)
            caller.send("a")
            await asyncio.sleep(0.03)
            (busy,) = [s for s in place.servers.values() if s.running]
            busy.work_s = 3600
            busy.faults.silent = True
            busy.running = 0
            for task in list(busy.tasks):
                task.cancel()
            answer = await caller.read()
            caller.close()
            return answer.status

        self.assertEqual(200, self.play(body))

    def test_try_goes_on_when_only_the_question_whether_it_lives_is_lost(self):
        # A lost question once ended a try after 0.34 s, at whose server the
        # request was running, and the caller got a failure in its place.
        async def body(place):
            for one in place.servers.values():
                one.work_s = 0.3
            caller = await harness.Caller.connect(place)
            caller.send("a")
            await asyncio.sleep(0.03)
            place.fault(silent=True)
            answer = await caller.read()
            caller.close()
            return answer.status

        self.assertEqual(200, self.play(body))

    def test_servers_that_tell_no_load_are_not_asked_again(self):
        async def body(place):
            for one in place.servers.values():
                one.tells_load = False
            await place.request("first")
            asked = sum(one.asked for one in place.servers.values())
            calls = [place.request(f"a{number}") for number in range(6)]
            found = await asyncio.gather(*calls)
            after = sum(one.asked for one in place.servers.values())
            each = sorted(len(one.seen) for one in place.servers.values())
            return [answer.status for answer in found], after - asked, each

        statuses, asked, each = self.play(body)
        self.assertEqual(([200] * 6, 0), (statuses, asked))
        self.assertIn(each, ([2, 2, 3], [1, 3, 3]))

    def test_second_server_is_looked_for_until_there_is_one(self):
        # One look at the wrong moment once left a read without an answer
        # whose first server had lost it.
        async def body(place):
            place.fault(mute=True)
            caller = await harness.Caller.connect(place)
            caller.send("a")
            await asyncio.sleep(0.05)
            place.fault(mute=False)
            for one in place.servers.values():
                one.running = one.slots
            await asyncio.sleep(0.25)
            for one in place.servers.values():
                one.running = 0
            answer = await caller.read()
            caller.close()
            return answer.status

        self.assertEqual(200, self.play(body))

    def test_lost_answer_of_a_read_is_made_up_by_another_server(self):
        async def body(place):
            place.fault(lose=True)
            caller = await harness.Caller.connect(place)
            caller.send("a")
            await asyncio.sleep(0.05)
            place.fault(lose=False)
            for one in place.servers.values():
                one.faults.lose = one.ran["a"] > 0
            answer = await caller.read()
            caller.close()
            return answer.status

        self.assertEqual(200, self.play(body))

    def test_server_at_work_for_long_is_left_to_it(self):
        async def body(place):
            for one in place.servers.values():
                one.work_s = 0.17
            await place.request("a")
            return place.ran("a")

        self.assertEqual(1, self.play(body))

    def test_servers_that_all_call_themselves_unfit_are_used(self):
        async def body(place):
            place.fault(ill=True)
            return (await place.request("a")).status

        self.assertEqual(200, self.play(body))

    def test_server_that_calls_itself_unfit_is_left_to_others(self):
        async def body(place):
            place.servers["s0"].faults.ill = True
            for number in range(12):
                await place.request(f"a{number}")
            return len(place.servers["s0"].seen)

        self.assertEqual(0, self.play(body))
