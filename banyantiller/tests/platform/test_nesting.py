"""Tests of objects in the store that are nested too deep to be decoded.

Guards against one object that stops what reads all of them: deep JSON in one
registration raised RecursionError, no daemon listed the servers any more, and
after a restart of all daemons none got ready.
"""

import asyncio
import json
import time

import hypothesis
import msgspec
from hypothesis import strategies

from banyantiller.platform import documents, nesting, registrations, responses
from banyantiller.proxy import load
from banyantiller.tests import base
from banyantiller.tests.gateway import harness
from banyantiller.utils import decoding

DEPTHS = (nesting.MAX_DEPTH + 1, 900, 1200, 200_000)
SCALARS = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.floats(allow_nan=False),
    strategies.text(),
)
VALUES = strategies.recursive(
    SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(), inner, max_size=4)
    ),
)
FIELD_NAMES = (
    "service", "address", "zone", "maxConcurrency", "state", "warmupLeftS",
    "born", "version", "routes", "services", "limits", "tenants",
)  # fmt: skip


def deep(depth, opening="[", closing="]"):
    """Returns JSON text with nested arrays."""
    return opening * depth + closing * depth


def depth_of(value):
    """Returns the depth of a value that is not deep."""
    if isinstance(value, list | dict):
        items = value.values() if isinstance(value, dict) else value
        return 1 + max(map(depth_of, items), default=0)
    return 0


def wrapped(value, around):
    """Returns a value inside of nested objects and arrays."""
    for _ in range(around):
        value = {'[{"\\': [value]}
    return value


def cut_by_recursion(value, allowed=nesting.MAX_DEPTH):
    """Returns a value without what is too deep, the plain way."""
    if not isinstance(value, list | dict):
        return value
    if not allowed:
        return None
    if isinstance(value, list):
        return [cut_by_recursion(one, allowed - 1) for one in value]
    return {
        name: cut_by_recursion(one, allowed - 1) for name, one in value.items()
    }


class NestingTest(base.TestCase):
    @hypothesis.given(VALUES, strategies.integers(0, 120))
    def test_only_what_is_too_deep_is_cut_whatever_strings_contain(
        self, value, around
    ):
        value = wrapped(value, around)
        expected = cut_by_recursion(value)
        text = json.dumps([value]).encode()
        cut = nesting.cut_deep_text(text, 1)
        self.assertEqual([expected], json.loads(cut))
        if depth_of(value) <= nesting.MAX_DEPTH:
            self.assertEqual(text, cut)
        self.assertEqual(expected, nesting.cut_deep_values(json.loads(text)[0]))

    def test_values_of_any_depth_are_cut(self):
        for depth in DEPTHS:
            text = f'{{"a":[[1],{deep(depth)},{{"b":"]"}}]}}'.encode()
            kept = json.loads(nesting.cut_deep_text(text, 2))["a"]
            self.assertEqual([[1], {"b": "]"}], [kept[0], kept[2]])
            self.assertEqual(nesting.MAX_DEPTH, depth_of(kept[1]))

    def test_time_is_linear_for_malformed_text(self):
        """Guards against hours in the event loop for 1 MB without an end."""
        for part in (b'\\"', b'"', b"[", b'{"', b"\\", b'["\\"'):
            text = b'["' + part * (1_000_000 // len(part))
            started_at = time.process_time()
            nesting.cut_deep_text(text, 3)
            self.assertLess(time.process_time() - started_at, 5.0)


class DecodersTest(base.TestCase):
    """Each decoder reports what it can't read, whatever that is."""

    @hypothesis.given(
        strategies.dictionaries(strategies.sampled_from(FIELD_NAMES), VALUES)
    )
    def test_decoders_of_objects_raise_nothing_but_value_errors(self, value):
        for read in (
            documents.read_document,
            lambda value: registrations.read_server("i", value),
        ):
            try:
                read(value)
            except ValueError:
                continue

    def test_deep_messages_are_unreadable(self):
        for depth in DEPTHS[1:]:
            self.assertRaises(
                decoding.UnreadableError,
                decoding.from_json,
                deep(depth),
                msgspec.Raw if depth > 900 else dict[str, int],
            )
            packed = b"\x91" * depth + b"\x01"
            self.assertRaises(
                decoding.UnreadableError, decoding.from_msgpack, packed, int
            )

    def test_deep_load_report_is_ignored(self):
        text = '{"named_metrics":{},"x":' + deep(1200) + "}"
        self.assertIsNone(load.read_header(f"JSON {text}".encode()))


class DeepObjectTest(harness.TestCase):
    """A fleet with one deep object in the store serves, also after a start."""

    def play_start(self, kind, name, text):
        """Returns the status at a daemon that ran, and at a new one."""

        async def body(env):
            env.store.put_text(kind, name, text.encode())
            await asyncio.sleep(1.0)
            await env.add_server("later")
            await asyncio.sleep(1.0)
            first = (await env.request("a")).status
            known = "later" in env.gateway.store_view.table.entries
            await env.start_gateway(name="d2")
            await asyncio.sleep(0.2)
            ready = not env.gateway.not_ready_reason()
            return first, known, ready, (await env.request("b")).status

        return self.play(body)

    def test_deep_registration_leaves_the_others(self):
        for depth in DEPTHS:
            for text in (deep(depth), f'{{"service":{deep(depth)}}}'):
                self.assertEqual(
                    (200, True, True, 200),
                    self.play_start("servers", "other", text),
                )

    def test_deep_document_keeps_the_one_in_force(self):
        async def body(env):
            text = '{"version":' + deep(1200) + "}"
            env.store.put_text("config", "main", text.encode())
            await asyncio.sleep(1.0)
            return (await env.request("a")).status

        self.assertEqual(200, self.play(body))

    def test_object_whose_decoder_fails_leaves_the_others(self):
        async def body(env):
            view = env.gateway.store_view
            read_server = view.adapter.read_server

            def fail(name, value):
                if name == "other":
                    raise RecursionError
                return read_server(name, value)

            view.adapter = view.adapter._replace(read_server=fail)
            env.store.put("servers", "other", {})
            await asyncio.sleep(1.0)
            await env.add_server("later")
            await asyncio.sleep(1.0)
            return "later" in view.table.entries

        self.assertTrue(self.play(body))


class DecodeTest(base.TestCase):
    def test_page_that_is_deep_outside_of_its_objects_is_an_error(self):
        for text in (f'{{"items":{deep(1200)}}}', deep(1200)):
            self.assertRaises(
                ValueError, responses.decode, text.encode(), responses.LIST_FORM
            )
