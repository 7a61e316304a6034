"""Tests of the adapter against the stand-in and raw responses."""

import asyncio
import json

from banyantiller.config import defaults
from banyantiller.http import messages, server
from banyantiller.http import server_connection as connections
from banyantiller.store import interface, kubernetes
from banyantiller.tests import base
from banyantiller.tests.store import contract
from standins import object_api

ADDRESS = "127.0.0.1"
TIMEOUT_S = 2.0
BOOKMARK_S = 3.0


async def connect(handler):
    """Starts a server; returns a store that uses it and a function to close."""
    listener = server.HttpServer(handler, messages.Limits(body_bytes=4 << 20))
    bound = await listener.start(ADDRESS, 0)
    settings = defaults.ObjectApiSettings(
        endpoint=defaults.Endpoint(ADDRESS, bound.port),
        timeout_s=TIMEOUT_S,
        bookmark_s=BOOKMARK_S,
    )
    store = kubernetes.KubernetesStore.from_settings(settings, "fleet-1")

    async def close():
        await store.close()
        await listener.close()

    return store, close


class AdapterTestCase(base.TestCase):
    def run_with(self, handler, check):
        """Runs `check(store)` against a server with the handler."""

        async def body():
            store, close = await connect(handler)
            try:
                return await check(store)
            finally:
                await close()

        return self.run_paused(body())

    def run_with_api(self, check):
        """Runs `check(store, api)` against the stand-in."""
        api = object_api.ObjectApi()

        async def body(store):
            return await check(store, api)

        return self.run_with(api.handle, body)


class KubernetesContractTest(contract.StoreContract, AdapterTestCase):
    def run_with_store(self, check):
        self.run_with(object_api.ObjectApi().handle, check)


class FaultTest(AdapterTestCase):
    def test_lost_response_is_unknown_and_took_effect(self):
        async def check(store, api):
            api.faults.lose_answers = 1
            lost = await store.create("k", "a", {"n": 1})
            return lost, await store.get("k", "a")

        lost, found = self.run_with_api(check)
        self.assertIsInstance(lost, interface.Unknown)
        self.assertEqual({"n": 1}, found.item.value)

    def test_slow_write_is_unknown_and_takes_effect_late(self):
        async def check(store, api):
            api.faults.slow = 5.0
            outcome = await store.create("k", "a", {})
            api.faults.slow = 0.0
            before = await store.get("k", "a")
            await asyncio.sleep(5)
            return outcome, before, await store.get("k", "a")

        outcome, before, after = self.run_with_api(check)
        self.assertIsInstance(outcome, interface.Unknown)
        self.assertEqual(interface.Missing(), before)
        self.assertIsInstance(after, interface.Found)

    def test_down_and_cut(self):
        async def check(store, api):
            found = []
            for fault in ("down", "cut"):
                setattr(api.faults, fault, True)
                found.append(await store.create("k", "a", {}))
                found.append(await store.get("k", "a"))
                found.append(await store.list("k"))
                found.append(await anext(store.watch("k", "1")))
                setattr(api.faults, fault, False)
            return [type(outcome) for outcome in found]

        refused = interface.Unavailable
        expected = [refused] * 4 + [interface.Unknown] + [refused] * 3
        self.assertEqual(expected, self.run_with_api(check))

    def test_refused_connection_is_unavailable(self):
        async def body():
            settings = defaults.ObjectApiSettings(defaults.Endpoint(ADDRESS, 1))
            store = kubernetes.KubernetesStore.from_settings(settings, "f")
            return await store.create("k", "a", {})

        self.assertIsInstance(self.run_paused(body()), interface.Unavailable)

    def test_old_watch_is_gone(self):
        async def check(store, api):
            await store.create("k", "a", {})
            api.rest.table.compact()
            return [event async for event in store.watch("k", "1")]

        self.assertEqual([interface.Gone()], self.run_with_api(check))

    def test_watch_that_falls_behind_is_gone(self):
        async def check(store, api):
            watch = store.watch("k", (await store.list("k")).version)
            await anext(watch)
            api.faults.silent_watch = True
            await asyncio.sleep(1.5)
            await store.create("k", "a", {})
            api.rest.table.compact()
            api.faults.silent_watch = False
            return [event async for event in watch]

        self.assertEqual(interface.Gone(), self.run_with_api(check)[-1])

    def test_watch_without_events_ends_after_the_timeout(self):
        async def check(store, api):
            api.faults.silent_watch = True
            start = asyncio.get_running_loop().time()
            events = [event async for event in store.watch("k", "1")]
            return events, asyncio.get_running_loop().time() - start

        (event,), took = self.run_with_api(check)
        self.assertIsInstance(event, interface.Unavailable)
        self.assertAlmostEqual(BOOKMARK_S, took, places=2)

    def test_stale_reads_then_conflict(self):
        async def check(store, api):
            made = await store.create("k", "a", {"n": 1})
            api.faults.stale = True
            api.rest.serve_stale(True)
            await store.update(made.item, {"n": 2})
            seen = await store.get("k", "a")
            return seen, await store.update(seen.item, {"n": 3})

        seen, outcome = self.run_with_api(check)
        self.assertEqual({"n": 1}, seen.item.value)
        self.assertEqual(interface.Conflict(), outcome)

    def test_paged_list_is_one_state(self):
        async def check(store, api):
            for number in range(kubernetes.PAGE_ITEMS + 5):
                await store.create("k", f"{number:04}", {"n": number})
            listed = await store.list("k")
            return len(listed.items), store.calls["list"], api.counts.report()

        size, calls, counts = self.run_with_api(check)
        self.assertEqual(kubernetes.PAGE_ITEMS + 5, size)
        self.assertEqual(2, calls)
        self.assertEqual(2, counts["by_kind"]["k"]["list"])

    def test_list_of_large_values_uses_smaller_pages(self):
        async def check(store, api):
            text = "x" * 900_000
            for number in range(10):
                await store.create("k", f"n{number}", {"text": text})
            return len((await store.list("k")).items)

        self.assertEqual(10, self.run_with_api(check))

    def test_list_with_expired_pages_is_restarted(self):
        async def check(store, api):
            for number in range(kubernetes.PAGE_ITEMS + 1):
                await store.create("k", f"{number:04}", {})
            keep = api.rest._keep_page
            tokens = ["expired"] * 4
            api.rest._keep_page = lambda rest: (
                tokens.pop() if tokens else keep(rest)
            )
            return await store.list("k"), await store.list("k")

        lost, listed = self.run_with_api(check)
        self.assertIsInstance(lost, interface.Unavailable)
        self.assertEqual(kubernetes.PAGE_ITEMS + 1, len(listed.items))

    def test_too_large_value_is_not_sent(self):
        async def check(store, api):
            await store.create("k", "a", {"text": "x" * 1_000_000})
            return store.calls["create"], api.counts.report()["total"]

        self.assertEqual((0, 0), self.run_with_api(check))

    def test_update_without_a_version_is_refused(self):
        async def check(store, api):
            made = await store.create("k", "a", {"n": 1})
            return await store.update(made.item._replace(version=""), {})

        self.assertIsInstance(self.run_with_api(check), interface.Unavailable)

    def test_read_is_retried_when_a_reused_connection_breaks(self):
        api = object_api.ObjectApi()
        cuts = []

        async def handler(request):
            if cuts and request.method != "POST":
                raise cuts.pop()
            return await api.handle(request)

        async def check(store):
            await store.create("k", "a", {"n": 1})
            cuts.append(connections.CutError())
            return await store.get("k", "a"), store.calls["get"]

        found, calls = self.run_with(handler, check)
        self.assertEqual({"n": 1}, found.item.value)
        self.assertEqual(2, calls)


class RawResponseTest(AdapterTestCase):
    def outcomes_of(self, *answers):
        """Returns outcomes of a create, get, list and watch per response."""
        left = [answer for answer in answers for _ in range(4)]

        async def handler(request):
            answer = left.pop(0)
            if isinstance(answer, bytes):
                raise connections.CutError(answer)
            return answer

        async def check(store):
            found = []
            for _ in answers:
                made = await store.create("k", "a", {})
                read = await store.get("k", "a")
                listed = await store.list("k")
                event = await anext(store.watch("k", "1"))
                kinds = [type(o) for o in (made, read, listed, event)]
                found.append(kinds)
            return found

        return self.run_with(handler, check)

    def test_malformed_response_is_never_a_success(self):
        other = {"metadata": {"name": "b", "resourceVersion": "1"}}
        bodies = (
            b"",
            b"\xff\xfe",
            b"[]",
            b'{"metadata":{}}',
            b'{"metadata":{"name":"a"}}',
            b"[" * 100_000,
        )
        answers = [messages.Response(200, (), body) for body in bodies]
        for made, read, listed, event in self.outcomes_of(*answers):
            self.assertEqual(interface.Unknown, made)
            self.assertEqual(interface.Unavailable, read)
            self.assertEqual(interface.Unavailable, listed)
            self.assertEqual(interface.Unavailable, event)
        answer = messages.Response(201, (), json.dumps(other).encode())
        self.assertEqual(interface.Unknown, self.outcomes_of(answer)[0][0])

    def test_only_some_error_responses_mean_no_effect(self):
        failure = b'{"kind":"Status","status":"Failure","code":503}'
        later = (("retry-after", "1"),)
        expected = {
            messages.Response(429): interface.Unavailable,
            messages.Response(403): interface.Unavailable,
            messages.Response(404): interface.Unavailable,
            messages.Response(503, later, failure): interface.Unavailable,
            messages.Response(503, (), failure): interface.Unknown,
            messages.Response(503, later): interface.Unknown,
            messages.Response(500): interface.Unknown,
            messages.Response(504, later, failure): interface.Unknown,
            messages.Response(302): interface.Unknown,
        }
        found = [kinds[0] for kinds in self.outcomes_of(*expected)]
        self.assertEqual(list(expected.values()), found)

    def test_status_without_object_is_a_success_for_a_delete_only(self):
        body = b'{"kind":"Status","status":"Success"}'

        async def handler(request):
            return messages.Response(200, (), body)

        async def check(store):
            item = interface.StoredObject("k", "a", "1", {})
            return (
                await store.delete(item),
                await store.update(item, {}),
                await store.create("k", "a", {}),
            )

        found = self.run_with(handler, check)
        expected = [interface.Found, interface.Unknown, interface.Unknown]
        self.assertEqual(expected, [type(outcome) for outcome in found])

    def test_oversized_response(self):
        size = kubernetes.LIMITS.body_bytes + 1
        answer = messages.Response(200, (), b" " * size)

        async def handler(request):
            return answer

        async def check(store):
            return await store.create("k", "a", {}), await store.get("k", "a")

        made, read = self.run_with(handler, check)
        self.assertIsInstance(made, interface.Unknown)
        self.assertIsInstance(read, interface.Unavailable)

    def test_endless_line_of_a_watch(self):
        async def endless_body():
            while True:
                yield b"x" * 100_000

        async def handler(request):
            return messages.Response(200, (), endless_body())

        async def check(store):
            return [event async for event in store.watch("k", "1")]

        (event,) = self.run_with(handler, check)
        self.assertIsInstance(event, interface.Unavailable)
