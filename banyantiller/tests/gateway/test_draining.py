"""Tests of draining: no call in flight is cut."""

import asyncio

from banyantiller.gateway import gateway as gateways
from banyantiller.tests.gateway import harness

DRAIN_S = 6.0
WORK_S = 0.24


class DrainingTest(harness.TestCase):
    def test_call_after_all_connections_closed_is_not_cut(self):
        async def body(env):
            for server in env.servers.values():
                server.work_s = 0.5
            caller = await harness.Caller.connect(env)
            caller.send("before")
            await caller.read()
            drain_task = asyncio.ensure_future(env.gateway.drain(DRAIN_S))
            await asyncio.sleep(0.1)
            # The last connection closes, and a new one is opened just before
            # the gateway stops listening.
            caller.close()
            await asyncio.sleep(gateways.DRAIN_LISTEN_S - 0.2)
            answer = asyncio.ensure_future(env.request("late"))
            cut = await drain_task
            return cut, await answer

        cut, answer = self.play(body)
        self.assertEqual(0, cut)
        self.assertEqual(200, answer.status)

    def test_idle_connections_are_closed_and_busy_ones_get_connection_close(
        self,
    ):
        async def body(env):
            for server in env.servers.values():
                server.work_s = 0.5
            idle = await harness.Caller.connect(env)
            busy = await harness.Caller.connect(env)
            drain_task = asyncio.ensure_future(env.gateway.drain(DRAIN_S))
            await asyncio.sleep(gateways.DRAIN_LISTEN_S - 0.1)
            busy.send("a")
            idle_reply = await idle.read()
            answer = await busy.read()
            return idle_reply, answer, await drain_task

        idle_reply, answer, cut = self.play(body)
        self.assertIsNone(idle_reply)
        self.assertEqual(200, answer.status)
        self.assertEqual("close", answer.headers["connection"])
        self.assertEqual(0, cut)

    def test_call_in_flight_after_the_drain_time_is_counted_as_cut(self):
        async def body(env):
            route = harness.route("file", "unsafe", "/file/", timeoutS=60)
            env.put_document([route])
            await asyncio.sleep(0.1)
            env.fault(mute=True)
            caller = await harness.Caller.connect(env)
            caller.send("a", "/file/x", "POST", deadline_ms=60000)
            await asyncio.sleep(0.1)
            return await env.gateway.drain(DRAIN_S)

        self.assertEqual(1, self.play(body))


class PipelinedDrainTest(harness.TestCase):
    """Guards against calls that are cut at the end of a drain.

    A caller that sent each request before the reply to the one before was never
    told to close its connection: requests sent over 3 s after the shutdown
    began were passed on, and cut when the process ended.
    """

    async def send_always_ahead(self, caller, in_flight, method, state):
        """Keeps requests in flight until the connection closes."""
        path = "/read/x" if method == "GET" else "/file/x"
        waiting = []
        number = 0
        while True:
            while len(waiting) < in_flight:
                name = f"{id(caller)}-{number}"
                number += 1
                caller.send(name, path, method, b"x" * (method == "POST"))
                waiting.append(name)
                # The requests of a caller don't come at one moment.
                await asyncio.sleep(WORK_S / in_flight)
            answer = await caller.read()
            if answer is None:
                break
            state["answered"].append(waiting.pop(0))
            state["statuses"].add(answer.status)
            if answer.headers.get("connection") == "close":
                state["closed"] += 1
                break
        state["unanswered"] += waiting

    def play_drain(self, in_flight, method="GET"):
        """Returns the calls cut, what callers saw, and what servers ran."""

        async def body(env):
            for server in env.servers.values():
                server.work_s = WORK_S
            state = {
                "answered": [], "unanswered": [], "statuses": set(),
                "closed": 0,
            }  # fmt: skip
            callers = [await harness.Caller.connect(env) for _ in range(2)]
            tasks = [
                asyncio.ensure_future(
                    self.send_always_ahead(caller, in_flight, method, state)
                )
                for caller in callers
            ]
            await asyncio.sleep(1.0)
            cut = await env.gateway.drain(DRAIN_S)
            await asyncio.wait(tasks, timeout=2.0)
            ran = [name for name in state["unanswered"] if env.ran(name)]
            twice = [name for name in state["answered"] if env.ran(name) > 1]
            return cut, state, ran, twice

        return self.play(body)

    def check_drain(self, in_flight, method="GET"):
        cut, state, ran, twice = self.play_drain(in_flight, method)
        self.assertEqual(0, cut)
        self.assertEqual(2, state["closed"])
        # Callers send what was not answered again, of any method.
        self.assertEqual([], ran)
        if method == "POST":
            self.assertEqual([], twice)

    def test_caller_with_a_further_read_in_flight_is_told_to_close(self):
        self.check_drain(2)

    def test_caller_with_a_full_pipeline_is_told_to_close(self):
        self.check_drain(20)

    def test_requests_that_are_not_idempotent_are_not_run_behind_a_close(self):
        self.check_drain(4, "POST")

    def test_caller_whose_next_request_is_never_complete_is_told_to_close(self):
        async def body(env):
            caller = await harness.Caller.connect(env)
            for server in env.servers.values():
                server.work_s = 0.5
            drain = asyncio.ensure_future(env.gateway.drain(DRAIN_S))
            await asyncio.sleep(gateways.DRAIN_LISTEN_S - 0.1)
            caller.send("a")
            caller.writer.write(b"GET /read/x HTTP/1.1\r\nhost:")
            answer = await caller.read()
            return answer, await drain

        answer, cut = self.play(body)
        self.assertEqual(200, answer.status)
        self.assertEqual("close", answer.headers["connection"])
        self.assertEqual(0, cut)

    def test_part_of_a_request_that_is_not_read_gets_no_reply(self):
        """Guards against a second reply, for a timeout of the unread head."""

        async def body(env):
            env.put_document(
                [harness.route("read", "safe", "/read/", timeoutS=9)],
                headerTimeoutS=0.3,
            )
            await asyncio.sleep(0.1)
            for server in env.servers.values():
                server.work_s = 1.0
            caller = await harness.Caller.connect(env)
            drain = asyncio.ensure_future(env.gateway.drain(DRAIN_S))
            await asyncio.sleep(gateways.DRAIN_LISTEN_S - 0.1)
            caller.send("a", deadline_ms=5000)
            caller.writer.write(b"GET /read/x HTTP/1.1\r\nhost:")
            replies = [await caller.read(), await caller.read()]
            return replies, await drain

        (first, second), cut = self.play(body)
        self.assertEqual(
            (200, "close"), (first.status, first.headers.get("connection"))
        )
        self.assertIsNone(second)
        self.assertEqual(0, cut)


class LateStartTest(harness.TestCase):
    """Guards against calls that are cut since they start too late in a drain.

    A request that was complete just before the exit was passed on and cut, and
    one that waited for a server then ended with a closed connection. Neither
    caller knew that a retry elsewhere was safe or useful.
    """

    def play_drain(self, send, document=None, before=None):
        """Returns the reply, the calls cut, and how often the request ran.

        Args:
            send: Sends a request on a connection; its begin was sent already.
            document: Routes of the document, or None for the usual ones.
            before: Begin of the request, sent before the shutdown.
        """

        async def body(env):
            if document is not None:
                env.put_document(document)
                await asyncio.sleep(0.1)
            for server in env.servers.values():
                server.work_s = WORK_S
            self.assertEqual(200, (await env.request("b", "/file/")).status)
            caller = await harness.Caller.connect(env)
            if before is not None:
                caller.writer.write(before)
            drain = asyncio.ensure_future(env.gateway.drain(DRAIN_S))
            await send(caller)
            answer = asyncio.ensure_future(caller.read())
            cut = await drain
            # The process exits.
            for connection in list(env.gateway.connections):
                connection.transport.abort()
            return await answer, cut, env.ran("a")

        return self.play(body)

    def check_refused(self, answer, cut, ran):
        self.assertEqual(0, cut)
        self.assertEqual(0, ran)
        self.assertIsNotNone(answer)
        self.assertEqual(503, answer.status)
        self.assertEqual("no", answer.headers["request-ran"])
        self.assertEqual("close", answer.headers["connection"])
        self.assertLess(float(answer.headers["retry-after"]), 0.1)

    def play_body_that_ends(self, at_s):
        async def send(caller):
            await asyncio.sleep(at_s)
            caller.writer.write(b"67890")

        head = (
            "POST /file/x HTTP/1.1",
            f"host: {harness.HOST}",
            "attempt-id: a",
            "deadline-ms: 9000",
            "content-length: 10",
        )
        begin = "\r\n".join(head) + "\r\n\r\n12345"
        return self.play_drain(send, before=begin.encode())

    def test_request_that_is_complete_too_late_is_refused_as_not_run(self):
        limit_s = DRAIN_S - gateways.SHUTDOWN_RESERVE_S
        for left_s in (0.01, 0.05, WORK_S / 2):
            self.check_refused(*self.play_body_that_ends(limit_s - left_s))

    def test_request_that_is_complete_in_time_is_served(self):
        limit_s = DRAIN_S - gateways.SHUTDOWN_RESERVE_S
        answer, cut, ran = self.play_body_that_ends(limit_s - 2 * WORK_S)
        self.assertEqual((200, 0, 1), (answer.status, cut, ran))

    def test_call_that_waits_for_a_server_is_refused_before_the_exit(self):
        slow = {"timeoutS": 60, "targetLatencyS": 40}
        document = [
            harness.route("read", "safe", "/read/", "other", **slow),
            harness.route("file", "unsafe", "/file/"),
        ]
        for send_at_s in (0.0, gateways.DRAIN_LISTEN_S - 0.1):

            async def send(caller, send_at_s=send_at_s):
                await asyncio.sleep(send_at_s)
                caller.send("a", deadline_ms=60000)

            self.check_refused(*self.play_drain(send, document))

    def test_call_that_waited_before_the_shutdown_is_refused_as_well(self):
        slow = {"timeoutS": 60, "targetLatencyS": 40}
        document = [
            harness.route("read", "safe", "/read/", "other", **slow),
            harness.route("file", "unsafe", "/file/"),
        ]

        async def body(env):
            env.put_document(document)
            caller = await harness.Caller.connect(env)
            await asyncio.sleep(0.1)
            caller.send("a", deadline_ms=60000)
            await asyncio.sleep(0.5)
            drain = asyncio.ensure_future(env.gateway.drain(DRAIN_S))
            answer = await caller.read()
            return answer, await drain, env.ran("a")

        self.check_refused(*self.play(body))
