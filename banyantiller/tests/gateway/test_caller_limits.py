"""Tests of size limits that are defaults, changed or out of date."""

import asyncio

from banyantiller.gateway import types
from banyantiller.tests.gateway import harness

LARGE_HEAD_BYTES = 24000
FIRST_CHUNK_BYTES = 20000
LARGE_BODY = b"x" * 150000


async def send_large_head(caller, request_id):
    """Sends a head in two chunks; the first exceeds the default limit."""
    head = (
        f"GET /read/x HTTP/1.1\r\nhost: {harness.HOST}\r\n"
        f"attempt-id: {request_id}\r\ndeadline-ms: 1000\r\n"
        f"note: {'x' * LARGE_HEAD_BYTES}\r\n\r\n"
    ).encode()
    caller.writer.write(head[:FIRST_CHUNK_BYTES])
    await asyncio.sleep(0.01)
    caller.writer.write(head[FIRST_CHUNK_BYTES:])


class LimitsTest(harness.TestCase):
    def test_large_head_before_the_first_document_can_be_retried(self):
        """A daemon without a document rejects a head by its default limit.

        The document may allow more, and callers never repeat a request that got
        431. Failure: `gateway: request rejected. kind=head_too_large` for a
        head of 24,000 bytes where 65,536 are allowed.
        """

        async def body(env):
            env.put_document(maxHeaderBytes=65536)
            env.store.faults.silent = True
            await env.start_gateway()
            caller = await harness.Caller.connect(env)
            await send_large_head(caller, "a")
            answer = await caller.read()
            return answer.status, answer.headers["request-ran"]

        self.assertEqual((503, "no"), self.play(body))

    def test_large_body_before_the_first_document_can_be_retried(self):
        """A daemon without a document rejects a body by its default limit.

        Callers never repeat a request that got 413. The test uses a smaller
        default than the real one of 64 MB. Failure: `gateway: request rejected.
        kind=body_too_large` for a body of 150,000 bytes where 200,000 are
        allowed and 100,000 are the default.
        """

        async def body(env):
            env.put_document(maxBodyBytes=200000)
            env.store.faults.silent = True
            await env.start_gateway()
            default = types.CallerLimits()._replace(body_bytes=100000)
            env.gateway.store_view.caller_limits = default
            answer = await env.request("a", "/file/x", "POST", LARGE_BODY)
            return answer.status, answer.headers["request-ran"]

        self.assertEqual((503, "no"), self.play(body))

    def test_raised_limit_applies_to_open_connections(self):
        """A head that the document in force allows is rejected.

        If the limit is fixed when a connection is opened or its previous
        request was read, an idle connection keeps the old limit after it is
        raised. Failure: `gateway: request rejected. kind=head_too_large` for a
        head of 24,000 bytes, 1 s after 65,536 came into force.
        """

        async def body(env):
            unused = await harness.Caller.connect(env)
            used = await harness.Caller.connect(env)
            used.send("a")
            await used.read()
            env.put_document(maxHeaderBytes=65536)
            await asyncio.sleep(1)
            statuses = []
            for number, caller in enumerate((unused, used)):
                await send_large_head(caller, f"b{number}")
                statuses.append((await caller.read()).status)
            return statuses

        self.assertEqual([200, 200], self.play(body))

    def test_lowered_limit_applies_to_open_connections(self):
        """A head that the document in force does not allow is served.

        The cause is the same as for a raised limit. Failure: status 200 for a
        head of 24,000 bytes, 1 s after the limit was lowered from 65,536 to
        16,384.
        """

        async def body(env):
            env.put_document(maxHeaderBytes=65536)
            await asyncio.sleep(1)
            caller = await harness.Caller.connect(env)
            env.put_document(maxHeaderBytes=16384)
            await asyncio.sleep(1)
            await send_large_head(caller, "a")
            return (await caller.read()).status

        self.assertEqual(431, self.play(body))

    def test_size_over_an_outdated_limit_can_be_retried(self):
        """A limit that may be out of date leads to a final rejection.

        The store does not respond for 13 s, during which the limit is raised
        from 100,000 to 200,000 bytes. Failure: `gateway: request rejected.
        kind=body_too_large` and 413 for a body of 150,000 bytes; the same with
        431 for a head.
        """

        async def body(env):
            await env.request("a")
            env.store.faults.silent = True
            env.put_document(maxBodyBytes=200000, maxHeaderBytes=65536)
            await asyncio.sleep(13)
            file_reply = await env.request("b", "/file/x", "POST", LARGE_BODY)
            caller = await harness.Caller.connect(env)
            await send_large_head(caller, "c")
            read = await caller.read()
            return [
                (answer.status, answer.headers["request-ran"])
                for answer in (file_reply, read)
            ]

        self.assertEqual([(503, "no")] * 2, self.play(body))
