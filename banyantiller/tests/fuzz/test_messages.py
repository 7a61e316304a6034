"""Bytes from peers."""

import cbor2
from hypothesis import strategies as st

from banyantiller.membership import messages
from banyantiller.tests.base import TestCase
from banyantiller.tests.faults import seeds
from banyantiller.tests.fuzz import mutations

ENTRY = messages.MemberEntry("d2", 5, 1, 2, "127.0.0.1", 9, "z", 3)
SAMPLES = (
    messages.Hello(1, 1, "fleet", "d1", "z", 7, "127.0.0.1", 8, b"p" * 32),
    messages.Heartbeat(4, 2, b"12345678"),
    messages.Members((ENTRY, ENTRY._replace(daemon="d3"))),
    messages.BundleOffer(b"{}"),
    messages.BundleRequest(3),
    messages.PartRequest((b"x" * 32,)),
    messages.PartData(b"{}"),
    messages.ServersLeaving("desk", ("s1", "s2"), 3),
)
# Heads of CBOR items: long lengths, open-ended items, tags, special floats.
TOKENS = (
    b"\x9b\x00\x00\x00\xff\xff\xff\xff\xff",
    b"\x5b\x7f\xff\xff\xff\xff\xff\xff\xff",
    b"\xbb\x00\x00\x00\xff\xff\xff\xff\xff",
    b"\x9f",
    b"\xbf",
    b"\x5f",
    b"\xff",
    b"\xd8\x1c",
    b"\xd8\x1d\x00",
    b"\xc2\x49\x01\x00\x00\x00\x00\x00\x00\x00\x00",
    b"\xc0",
    b"\xd8\x23\x61(",
    b"\xd9\x01\x02",
    b"\xf9\x7e\x00",
    b"\xf6",
    b"\xf7",
    b"\x81" * 3000,
)
JSON_LIKE = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(1 << 70), 1 << 70)
    | st.floats()
    | st.text(max_size=5)
    | st.binary(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=2), inner, max_size=2)
    ),
    max_leaves=8,
)


class PeerMessagesTest(TestCase):
    def decode(self, data):
        try:
            message = messages.decode(data)
        except messages.MessageError as error:
            self.assertLess(len(str(error)), 2000)
            return
        if message is not None:
            self.assertIn(type(message), messages.TYPE_NUMBERS)
            self.assertEqual(message, messages.decode(messages.encode(message)))

    def test_damaged_messages(self):
        data = tuple(messages.encode(sample) for sample in SAMPLES)
        seeds.explore(self.decode, 400, mutations.mutated(data, TOKENS))

    def test_bytes(self):
        seeds.explore(self.decode, 200, st.binary(max_size=40))

    def test_fields_of_any_type(self):
        numbers = st.integers(-1, 12)

        def check(number, items):
            self.decode(cbor2.dumps([number, *items]))

        items = st.lists(JSON_LIKE, max_size=10)
        seeds.explore(check, 300, numbers, items)
