"""Tests of callers' keys: who is admitted, and that no key leaves a daemon."""

import asyncio
import json

import structlog

from banyantiller.gateway import access_keys
from banyantiller.tests.gateway import harness, partition_harness

KEY = "a828m82thhkmgjqnirth"
OTHER_KEY = "5mgjy5rcpihhacrudded"
ORGANISATIONS = [
    {"name": "north", "apiKeys": [KEY]},
    {"name": "south", "apiKeys": [OTHER_KEY, "second"]},
    {"name": "keyless", "apiKeys": []},
]
READ = harness.route("read", "safe", "/read/")
FILE = harness.route("file", "unsafe", "/file/")
PUBLIC = harness.route("open", "safe", "/open/", public=True)
# Time after which a new document is in force, in seconds.
APPLY_S = 0.2


class AccessKeysTestCase(harness.TestCase):
    """Plays callers of a document with organisations."""

    def put(self, env, organisations=ORGANISATIONS):
        """Writes a document with organisations."""
        env.put_document([READ, FILE, PUBLIC], organisations=organisations)

    def play_calls(self, *calls, organisations=ORGANISATIONS):
        """Returns the harness and the replies to some calls."""

        async def body(env):
            self.put(env, organisations)
            await asyncio.sleep(APPLY_S)
            return env, [
                await env.request(f"a{number}", *arguments, **fields)
                for number, (arguments, fields) in enumerate(calls)
            ]

        return self.play(body)

    def heads(self, env):
        """Returns the heads of all requests that reached servers."""
        return [head for one in env.servers.values() for head in one.seen]


class AdmissionTest(AccessKeysTestCase):
    """Guards against requests that run for callers without a known key."""

    def test_known_key_is_served_for_its_organisation(self):
        for key, name in ((KEY, "north"), (OTHER_KEY, "south")):
            env, replies = self.play_calls(((), {"credential": key}))
            self.assertEqual([200], [reply.status for reply in replies])
            self.assertEqual(
                [name], [head["tenant"] for head in self.heads(env)]
            )

    def test_request_without_a_known_key_is_refused_and_not_run(self):
        wrong = ({}, {"credential": "none"}, {"credential": ""})
        wrong += ({"credential": KEY.upper()}, {"credential": "\xff\xfe"})
        wrong += ({"credential": access_keys.digest(KEY.encode())},)
        env, replies = self.play_calls(*(((), fields) for fields in wrong))
        self.assertEqual({401}, {reply.status for reply in replies})
        self.assertEqual(
            {"no"}, {reply.headers["request-ran"] for reply in replies}
        )
        self.assertIn("www-authenticate", replies[0].headers)
        self.assertEqual([], self.heads(env))

    def test_key_that_occurs_twice_is_refused(self):
        env, replies = self.play_calls(
            ((), {"credential": KEY, "Credential": KEY}),
            ((), {"credential": KEY, "CREDENTIAL": ""}),
        )
        self.assertEqual([401, 401], [reply.status for reply in replies])
        self.assertEqual([], self.heads(env))

    def test_key_that_is_no_text_is_refused_on_a_connection_that_goes_on(self):
        async def body(env):
            self.put(env)
            await asyncio.sleep(APPLY_S)
            caller = await harness.Caller.connect(env)
            caller.writer.write(
                b"GET /read/x HTTP/1.1\r\nhost: desk.example\r\n"
                b"credential: \xc3\x28\xa0\r\n\r\n"
            )
            caller.send("a", credential=KEY)
            return [(await caller.read()).status for _ in range(2)]

        self.assertEqual([401, 200], self.play(body))

    def test_key_larger_than_a_head_is_refused(self):
        _, replies = self.play_calls(((), {"credential": "k" * 100_000}))
        self.assertEqual([431], [reply.status for reply in replies])

    def test_public_route_needs_no_key(self):
        env, replies = self.play_calls(
            (("/open/x",), {}), (("/open/x",), {"credential": "none"})
        )
        self.assertEqual([200, 200], [reply.status for reply in replies])
        self.assertFalse(any("tenant" in head for head in self.heads(env)))

    def test_empty_list_of_organisations_admits_nobody(self):
        _, replies = self.play_calls(
            ((), {"credential": KEY}), (("/open/x",), {}), organisations=[]
        )
        self.assertEqual([401, 200], [reply.status for reply in replies])

    def test_document_without_organisations_needs_no_key(self):
        env, replies = self.play_calls(
            ((), {}), ((), {"credential": KEY}), organisations=None
        )
        self.assertEqual([200, 200], [reply.status for reply in replies])
        self.assertFalse(any("credential" in one for one in self.heads(env)))

    def test_unknown_key_is_retried_if_a_newer_document_may_admit_it(self):
        """A store that is lost may hold a document with the key."""

        async def body(env):
            self.put(env)
            await asyncio.sleep(APPLY_S)
            env.gateway.store_view.newest_unreadable = True
            return await env.request("a", credential="new")

        reply = self.play(body)
        self.assertEqual(503, reply.status)
        self.assertEqual("no", reply.headers["request-ran"])
        self.assertIn("retry-after", reply.headers)


class KeyChangesTest(AccessKeysTestCase):
    """Guards against keys that are served after they were taken away."""

    def test_changes_of_keys_apply_on_a_kept_connection(self):
        async def body(env):
            self.put(env)
            await asyncio.sleep(APPLY_S)
            caller = await harness.Caller.connect(env)
            statuses = []
            changes = ([], ["added"], [KEY])
            for keys in ([KEY], *changes):
                self.put(env, [{"name": "north", "apiKeys": keys}])
                await asyncio.sleep(APPLY_S)
                for key in (KEY, "added"):
                    caller.send(f"{keys}{key}"[:12], credential=key)
                    statuses.append((await caller.read()).status)
            return statuses

        self.assertEqual(
            [200, 401, 401, 401, 401, 200, 200, 401], self.play(body)
        )

    def test_request_that_waits_in_a_pipeline_uses_the_newest_keys(self):
        async def body(env):
            self.put(env)
            await asyncio.sleep(APPLY_S)
            for stand_in in env.servers.values():
                stand_in.work_s = 0.5
            caller = await harness.Caller.connect(env)
            caller.send("a", credential=KEY)
            # It waits, as it is not idempotent.
            caller.send("b", "/file/x", "POST", b"x", credential=KEY)
            await asyncio.sleep(0.05)
            self.put(env, [{"name": "north", "apiKeys": ["new"]}])
            statuses = [(await caller.read()).status for _ in range(2)]
            return statuses, env.ran("b")

        self.assertEqual(([200, 401], 0), self.play(body))

    def test_document_in_which_organisations_share_a_key_is_not_applied(self):
        async def body(env):
            self.put(env)
            await asyncio.sleep(APPLY_S)
            before = env.gateway.store_view.version
            shared = [{"name": n, "apiKeys": [KEY]} for n in ("north", "west")]
            self.put(env, shared)
            await asyncio.sleep(APPLY_S)
            reply = await env.request("a", credential=KEY)
            return before == env.gateway.store_view.version, reply.status

        self.assertEqual((True, 200), self.play(body))


class KeyStaysInDaemonTest(AccessKeysTestCase):
    """Guards against keys, or claimed organisations, that reach a server."""

    def test_servers_see_neither_key_nor_claimed_organisation(self):
        claims = {"Tenant": "south", "TENANT": "", "tenant": "west"}
        env, replies = self.play_calls(
            ((), {"Credential": KEY, **claims}),
            (("/file/x", "POST", b"x"), {"credential": KEY, **claims}),
            (("/open/x",), {"credential": KEY, **claims}),
            (("/open/x",), claims),
        )
        self.assertEqual([200] * 4, [reply.status for reply in replies])
        heads = self.heads(env)
        self.assertEqual(4, len(heads))
        self.assertFalse(any("credential" in head for head in heads))
        self.assertNotIn(KEY, json.dumps(heads))
        names = [head.get("tenant") for head in heads]
        self.assertCountEqual(["north", "north", "north", None], names)

    def test_key_named_in_connection_is_read_and_not_forwarded(self):
        env, replies = self.play_calls(
            ((), {"credential": KEY, "connection": "credential, tenant"})
        )
        self.assertEqual([200], [reply.status for reply in replies])
        self.assertEqual("north", self.heads(env)[0]["tenant"])

    def test_peers_and_logs_get_digests_only(self):
        async def body(env):
            self.put(env)
            await asyncio.sleep(APPLY_S)
            await env.request("a", credential=KEY)
            await env.request("b", credential="unknown-" + KEY)
            history = env.gateway.store_view.mirror.histories["config"]
            return repr(list(history.items.values()))

        with structlog.testing.capture_logs() as lines:
            mirrored = self.play(body)
        self.assertIn(access_keys.digest(KEY.encode()), mirrored)
        self.assertNotIn(KEY, mirrored)
        self.assertNotIn(KEY, repr(lines))


class ForwardedKeyTest(partition_harness.PartitionTest):
    """Guards against a key, or a lost organisation, in a forwarded call."""

    def test_forwarded_call_keeps_the_organisation_and_not_the_key(self):
        async def body(fleet):
            fleet.harness.put_document(
                [READ, FILE], organisations=ORGANISATIONS
            )
            cut = fleet.daemons[0]
            await fleet.cut([cut], partition_harness.Cut.SILENT)
            await self.call(fleet, [cut], for_s=1.0, credential=KEY)
            before = cut.tallies.forwarded.total()
            replies = await self.call(fleet, [cut], for_s=1.0, credential=KEY)
            heads = [
                head
                for server in fleet.harness.servers.values()
                for head in server.seen
            ]
            return replies, cut.tallies.forwarded.total() - before, heads

        replies, forwarded, heads = self.play(body)
        self.assertEqual({200}, {reply.status for reply in replies})
        self.assertEqual(len(replies), forwarded)
        self.assertEqual({"north"}, {head["tenant"] for head in heads})
        self.assertNotIn(KEY, repr(heads))
