"""Answers of the platform's store and of other daemons, damaged."""

import asyncio

from hypothesis import strategies as st

from banyantiller.config.defaults import Endpoint
from banyantiller.gateway import peers
from banyantiller.platform import store as stores
from banyantiller.store import interface
from banyantiller.tests.base import TestCase
from banyantiller.tests.faults import seeds
from banyantiller.tests.fuzz import mutations, raw
from banyantiller.tests.fuzz.test_object_api import CUTS, TOKENS, answer

HOST = "127.0.0.1"
PORT = 7000
WAIT_S = 0.5
LONGEST_S = 10.0
ITEM = {
    "metadata": {"name": "n1", "revision": 7, "created": 1, "finalizers": []},
    "spec": {"x": 1},
    "status": None,
}
PAGE = {"items": [ITEM], "more": False, "currentRev": 9}
ENDLESS = {"items": [ITEM], "more": True, "currentRev": 9}
EVENTS = {"events": [{"object": ITEM, "removed": True}], "currentRev": 9}
TOLD = {
    "events": [{"name": "n1", "version": "8", "value": {}, "removed": False}],
    "version": "9",
    "sharers": 2,
    "age_ms": 10,
}
TOLD_LIST = {"items": TOLD["events"], "version": "9"}
ANSWERS = tuple(answer(value) for value in (PAGE, EVENTS, TOLD)) + (
    answer(TOLD_LIST).replace(b"\r\n", b"\r\nage-ms: 10\r\n", 1),
    answer(PAGE, b"410 Gone"),
    answer(PAGE, b"429 Busy"),
)


class AnswersTest(TestCase):
    def setUp(self):
        super().setUp()
        self.seen = set()

    async def use(self, data, cuts, closes):
        """Makes each call against a server that answers with the bytes."""
        listener = await raw.start(HOST, PORT, data, cuts, closes)
        store = stores.PlatformStore.from_address(HOST, PORT)
        peer = peers.Peer(Endpoint(HOST, PORT), "d1", True, 1.4)
        try:
            async with asyncio.timeout(LONGEST_S):
                await self.call(store, peer)
        finally:
            await store.close()
            await peer.client.close()
            listener.close()

    async def call(self, store, peer):
        listed = await store.list("config")
        self.assertIsInstance(listed, interface.Listed | interface.Unavailable)
        found = await store.changes("config", "7", WAIT_S)
        kinds = interface.Changes | interface.Gone | interface.Unavailable
        self.assertIsInstance(found, kinds)
        told = await peer.changes("config", "7", WAIT_S)
        kinds = interface.Changes | interface.Gone | peers.PeerRefusal
        self.assertIsInstance(told, kinds)
        told_list = await peer.list("config")
        self.assertIsInstance(told_list, peers.PeerList | peers.PeerRefusal)
        self.seen |= {type(one) for one in (listed, found, told, told_list)}

    def check(self, data, cuts, closes):
        self.run_paused(self.use(data, cuts, closes))

    def test_damaged_answers(self):
        data = mutations.mutated(ANSWERS, TOKENS)
        seeds.explore(self.check, 150, data, CUTS, st.booleans())
        wanted = {
            interface.Listed,
            interface.Changes,
            interface.Unavailable,
            peers.PeerList,
        }
        self.assertEqual(set(), wanted - self.seen)

    def test_pages_without_end_are_given_up(self):
        self.check(answer(ENDLESS), [], False)
        self.assertIn(interface.Unavailable, self.seen)
        self.assertNotIn(interface.Listed, self.seen)
