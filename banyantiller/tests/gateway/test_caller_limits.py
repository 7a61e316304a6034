"""Tests of refusals by size that rest on limits nobody has told yet."""

import asyncio

from banyantiller.gateway import types
from banyantiller.tests.gateway import harness

LARGE_HEAD_BYTES = 24000
PART_BYTES = 20000
LARGE_BODY = b"x" * 150000


async def send_large_head(caller, request_id):
    """Sends a head in two parts, the first one over the usual limit."""
    head = (
        f"GET /read/x HTTP/1.1\r\nhost: {harness.HOST}\r\n"
        f"attempt-id: {request_id}\r\ndeadline-ms: 1000\r\n"
        f"note: {'x' * LARGE_HEAD_BYTES}\r\n\r\n"
    ).encode()
    caller.writer.write(head[:PART_BYTES])
    await asyncio.sleep(0.01)
    caller.writer.write(head[PART_BYTES:])


class LimitsTest(harness.TestCase):
    def test_large_head_before_the_first_document_is_not_refused_for_good(self):
        """A daemon that just started refuses a head by a limit of its own.

        It knows no document, so the limit that it applies is its default, and
        the operators may allow more. A caller never repeats a request that got
        431. Seen: `gateway: request rejected. kind=head_too_large` for a head
        of 24,000 bytes where 65,536 are allowed.
        """

        async def body(place):
            place.put_document(maxHeaderBytes=65536)
            place.store.faults.silent = True
            await place.start_gateway()
            caller = await harness.Caller.connect(place)
            await send_large_head(caller, "a")
            answer = await caller.read()
            return answer.status, answer.headers["request-ran"]

        self.assertEqual((503, "no"), self.play(body))

    def test_large_body_before_the_first_document_is_not_refused_for_good(self):
        """A daemon that just started refuses a body by a limit of its own.

        The same as for a head: 413 is final, and the limit was a default. A
        smaller default stands for the real one of 64 MB here. Seen: `gateway:
        request rejected. kind=body_too_large` for a body of 150,000 bytes where
        200,000 are allowed and 100,000 are the default.
        """

        async def body(place):
            place.put_document(maxBodyBytes=200000)
            place.store.faults.silent = True
            await place.start_gateway()
            default = types.CallerLimits()._replace(body_bytes=100000)
            place.gateway.store_view.caller_limits = default
            answer = await place.request("a", "/file/x", "POST", LARGE_BODY)
            return answer.status, answer.headers["request-ran"]

        self.assertEqual((503, "no"), self.play(body))

    def test_raised_limit_holds_for_open_connections(self):
        """A head that the document in force allows is refused.

        The largest head was fixed for a connection's next request when the one
        before it was read, or when the connection was opened, so a connection
        that rested while operators raised the limit kept the earlier one. Seen:
        `gateway: request rejected. kind=head_too_large` for a head of 24,000
        bytes, a second after 65,536 came into force.
        """

        async def body(place):
            unused = await harness.Caller.connect(place)
            used = await harness.Caller.connect(place)
            used.send("a")
            await used.read()
            place.put_document(maxHeaderBytes=65536)
            await asyncio.sleep(1)
            statuses = []
            for number, caller in enumerate((unused, used)):
                await send_large_head(caller, f"b{number}")
                statuses.append((await caller.read()).status)
            return statuses

        self.assertEqual([200, 200], self.play(body))

    def test_lowered_limit_holds_for_open_connections(self):
        """A head that the document in force does not allow is served.

        The other side of the same cause. Seen: status 200 for a head of 24,000
        bytes, a second after the limit was lowered from 65,536 to 16,384.
        """

        async def body(place):
            place.put_document(maxHeaderBytes=65536)
            await asyncio.sleep(1)
            caller = await harness.Caller.connect(place)
            place.put_document(maxHeaderBytes=16384)
            await asyncio.sleep(1)
            await send_large_head(caller, "a")
            return (await caller.read()).status

        self.assertEqual(431, self.play(body))

    def test_size_over_an_old_limit_is_not_refused_for_good(self):
        """Limits that may be out of date refuse a request for good.

        The store gave no answer for 13 s, in which operators raised the limit
        from 100,000 to 200,000 bytes. Seen: `gateway: request rejected.
        kind=body_too_large` and 413 for a body of 150,000 bytes; the same with
        431 for a head.
        """

        async def body(place):
            await place.request("a")
            place.store.faults.silent = True
            place.put_document(maxBodyBytes=200000, maxHeaderBytes=65536)
            await asyncio.sleep(13)
            filed = await place.request("b", "/file/x", "POST", LARGE_BODY)
            caller = await harness.Caller.connect(place)
            await send_large_head(caller, "c")
            read = await caller.read()
            return [
                (answer.status, answer.headers["request-ran"])
                for answer in (filed, read)
            ]

        self.assertEqual([(503, "no")] * 2, self.play(body))
