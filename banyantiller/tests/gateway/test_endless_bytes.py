"""Tests of servers and callers that send bytes without end."""

import asyncio
import tracemalloc

from banyantiller.gateway import exchange, gateway
from banyantiller.http import connection
from banyantiller.tests import base
from banyantiller.tests.gateway import harness
from banyantiller.utils import framing
from standins import endless_server

# Longer than a rejected connection stays open.
SEND_S = 1.5
# The smallest chunk of which any number may follow.
SMALL_CHUNK = b"5\r\nabcde\r\n"
# Bytes that a request may have beyond its content: its head and framing, and
# what the sockets buffer.
MAX_SENT_BYTES = 1 << 18


class EndlessProbeTest(harness.TestCase):
    def probe(self, pattern):
        """Probes a server that answers with a pattern.

        Returns:
            The candidates, the probes counted as missed, and the connections
            that are still open.
        """

        async def body(env):
            server = endless_server.EndlessServer(pattern)
            port = await server.start(harness.ADDRESS)
            env.servers["bad"] = server
            env.register("bad", port=port)
            await asyncio.sleep(0.5)
            entry = env.gateway.store_view.table.entries["bad"]
            found = await env.gateway.prober.probe([entry], "/health")
            await asyncio.sleep(0.2)
            return found, entry.health.missed_responses, len(server.open)

        return self.play(body)

    def test_endless_answer_to_a_probe_counts_as_no_response(self):
        """A body without end ended the probe with an unhandled exception.

        The server never counted as unresponsive and was probed for each call.
        """
        for name, pattern in endless_server.NO_ANSWER.items():
            self.assertEqual(([], 1, 0), self.probe(pattern), name)

    def test_endless_other_answers_to_a_probe_are_given_up(self):
        """Answers to other requests were skipped without a limit."""
        other = (
            endless_server.OK + b"attempt-id: b\r\ncontent-length: 0\r\n\r\n"
        )
        pattern = endless_server.Pattern(b"", endless_server.repeated(other))
        skipped = []

        def expect_again(link, request):
            skipped.append(link)
            return original(link, request)

        original = connection.ClientConnection.expect_again
        self.patch(connection.ClientConnection, "expect_again", expect_again)
        self.assertEqual(([], 1, 0), self.probe(pattern))
        self.assertLessEqual(len(skipped), exchange.MAX_STRAY_RESPONSES)


class EndlessBodiesTest(harness.TestCase):
    def test_endless_responses_leave_memory_to_others(self):
        """Each response could take 16 MiB, however many there were."""
        pattern = endless_server.NO_ANSWER["body without length"]
        count = 10

        async def body(env):
            bad = []
            for number in range(count):
                server = endless_server.EndlessServer(pattern, healthy=True)
                port = await server.start(harness.ADDRESS)
                bad.append(server)
                env.servers[f"bad{number}"] = server
                env.register(f"bad{number}", "other", port=port)
            routes = [
                harness.route("read", "safe", "/read/"),
                harness.route("bad", "unsafe", "/bad/", "other", timeoutS=3),
            ]
            env.put_document(routes)
            await asyncio.sleep(0.5)
            endless = [
                asyncio.ensure_future(
                    env.request(f"b{number}", "/bad/x", deadline_ms=3000)
                )
                for number in range(count)
            ]
            good = []
            peak = 0
            while not all(one.done() for one in endless):
                good.append((await env.request(f"g{len(good)}")).status)
                sent = [sum(server.open.values()) for server in bad]
                peak = max(peak, sum(sent))
            statuses = {(await one).status for one in endless}
            return statuses, set(good), peak

        statuses, good, peak = self.play(body)
        # A server may be found failing before its call is sent.
        self.assertLessEqual(statuses, {502, 503})
        self.assertEqual({200}, good)
        limit = gateway.MAX_RESPONSE_MEMORY_BYTES + count * MAX_SENT_BYTES
        self.assertLess(peak, limit)


class EndlessRequestTest(harness.TestCase):
    def test_endless_request_is_rejected_by_size(self):
        """Tiny chunks were read until the body's timeout, 30 s."""

        async def body(env, pattern):
            caller = await harness.Caller.connect(env)
            caller.writer.write(pattern.begin)
            sent = 0
            reading = asyncio.ensure_future(caller.read())
            while not reading.done() and sent < 2 * MAX_SENT_BYTES:
                caller.writer.write(pattern.part)
                sent += len(pattern.part)
                await asyncio.sleep(endless_server.PART_S)
            answer = await reading if reading.done() else None
            reading.cancel()
            caller.close()
            await asyncio.sleep(1.5)
            left = len(env.gateway.connections)
            memory = env.gateway.buffered_body_bytes
            return answer and answer.status, sent, left, memory

        for name, pattern in endless_server.NO_REQUEST.items():
            status, sent, left, memory = self.play(
                lambda env, pattern=pattern: body(env, pattern)
            )
            self.assertIn(status, (400, 431), name)
            self.assertLess(sent, MAX_SENT_BYTES, name)
            self.assertEqual((0, 0), (left, memory), name)

    def test_small_chunks_take_no_more_memory_than_their_content(self):
        """Each chunk was kept as an object of 38 bytes and more."""
        chunks = 16000

        async def body(env):
            caller = await harness.Caller.connect(env)
            caller.writer.write(endless_server.CHUNKED_POST)
            await asyncio.sleep(0.1)
            (accepted,) = env.gateway.connections
            tracemalloc.start()
            for _ in range(chunks // framing.PARTS_PER_STEP):
                accepted.data_received(SMALL_CHUNK * framing.PARTS_PER_STEP)
                await asyncio.sleep(0.001)
            taken, _ = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            content = accepted.incoming.meter.content
            caller.close()
            return content, taken

        content, taken = self.play(body)
        self.assertEqual(5 * chunks, content)
        self.assertLess(taken, 3 * content)

    def test_other_tasks_run_while_small_chunks_are_parsed(self):
        """All chunks of one read were parsed in one step of the loop."""
        chunks = 3000
        data = b"10\r\n0123456789abcdef\r\n" * chunks + b"0\r\n\r\n"

        async def body(env):
            caller = await harness.Caller.connect(env)
            caller.writer.write(endless_server.CHUNKED_POST)
            await asyncio.sleep(0.1)
            (accepted,) = env.gateway.connections
            steps = base.LoopSteps()
            accepted.data_received(data)
            for _ in range(chunks):
                if accepted.pipeline[0].call is not None:
                    break
                await asyncio.sleep(0)
            count = steps.stop()
            answer = await caller.read()
            caller.close()
            bodies = [b for s in env.servers.values() for b in s.bodies]
            return count, answer.status, [len(one) for one in bodies]

        steps, status, lengths = self.play(body)
        self.assertGreaterEqual(steps, chunks // 100)
        self.assertEqual((200, [16 * chunks]), (status, lengths))

    def test_bytes_after_a_rejection_are_read_up_to_a_limit(self):
        """Gigabytes were read within the second before the close."""

        async def body(env):
            caller = await harness.Caller.connect(env)
            caller.writer.write(b"no request\r\n\r\n")
            answer = await caller.read()
            sent = await endless_server.send(caller.writer, b"z", SEND_S)
            return answer.status, sent

        status, sent = self.play(body)
        self.assertEqual(400, status)
        self.assertLess(sent, framing.MAX_DISCARDED_BYTES + MAX_SENT_BYTES)
