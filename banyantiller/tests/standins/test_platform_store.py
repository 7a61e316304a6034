"""Tests of the stand-in of the platform's store, as its clients see it."""

import asyncio
import json

from banyantiller.http import client, outcomes, server
from banyantiller.tests import base
from standins import platform_store

ADDRESS = "127.0.0.1"
TIMEOUT_S = 5.0


class Caller:
    """Calls the stand-in."""

    def __init__(self, user):
        self.user = user

    async def __call__(self, method, path, body=None):
        """Returns status and content; None if there is no answer."""
        data = json.dumps(body).encode() if body is not None else b""
        found = await self.user.request(method, path, TIMEOUT_S, (), data)
        if not isinstance(found, outcomes.Answered):
            return None
        return found.response.status, json.loads(found.body)


class PlatformStoreTest(base.TestCase):
    def play(self, body):
        """Runs `body(store, call)` on the paused clock."""

        async def whole():
            store = platform_store.PlatformStore()
            listener = server.HttpServer(store.handle)
            bound = await listener.start(ADDRESS, 0)
            user = client.HttpClient(ADDRESS, bound.port)
            try:
                return await body(store, Caller(user))
            finally:
                await user.close()
                await listener.close()

        return self.run_paused(whole())

    def test_objects_are_created_once_and_replaced_by_condition(self):
        async def body(store, call):
            new = {"metadata": {"name": "n"}, "spec": {"x": 1}}
            created = await call("POST", "/api/objects/k", new)
            again = await call("POST", "/api/objects/k", new)
            revision = created[1]["metadata"]["revision"]
            change = {"metadata": {"revision": revision}, "spec": {"x": 2}}
            changed = await call("PUT", "/api/objects/k/n", change)
            late = await call("PUT", "/api/objects/k/n", change)
            found = await call("GET", "/api/objects/k/n")
            missing = await call("GET", "/api/objects/k/m")
            statuses = [one[0] for one in (created, again, changed, late)]
            return statuses, found, missing[0]

        statuses, found, missing = self.play(body)
        self.assertEqual([200, 409, 200, 409], statuses)
        self.assertEqual((200, {"x": 2}), (found[0], found[1]["spec"]))
        self.assertEqual(404, missing)

    def test_status_is_apart_and_no_change_makes_no_event(self):
        async def body(store, call):
            store.put("k", "n", {"x": 1})
            status = {"status": {"seen": 1}}
            await call("PUT", "/api/objects/k/n/status", status)
            before = store.revision
            await call("PUT", "/api/objects/k/n/status", status)
            await call("PUT", "/api/objects/k/n", {"spec": {"x": 1}})
            found = await call("GET", "/api/objects/k/n")
            return store.revision - before, found[1]

        made, found = self.play(body)
        self.assertEqual(0, made)
        self.assertEqual(({"x": 1}, {"seen": 1}),
                         (found["spec"], found["status"]))  # fmt: skip

    def test_lost_answer_was_carried_out(self):
        async def body(store, call):
            store.faults.lost = True
            new = {"metadata": {"name": "n"}, "spec": {}}
            answer = await call("POST", "/api/objects/k", new)
            return answer, "n" in store.objects["k"]

        self.assertEqual((None, True), self.play(body))

    def test_late_write_is_carried_out_only_if_its_condition_still_holds(self):
        async def body(store, call):
            store.put("k", "n", {"x": 1})
            store.faults.late = 8.0
            first = store.revision
            change = {"metadata": {"revision": first}, "spec": {"x": 2}}
            answer = await call("PUT", "/api/objects/k/n", change)
            early = store.objects["k"]["n"]["spec"]
            await asyncio.sleep(5)
            late = store.objects["k"]["n"]["spec"]
            await call("PUT", "/api/objects/k/n", change)
            store.put("k", "n", {"x": 3})
            await asyncio.sleep(10)
            return answer, early, late, store.objects["k"]["n"]["spec"]

        self.assertEqual((None, {"x": 1}, {"x": 2}, {"x": 3}), self.play(body))

    def test_stale_reads_are_behind_and_others_are_not(self):
        async def body(store, call):
            store.faults.stale = 3.0
            store.put("k", "n", {"x": 1})
            await asyncio.sleep(4)
            store.put("k", "n", {"x": 2})
            stale = await call("GET", "/api/objects/k/n?staleOk=1")
            fresh = await call("GET", "/api/objects/k/n")
            page = await call("GET", "/api/objects/k?staleOk=1")
            return [one[1]["spec"]["x"] for one in (stale, fresh)], page[1]

        (stale, fresh), page = self.play(body)
        self.assertEqual((1, 2), (stale, fresh))
        self.assertEqual(1, page["items"][0]["spec"]["x"])

    def test_forgotten_history_ends_a_watch(self):
        async def body(store, call):
            store.put("k", "n", {})
            begin = store.revision
            store.put("k", "n", {"x": 1})
            path = f"/api/objects/k?watch={begin}&waitMs=100"
            found = await call("GET", path)
            store.forget()
            gone = await call("GET", path)
            return len(found[1]["events"]), gone[0]

        self.assertEqual((1, 410), self.play(body))
