"""Tests of whole calls: callers, gateway, store and servers."""

import asyncio

from banyantiller.gateway import caller as caller_module
from banyantiller.tests import base
from banyantiller.tests.gateway import world


class ServingTest(base.TestCase):
    def play(self, body, **more):
        """Runs `body(world)` in a world on the paused clock."""

        async def whole():
            async with world.World(**more) as place:
                return await body(place)

        return self.run_paused(whole())

    def test_answer_is_the_servers_own(self):
        async def body(place):
            return await place.ask("a1")

        answer = self.play(body)
        self.assertEqual(200, answer.status)
        self.assertTrue(answer.body.startswith(b"a1 at s"))
        self.assertTrue(answer.headers["upstream-signature"].startswith("by."))

    def test_server_gets_what_is_left_of_the_time_and_its_name(self):
        async def body(place):
            await place.ask("a1", deadline_ms=500)
            return [h for s in place.servers.values() for h in s.seen]

        (head,) = self.play(body)
        self.assertIn(int(head["deadline-ms"]), range(470, 501))
        self.assertIn(head["target-instance"], ("s0", "s1", "s2"))

    def test_pipelined_reads_run_at_once_and_are_answered_in_order(self):
        async def body(place):
            caller = await world.Caller.connect(place)
            for name in ("a", "b", "c"):
                caller.send(name)
            answers = [await caller.read() for _ in range(3)]
            caller.close()
            return answers

        answers = self.play(body)
        texts = [answer.body.split()[0] for answer in answers]
        self.assertEqual([b"a", b"b", b"c"], texts)
        self.assertLess(sum(answer.took_s for answer in answers), 0.12)

    def test_refusal_that_does_not_say_not_run_is_no_promise(self):
        """A 503 of a server may come after it ran; told on, it promises."""

        async def body(place):
            place.fault(silent_503=True)
            filed = await place.ask("a", "/file/x", "POST", b"deposit")
            read = await place.ask("b")
            return filed, place.ran("a"), read

        filed, ran, read = self.play(body)
        self.assertEqual((502, 1), (filed.status, ran))
        self.assertEqual("unknown", filed.headers["request-ran"])
        self.assertNotIn("upstream-signature", filed.headers)
        self.assertEqual(502, read.status)

    def test_half_a_head_is_waited_for_and_not_polled(self):
        """Looking at it again and again would take the whole processor."""
        looks = []
        read_on = caller_module.CallerConnection._read_on

        def counted(connection):
            looks.append(connection)
            if len(looks) < 50:
                read_on(connection)

        async def body(place):
            caller = await world.Caller.connect(place)
            caller.writer.write(b"GET /read/x HTTP/1.1\r\nHost: desk")
            await asyncio.sleep(0.5)
            caller.writer.write(b".example\r\nAttempt-Id: a\r\n\r\nGET /re")
            answer = await caller.read()
            await asyncio.sleep(0.5)
            caller.writer.write(b"ad/x HTTP/1.1\r\nHost: desk.example\r\n")
            caller.writer.write(b"Attempt-Id: b\r\n\r\n")
            return answer.status, (await caller.read()).status

        caller_module.CallerConnection._read_on = counted
        try:
            self.assertEqual((200, 200), self.play(body))
        finally:
            caller_module.CallerConnection._read_on = read_on
        self.assertLess(len(looks), 10)

    def test_unrepeatable_request_behind_another_waits_for_its_turn(self):
        async def body(place):
            caller = await world.Caller.connect(place)
            caller.send("a")
            caller.send("b", "/file/x", "POST", b"deposit")
            await asyncio.sleep(0.03)
            early = place.ran("b")
            answers = [await caller.read() for _ in range(2)]
            caller.close()
            return early, [answer.status for answer in answers], place.ran("b")

        self.assertEqual((0, [200, 200], 1), self.play(body))

    def test_read_is_tried_elsewhere_after_each_kind_of_failure(self):
        for fault in ("reset", "cut", "fail", "unsigned", "other_id", "shed"):

            async def body(place, fault=fault):
                place.fault(**{fault: True})
                setattr(place.servers["s1"].faults, fault, False)
                found = [await place.ask(f"a{n}") for n in range(6)]
                return [answer.status for answer in found]

            self.assertEqual([200] * 6, self.play(body), fault)

    def test_unrepeatable_request_runs_once_whatever_fails(self):
        for fault in ("reset", "cut", "unsigned", "other_id", "fail"):

            async def body(place, fault=fault):
                place.fault(**{fault: True})
                answer = await place.ask("a", "/file/x", "POST", b"deposit")
                return answer.status, place.ran("a")

            status, ran = self.play(body)
            self.assertEqual(1, ran, fault)
            self.assertIn(status, (500, 502, 504), fault)

    def test_refused_by_all_is_told_as_not_run_with_a_time(self):
        async def body(place):
            place.fault(shed=True)
            answer = await place.ask("a", "/file/x", "POST", b"deposit")
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
            answer = await place.ask("a")
            return answer.status, asyncio.get_running_loop().time() - began

        status, took_s = self.play(body)
        self.assertEqual(503, status)
        self.assertLess(took_s, 0.05)

    def test_urgent_request_waits_longer_for_a_free_server(self):
        async def body(place):
            routes = [
                world.route("read", "safe", "/read/", priority=2),
                world.route("file", "unsafe", "/file/", priority=1),
            ]
            place.put_document(routes)
            await asyncio.sleep(0.05)
            for one in place.servers.values():
                one.running = one.slots
            asyncio.get_running_loop().call_later(
                0.04, lambda: setattr(place.servers["s2"], "running", 0)
            )
            found = await asyncio.gather(
                place.ask("a"), place.ask("b", "/file/x", "POST", b"x")
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
            return (await place.ask("a")).status

        self.assertEqual(200, self.play(body))

    def test_late_second_answer_is_given_to_nobody_else(self):
        async def body(place):
            place.fault(twice=True, twice_after=0.0)
            found = [await place.ask(f"a{n}") for n in range(8)]
            place.fault(twice_after=0.004)
            found += [await place.ask(f"b{n}") for n in range(8)]
            return [answer.body.split()[0] for answer in found]

        wanted = [f"{name}{n}".encode() for name in "ab" for n in range(8)]
        self.assertEqual(wanted, self.play(body))

    def test_answer_that_ends_with_its_connection_is_whole(self):
        async def body(place):
            place.fault(unframed=True)
            return await place.ask("a")

        answer = self.play(body)
        self.assertEqual(200, answer.status)
        self.assertTrue(answer.body.startswith(b"a at s"))

    def test_time_limit_of_the_route_is_kept(self):
        async def body(place):
            place.fault(mute=True)
            began = asyncio.get_running_loop().time()
            answer = await place.ask(
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

    def test_caller_that_leaves_ends_the_work(self):
        async def body(place):
            caller = await world.Caller.connect(place)
            caller.send("a")
            await asyncio.sleep(0.03)
            caller.close()
            await asyncio.sleep(0.02)
            return sum(one.dropped for one in place.servers.values())

        self.assertEqual(1, self.play(body))

    def test_server_that_falls_silent_is_left_for_reads(self):
        async def body(place):
            asyncio.get_running_loop().call_later(0.03, place.fault)
            caller = await world.Caller.connect(place)
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
            caller = await world.Caller.connect(place)
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
            await place.ask("first")
            asked = sum(one.asked for one in place.servers.values())
            calls = [place.ask(f"a{number}") for number in range(6)]
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
            caller = await world.Caller.connect(place)
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

    def test_too_large_body_is_answered_while_it_is_still_sent(self):
        async def body(place):
            caller = await world.Caller.connect(place)
            caller.writer.write(
                b"POST /file/x HTTP/1.1\r\nhost: desk.example\r\n"
                b"content-length: 200000\r\n\r\n"
            )
            for _ in range(20):
                caller.writer.write(b"x" * 10000)
                await asyncio.sleep(0.01)
            answer = await caller.read()
            await asyncio.sleep(1.5)
            left = len(place.gateway.connections), place.gateway.body_bytes
            return answer.status, left

        self.assertEqual((413, (0, 0)), self.play(body))

    def test_bodies_without_room_are_refused_as_not_run(self):
        async def body(place):
            place.gateway.body_bytes = caller_module.MOST_BODY_BYTES
            answer = await place.ask("a", "/file/x", "POST", b"deposit")
            return answer.status, answer.headers["request-ran"]

        self.assertEqual((503, "no"), self.play(body))

    def test_lost_answer_of_a_read_is_made_up_by_another_server(self):
        async def body(place):
            place.fault(lose=True)
            caller = await world.Caller.connect(place)
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
            await place.ask("a")
            return place.ran("a")

        self.assertEqual(1, self.play(body))

    def test_servers_that_all_call_themselves_unfit_are_used(self):
        async def body(place):
            place.fault(ill=True)
            return (await place.ask("a")).status

        self.assertEqual(200, self.play(body))

    def test_server_that_calls_itself_unfit_is_left_to_others(self):
        async def body(place):
            place.servers["s0"].faults.ill = True
            for number in range(12):
                await place.ask(f"a{number}")
            return len(place.servers["s0"].seen)

        self.assertEqual(0, self.play(body))

    def test_path_without_a_route_is_told_so(self):
        async def body(place):
            return (await place.ask("a", "/none/")).status

        self.assertEqual(404, self.play(body))

    def test_ambiguous_length_is_refused_and_nothing_is_sent(self):
        async def body(place):
            caller = await world.Caller.connect(place)
            caller.writer.write(
                b"POST /file/x HTTP/1.1\r\nhost: desk.example\r\n"
                b"content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n"
                b"0\r\n\r\nGET /read/smuggled HTTP/1.1\r\nhost: x\r\n\r\n"
            )
            answer = await caller.read()
            rest = await caller.read()
            seen = [h for s in place.servers.values() for h in s.seen]
            return answer.status, rest, seen

        self.assertEqual((400, None, []), self.play(body))

    def test_chunked_body_arrives_whole(self):
        async def body(place):
            caller = await world.Caller.connect(place)
            caller.writer.write(
                b"POST /file/x HTTP/1.1\r\nhost: desk.example\r\n"
                b"attempt-id: a\r\ntransfer-encoding: chunked\r\n\r\n"
                b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
            )
            answer = await caller.read()
            caller.close()
            bodies = [b for s in place.servers.values() for b in s.bodies]
            return answer.status, bodies

        self.assertEqual((200, [b"abcde"]), self.play(body))

    def test_idle_connection_ends_after_the_limit_and_not_before(self):
        async def body(place):
            caller = await world.Caller.connect(place)
            caller.send("a")
            await caller.read()
            await asyncio.sleep(14)
            caller.send("b")
            second = await caller.read()
            began = asyncio.get_running_loop().time()
            end = await caller.read()
            return second.status, end, asyncio.get_running_loop().time() - began

        status, end, idle_s = self.play(body)
        self.assertEqual((200, None), (status, end))
        self.assertLess(abs(idle_s - 15), 0.5)
