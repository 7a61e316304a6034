"""Tests of callers: sending ahead, bodies, limits and leaving."""

import asyncio

from banyantiller.gateway import caller as caller_module
from banyantiller.tests.gateway import harness


class CallersTest(harness.TestCase):
    def test_pipelined_reads_run_at_once_and_are_answered_in_order(self):
        async def body(place):
            caller = await harness.Caller.connect(place)
            for name in ("a", "b", "c"):
                caller.send(name)
            answers = [await caller.read() for _ in range(3)]
            caller.close()
            return answers

        answers = self.play(body)
        texts = [answer.body.split()[0] for answer in answers]
        self.assertEqual([b"a", b"b", b"c"], texts)
        self.assertLess(sum(answer.took_s for answer in answers), 0.12)

    def test_half_a_head_is_waited_for_and_not_polled(self):
        """Looking at it again and again would take the whole processor."""
        looks = []
        read_on = caller_module.CallerConnection._read_on

        def counted(connection):
            looks.append(connection)
            if len(looks) < 50:
                read_on(connection)

        async def body(place):
            caller = await harness.Caller.connect(place)
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
            caller = await harness.Caller.connect(place)
            caller.send("a")
            caller.send("b", "/file/x", "POST", b"deposit")
            await asyncio.sleep(0.03)
            early = place.ran("b")
            answers = [await caller.read() for _ in range(2)]
            caller.close()
            return early, [answer.status for answer in answers], place.ran("b")

        self.assertEqual((0, [200, 200], 1), self.play(body))

    def test_caller_that_leaves_ends_the_work(self):
        async def body(place):
            caller = await harness.Caller.connect(place)
            caller.send("a")
            await asyncio.sleep(0.03)
            caller.close()
            await asyncio.sleep(0.02)
            return sum(one.dropped for one in place.servers.values())

        self.assertEqual(1, self.play(body))

    def test_too_large_body_is_answered_while_it_is_still_sent(self):
        async def body(place):
            caller = await harness.Caller.connect(place)
            caller.writer.write(
                b"POST /file/x HTTP/1.1\r\nhost: desk.example\r\n"
                b"content-length: 200000\r\n\r\n"
            )
            for _ in range(20):
                caller.writer.write(b"x" * 10000)
                await asyncio.sleep(0.01)
            answer = await caller.read()
            await asyncio.sleep(1.5)
            left = (
                len(place.gateway.connections),
                place.gateway.buffered_body_bytes,
            )
            return answer.status, left

        self.assertEqual((413, (0, 0)), self.play(body))

    def test_bodies_without_room_are_refused_as_not_run(self):
        async def body(place):
            place.gateway.buffered_body_bytes = caller_module.MAX_BODY_BYTES
            answer = await place.request("a", "/file/x", "POST", b"deposit")
            return answer.status, answer.headers["request-ran"]

        self.assertEqual((503, "no"), self.play(body))

    def test_path_without_a_route_is_told_so(self):
        async def body(place):
            return (await place.request("a", "/none/")).status

        self.assertEqual(404, self.play(body))

    def test_ambiguous_length_is_refused_and_nothing_is_sent(self):
        async def body(place):
            caller = await harness.Caller.connect(place)
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
            caller = await harness.Caller.connect(place)
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
            caller = await harness.Caller.connect(place)
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
