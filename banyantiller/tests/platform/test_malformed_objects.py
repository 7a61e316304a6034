"""Tests of objects in the store whose content is no JSON.

Guards against one object that spoils its whole page: a `NaN`, a cut-off
text or a control character in one registration, and no daemon that started
afterwards knew any server.
"""

import asyncio
import json
import random

import hypothesis
from hypothesis import strategies

from banyantiller.platform import responses, store
from banyantiller.store import interface, versions
from banyantiller.tests import base
from banyantiller.tests.gateway import harness

UNREAD_FIELD = (
    '{"service":"orders","address":"127.0.0.1:9","zone":"zone-a",'
    '"version":"v1","maxConcurrency":2,"state":"ready","warmupLeftS":0,'
    '"sequence":1,"note":%s}'
)
# What other writers may emit in place of a value.
ODD_VALUES = (
    "NaN", "Infinity", "-Infinity", '"a\nb"', '"a\0b"', '"\\x41"', "[1,]",
    "01", "'a'", "bare", "[1,2", '{"a":1', '"cut', "\ufeff1", "1 2", "",
    '"\\ud800"', "1e400", "9" * 4000, "9" * 5000, str(10**30),
    "[" * 1200 + "]" * 1200, "[" * 3000, '{"a":1,"a":2}', "//", "1}, {",
    '{"metadata":{"name":"later","revision":1},"spec":{"x":NaN}}',
)  # fmt: skip
ODD_BYTES = (b'"\xff\xfe"', b"\xff", b'{"a":"\xc3"}')
ODD_CONTENTS = (
    *(text.encode() for text in ODD_VALUES),
    *((UNREAD_FIELD % text).encode() for text in ODD_VALUES),
    *ODD_BYTES,
)
SLOW = hypothesis.settings(max_examples=300, deadline=None)


class MalformedObjectTest(harness.TestCase):
    def play_start(self, contents, page=500):
        """Returns what a daemon that ran knows, and a new one, and serves."""

        async def body(env):
            env.store.faults.page = page
            for number, content in enumerate(contents):
                # Names before, between and behind those of the servers.
                name = f"{'asz'[number % 3]}-other-{number}"
                env.store.put_text("servers", name, content)
            await asyncio.sleep(1.0)
            await env.add_server("later")
            await asyncio.sleep(1.0 + 0.1 * len(contents))
            views = [env.gateway.store_view]
            await env.start_gateway(name="d2")
            await asyncio.sleep(0.2 + 0.1 * len(contents))
            views.append(env.gateway.store_view)
            known = [
                {n for n in view.table.entries if "other" not in n}
                for view in views
            ]
            return known, views[1].registrations.listed, await env.request("b")

        return self.play(body)

    def check_start(self, contents, **more):
        known, listed, answer = self.play_start(contents, **more)
        self.assertEqual([{"s0", "s1", "s2", "later"}] * 2, known)
        self.assertTrue(listed)
        self.assertEqual(200, answer.status)

    def test_no_content_costs_more_than_its_own_object(self):
        for content in ODD_CONTENTS:
            with self.subTest(content=content[:60]):
                self.check_start([content])

    def test_many_malformed_objects_leave_the_others(self):
        self.check_start(ODD_CONTENTS)

    def test_malformed_objects_on_several_pages_leave_the_others(self):
        self.check_start(ODD_CONTENTS[:8], page=2)

    def test_server_with_a_strange_value_in_an_unread_field_is_used(self):
        async def body(env):
            target = env.servers["s0"]
            for text in ("NaN", '"a\nb"', "[" * 1200 + "]" * 1200):
                content = UNREAD_FIELD % text
                content = content.replace(":9", f":{target.port}")
                env.store.put_text("servers", "strange", content.encode())
                await asyncio.sleep(1.0)
                if "strange" not in env.gateway.store_view.table.entries:
                    return text
            return ""

        self.assertEqual("", self.play(body))

    def test_document_with_a_strange_value_in_an_unread_field_is_in_force(self):
        """Guards against a fleet without a document for an unread field."""

        async def body(env, text):
            env.put_document([harness.route("new", "safe", "/new/")])
            good = json.dumps(env.store.objects["config"]["main"]["spec"])
            content = good[:-1] + f',"version":99,"note":{text}}}'
            env.store.put_text("config", "main", content.encode())
            await asyncio.sleep(1.0)
            first = env.gateway.store_view.version
            await env.start_gateway(name="d2")
            await asyncio.sleep(0.2)
            answer = await env.request("a", "/new/x")
            return first, env.gateway.store_view.version, answer.status

        for text in ("NaN", "[" * 65 + "]" * 65, "[" * 900 + "]" * 900,
                     '{"a":' * 1200 + "1" + "}" * 1200):  # fmt: skip
            with self.subTest(text=text[:20]):
                found = self.play(lambda env, text=text: body(env, text))
                self.assertEqual((99, 99, 200), found)

    def test_daemon_serves_on_while_no_page_can_be_read(self):
        async def body(env):
            before = env.http.handler

            async def handle(request):
                response = await before(request)
                return response._replace(body=b'{"items": oops')

            env.http.handler = handle
            env.store.forget()
            await asyncio.sleep(5.0)
            return await env.request("a"), env.gateway.not_ready_reason()

        answer, reason = self.play(body)
        self.assertEqual(200, answer.status)
        self.assertEqual("", reason)


def version_of(stand_in):
    """Returns the version of a stand-in of the store."""
    return versions.StoreVersion(stand_in.era, stand_in.revision).to_text()


class PagesTest(harness.TestCase):
    """What was read around a malformed object belongs together."""

    def play_list(self, change):
        """Returns a list during which `change(env)` runs, and its changes."""

        async def body(env):
            reader = env.gateway.adapter.store
            env.store.put_text("servers", "s1-other", b'{"a":[1,')
            before = env.http.handler
            calls = []

            async def handle(request):
                response = await before(request)
                if "watch" not in request.query:
                    calls.append(request.query.get("after", ""))
                    if len(calls) == 3:
                        change(env)
                return response

            env.http.handler = handle
            listed = await reader.list("servers")
            changes = await reader.changes("servers", listed.version, 0.0)
            return listed, changes, calls

        return self.play(body)

    def test_change_behind_the_first_part_is_told_by_the_next_watch(self):
        """Guards against a revision that is newer than what was read."""
        listed, changes, calls = self.play_list(
            lambda env: env.register("s0", state="draining")
        )
        self.assertEqual(["", "~", "", "s1-other"], calls)
        self.assertEqual(
            ["s0", "s1", "s1-other", "s2"], [item.name for item in listed.items]
        )
        self.assertEqual(["s0"], [one.item.name for one in changes.events])

    def test_malformed_object_has_no_content(self):
        listed, _, _ = self.play_list(lambda env: None)
        contents = {item.name: item.value for item in listed.items}
        self.assertIsNone(contents["s1-other"])
        self.assertEqual("orders", contents["s2"]["service"])

    def test_changes_behind_a_malformed_one_are_told_at_once(self):
        async def body(env):
            reader = env.gateway.adapter.store
            version = version_of(env.store)
            env.register("s0", state="draining")
            env.store.put_text("servers", "s1-other", b'"cut')
            env.store.put_text("servers", "s1-odd", b"bare")
            env.register("s2", state="draining")
            changes = await reader.changes("servers", version, 1.0)
            return changes, version_of(env.store)

        changes, version = self.play(body)
        names = [event.item.name for event in changes.events]
        self.assertEqual(["s0", "s1-other", "s1-odd", "s2"], names)
        self.assertEqual(version, changes.version)

    def test_list_without_an_end_is_given_up(self):
        """Guards against a read that goes on for ever and fills the memory."""

        async def body(env):
            before = env.http.handler
            calls = []

            async def handle(request):
                calls.append(request)
                response = await before(request)
                page = json.loads(response.body)
                for item in page["items"]:
                    item["metadata"]["name"] = f"n{len(calls):06d}"
                page["more"] = True
                body = json.dumps(page).encode()
                return response._replace(body=body)

            env.http.handler = handle
            return await env.gateway.adapter.store.list("servers"), len(calls)

        outcome, calls = self.play(body)
        self.assertIsInstance(outcome, interface.Unavailable)
        self.assertEqual(store.MAX_PARTS, calls)


class DecodeTest(base.TestCase):
    """A response raises nothing but value errors, whatever is in it."""

    def page(self, contents):
        """Returns a page of objects with contents in bytes."""
        parts = [
            b'{"metadata":{"name":"n%d","revision":%d},"spec":%s,"status":null}'
            % (number, number + 1, content)
            for number, content in enumerate(contents)
        ]
        whole = b",".join(parts)
        return b'{"items":[%s],"more":false,"currentRev":50}' % whole

    @SLOW
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(ODD_CONTENTS) | strategies.binary(),
            max_size=3,
        )
    )
    def test_objects_before_a_malformed_one_are_read(self, contents):
        good = b'{"service":"orders"}'
        part = responses.decode(
            self.page([good, *contents, good]), responses.LIST_FORM
        )
        names = [item["metadata"]["name"] for item in part.elements]
        self.assertEqual("n0", names[0])
        self.assertEqual(good, bytes(part.elements[0]["spec"]))

    @SLOW
    @hypothesis.given(strategies.integers(0, 10**6))
    def test_cut_or_changed_responses_raise_value_errors_only(self, seed):
        rng = random.Random(seed)
        whole = bytearray(self.page([b'{"a":[1,{"b":"c"}]}'] * 3))
        for _ in range(rng.randint(1, 4)):
            whole[rng.randrange(len(whole))] = rng.randrange(256)
        del whole[rng.randrange(len(whole)) :]
        for form in (responses.LIST_FORM, responses.CHANGES_FORM):
            try:
                responses.decode(bytes(whole), form)
            except ValueError:
                continue
