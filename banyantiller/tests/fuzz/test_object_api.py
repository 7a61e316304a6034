"""Answers of the object API, and requests to the stand-in."""

import asyncio
import json

from hypothesis import strategies as st

from banyantiller.config import defaults
from banyantiller.store import interface, kubernetes
from banyantiller.tests.base import TestCase
from banyantiller.tests.faults import seeds
from banyantiller.tests.fuzz import mutations, raw

HOST = "127.0.0.1"
PORT = 7000
TIMEOUT_S = 1.0
SILENCE_S = 2.0
SLACK_S = 10.0
OBJECT = {
    "metadata": {"name": "n1", "resourceVersion": "7", "labels": {"a": "b"}},
    "spec": {"x": 1},
}
LIST = {"metadata": {"resourceVersion": "9", "continue": ""}, "items": [OBJECT]}
STATUS = {"kind": "Status", "status": "Failure", "reason": "x", "code": 409}
EVENT = {"type": "MODIFIED", "object": OBJECT}
BOOKMARK = {
    "type": "BOOKMARK",
    "object": {"metadata": {"resourceVersion": "12"}},
}
ITEM = interface.StoredObject("heads", "n1", "7", {"x": 1})


def answer(value, status=b"200 OK"):
    body = json.dumps(value).encode()
    head = b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n" % (status, len(body))
    return head + body


def stream(*values):
    lines = [json.dumps(value).encode() + b"\n" for value in values]
    chunks = [b"%x\r\n%s\r\n" % (len(line), line) for line in lines]
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    return head + b"".join(chunks)


ANSWERS = (
    answer(OBJECT),
    answer(LIST),
    answer(STATUS, b"409 Conflict"),
    answer(STATUS, b"404 Not Found"),
    answer(STATUS, b"410 Gone"),
    answer(STATUS, b"503 No"),
    stream(EVENT, BOOKMARK, {"type": "ERROR", "object": STATUS}),
    stream(EVENT) + b"0\r\n\r\n",
)
TOKENS = (
    b"\r\n",
    b"\x00",
    b"null",
    b"[]",
    b"{",
    b'"',
    b"1e999",
    b"\xff",
    b"Content-Length: 1\r\n",
    b"Content-Length: 99999999999\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"[" * 3000,
    b"fffffffff\r\n",
)
READS = interface.Found | interface.Missing | interface.Unavailable
WRITES = (
    interface.Found
    | interface.Missing
    | interface.Conflict
    | interface.Unavailable
    | interface.Unknown
)
CUTS = st.lists(st.integers(0, 400), max_size=2)


class ObjectApiAnswersTest(TestCase):
    def setUp(self):
        super().setUp()
        self.seen = set()

    async def use(self, data, cuts, closes):
        """Makes each call against a server that answers with the bytes."""
        listener = await raw.start(HOST, PORT, data, cuts, closes)
        store = kubernetes.KubernetesStore.from_settings(
            defaults.ObjectApiSettings(
                defaults.Endpoint(HOST, PORT),
                timeout_s=TIMEOUT_S,
                bookmark_s=SILENCE_S,
            ),
            "fleet",
        )
        await self.call(store)
        await store.close()
        listener.close()

    async def call(self, store):
        found = await self.in_time(store.get("heads", "n1"))
        self.assertIsInstance(found, READS)
        listed = await self.in_time(store.list("heads"))
        self.assertIsInstance(listed, interface.Listed | interface.Unavailable)
        for write in (
            store.create("heads", "n1", {"x": 1}),
            store.update(ITEM, {"x": 2}),
            store.delete(ITEM),
        ):
            written = await self.in_time(write)
            self.assertIsInstance(written, WRITES)
            if isinstance(written, interface.Found):
                self.assertEqual("n1", written.item.name)
        await self.in_time(self.watch(store))

    async def in_time(self, call):
        async with asyncio.timeout(SLACK_S):
            outcome = await call
        self.seen.add(type(outcome))
        return outcome

    async def watch(self, store):
        last = None
        async for event in store.watch("heads", "3"):
            self.assertIsInstance(event, interface.WatchEvent)
            last = event
        self.assertIsInstance(last, interface.Gone | interface.Unavailable)

    def test_damaged_answers(self):
        seeds.explore(
            lambda *chosen: self.run_paused(self.use(*chosen)),
            100,
            mutations.mutated(ANSWERS, TOKENS),
            CUTS,
            st.booleans(),
        )
        expected = {
            interface.Found,
            interface.Listed,
            interface.Missing,
            interface.Conflict,
            interface.Unavailable,
            interface.Unknown,
        }
        self.assertEqual(set(), expected - self.seen)

    def test_bytes(self):
        seeds.explore(
            lambda *chosen: self.run_paused(self.use(*chosen)),
            30,
            st.binary(max_size=40),
            CUTS,
            st.booleans(),
        )
