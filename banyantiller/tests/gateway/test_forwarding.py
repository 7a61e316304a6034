"""Tests of calls that are forwarded to daemons which reach servers."""

import asyncio
import collections

import msgspec

from banyantiller.gateway import forwarding, routes, run
from banyantiller.http import messages
from banyantiller.tests.gateway import harness, partition_harness
from soak import links

# Time after which a daemon uses its own links again.
REDISCOVERY_S = 0.5
# Latency objective of the routes.
OBJECTIVE_S = 0.2
# A call that can't be served is refused within this time.
IMMEDIATE_S = 0.02


class ForwardingTest(partition_harness.PartitionTest):
    """A forwarded call keeps every promise of a call."""

    async def cut_first(self, fleet, how=partition_harness.Cut.SILENT):
        """Cuts the links of one daemon and waits until it knows."""
        cut = fleet.daemons[0]
        await fleet.cut([cut], how)
        await self.call(fleet, [cut], for_s=1.0)
        self.assertEqual([harness.SERVICE], cut.reachability.lost_services())
        return cut

    def count_runs(self, fleet):
        """Counts how often servers executed each request."""
        runs = collections.Counter()
        for server in fleet.harness.servers.values():
            runs.update(server.ran)
        return runs

    def test_forwarding_ends_soon_after_the_links_are_back(self):
        async def body(fleet):
            cut = await self.cut_first(fleet)
            await fleet.restore([cut])
            await asyncio.sleep(REDISCOVERY_S)
            before = cut.tallies.forwarded.total()
            answers = await self.call(fleet, [cut], for_s=2.0)
            clients = cut.forwarder.clients.values()
            idle = sum(len(client.idle) for client in clients)
            return answers, cut.tallies.forwarded.total() - before, idle

        answers, forwarded, idle = self.play(body)
        self.assertEqual({200}, {answer.status for answer in answers})
        self.assertEqual((0, 0), (forwarded, idle))

    def test_requests_run_at_most_once_while_links_come_and_go(self):
        async def body(fleet):
            cut = self.cut_daemons(fleet)
            calls = fleet.start_task(
                self.call(fleet, cut, "/file/x", "POST", for_s=10.0)
            )
            for how in (*partition_harness.Cut, *partition_harness.Cut):
                await fleet.cut(cut, how)
                await asyncio.sleep(1.0)
                await fleet.restore(cut)
                await asyncio.sleep(0.5)
            return await calls, self.count_runs(fleet)

        answers, runs = self.play(body)
        self.assertEqual(1, max(runs.values()))
        served = [one for one in answers if one.status == 200]
        not_run = [one for one in answers if one.status == 503]
        self.assertLessEqual(len(served), len(runs))
        # None of those that were told 503 ran.
        self.assertLessEqual(len(runs), len(answers) - len(not_run))
        self.assertGreater(len(served), len(answers) / 2)

    def test_call_is_refused_at_once_if_no_daemon_reaches_servers(self):
        async def body(fleet):
            await fleet.cut(fleet.daemons, partition_harness.Cut.SILENT)
            await self.call(
                fleet, fleet.daemons, for_s=partition_harness.CONTACT_S
            )
            before = self.count_runs(fleet)
            answers = await self.call(fleet, fleet.daemons, for_s=2.0)
            return answers, self.count_runs(fleet) - before

        answers, runs = self.play(body)
        for answer in answers:
            self.assertEqual(503, answer.status)
            self.assertEqual("no", answer.headers["request-ran"])
            # Other daemons don't reach servers either.
            self.assertGreater(float(answer.headers["retry-after"]), 0.1)
            self.assertLess(answer.took_s, IMMEDIATE_S)
        self.assertEqual({}, runs)

    def test_service_without_servers_leaves_calls_of_others(self):
        """Guards against daemons that are skipped for all services.

        A daemon that reaches no server of one service was skipped for calls of
        every other service as well, so that these were refused.
        """

        async def body(fleet):
            look = harness.route("look", "safe", "/look/", "other")
            fleet.harness.put_document(
                [harness.route("read", "safe", "/read/"), look]
            )
            other = await fleet.harness.add_server("o1", "other")
            for daemon in fleet.daemons:
                link = await links.Link.to(harness.ADDRESS, other.port)
                daemon.links[other.port] = link
            await asyncio.sleep(1.0)
            cut = await self.cut_first(fleet)
            await self.call(fleet, [cut], "/look/x", for_s=1.0)
            for server in fleet.running_servers():
                server.stop()
            reads = fleet.start_task(self.call(fleet, [cut], for_s=4.0))
            looks = await self.call(fleet, [cut], "/look/x", for_s=4.0)
            return await reads, looks

        reads, looks = self.play(body)
        self.assertNotIn(200, {answer.status for answer in reads[10:]})
        self.assertEqual({200}, {answer.status for answer in looks})

    def test_daemon_that_reaches_servers_at_times_takes_calls_then(self):
        """Guards against calls refused since a daemon lost its servers before.

        A daemon that lost its servers for a moment got no calls of others for
        1 s and more: once it was skipped, and then it was not listed.
        """

        async def lose_servers_at_times(fleet, daemon, reached_s):
            while True:
                await asyncio.sleep(reached_s)
                await fleet.cut([daemon], partition_harness.Cut.SILENT)
                await asyncio.sleep(0.3)
                await fleet.restore([daemon])

        async def body(fleet, reached_s):
            *cut, helper = fleet.daemons
            await fleet.cut(cut, partition_harness.Cut.SILENT)
            await self.call(fleet, cut, for_s=partition_harness.CONTACT_S)
            losses = fleet.start_task(
                lose_servers_at_times(fleet, helper, reached_s)
            )
            calls = [
                fleet.start_task(self.call(fleet, [one], for_s=9.0))
                for one in (cut[-1], helper)
            ]
            answers = await asyncio.gather(*calls)
            losses.cancel()
            return [sum(one.status == 200 for one in some) for some in answers]

        for reached_s in (0.7, 1.5):
            at_cut, at_helper = self.play(
                lambda fleet, reached_s=reached_s: body(fleet, reached_s)
            )
            self.assertGreater(at_helper, 0)
            self.assertGreaterEqual(at_cut, at_helper * 2 / 3)

    async def shut_down(self, daemon, control):
        """Shuts a daemon down as its process does; returns the calls cut."""
        cut = await daemon.drain(6.0)
        await daemon.close()
        await control.close(run.RESPONSE_GRACE_S)
        return cut

    def test_daemon_that_shuts_down_completes_forwarded_calls(self):
        async def body(fleet):
            fleet.harness.put_document(
                [
                    harness.route("read", "safe", "/read/"),
                    harness.route("file", "unsafe", "/file/", timeoutS=5.0),
                ]
            )
            cut = await self.cut_first(fleet)
            for server in fleet.running_servers():
                # Beyond the time for which a daemon that drains listens.
                server.work_s = 3.5
            calls = [
                fleet.start_task(
                    fleet.send_request(cut, "/file/x", "POST", deadline_ms=5000)
                )
                for _ in range(5)
            ]
            await asyncio.sleep(0.1)
            others = fleet.daemons[1:]
            running = sum(one.forwarded_calls.running for one in others)
            drains = [
                fleet.start_task(self.shut_down(*both))
                for both in zip(others, fleet.harness.controls[2:], strict=True)
            ]
            answers = await asyncio.gather(*calls)
            return running, answers, await asyncio.gather(*drains)

        running, answers, cut_calls = self.play(body)
        self.assertEqual(5, running)
        self.assertEqual({200}, {answer.status for answer in answers})
        self.assertEqual([0] * 5, cut_calls)

    def test_call_that_waits_at_a_daemon_that_shuts_down_goes_to_another(self):
        """Guards against a refusal by one daemon that counts for all."""

        async def body(fleet):
            cut = await self.cut_first(fleet)
            slow = {"timeoutS": 60.0, "targetLatencyS": 40.0}
            fleet.harness.put_document(
                [harness.route("read", "safe", "/read/", **slow)]
            )
            await asyncio.sleep(1.0)
            for server in fleet.running_servers():
                server.running = server.slots
            call = fleet.start_task(
                fleet.send_request(cut, "/read/x", deadline_ms=60000)
            )
            await asyncio.sleep(0.5)
            others = fleet.daemons[1:]
            waits_at = [one for one in others if one.forwarded_calls.running]
            for one in waits_at:
                fleet.start_task(one.drain(6.0))
            await asyncio.sleep(6.5)
            for server in fleet.running_servers():
                server.running = 0
            return len(waits_at), await call

        count, answer = self.play(body)
        self.assertEqual((1, 200), (count, answer.status))

    def test_daemon_that_shuts_down_gets_no_more_calls(self):
        async def body(fleet):
            cut = await self.cut_first(fleet)
            for one in fleet.daemons[1:5]:
                fleet.start_task(one.drain(6.0))
            received = [one.tallies.received.copy() for one in fleet.daemons]
            answers = await self.call(fleet, [cut], for_s=2.0)
            more = [
                (one.tallies.received - before).total()
                for one, before in zip(fleet.daemons, received, strict=True)
            ]
            return answers, more

        answers, more = self.play(body)
        self.assertEqual({200}, {answer.status for answer in answers})
        self.assertEqual([0, 0, 0, 0, 0, 20], more)

    def test_server_stops_working_for_a_caller_that_left(self):
        async def body(fleet):
            cut = await self.cut_first(fleet)
            for server in fleet.running_servers():
                server.work_s = 0.5
            caller = await fleet.connect(cut)
            caller.send("left")
            await asyncio.sleep(0.1)
            caller.close()
            await asyncio.sleep(0.1)
            return [
                (server.dropped, server.running)
                for server in fleet.running_servers()
                if server.ran["left"]
            ]

        self.assertEqual([(1, 0)], self.play(body))

    async def lose_peer(self, fleet, *arguments):
        """Loses the daemon to which a call was forwarded; returns its reply."""
        cut = await self.cut_first(fleet)
        for server in fleet.running_servers():
            server.work_s = 0.3
        call = fleet.start_task(fleet.send_request(cut, *arguments))
        await asyncio.sleep(0.1)
        controls = fleet.harness.controls[1:]
        for one, control in zip(fleet.daemons, controls, strict=True):
            if one.forwarded_calls.running:
                await control.close()
        return await call, max(self.count_runs(fleet).values())

    def test_idempotent_call_is_repeated_if_its_peer_is_lost(self):
        async def body(fleet):
            return await self.lose_peer(fleet, "/read/x")

        answer, runs = self.play(body)
        self.assertEqual((200, 2), (answer.status, runs))

    def test_other_call_is_not_repeated_if_its_peer_is_lost(self):
        async def body(fleet):
            return await self.lose_peer(fleet, "/file/x", "POST")

        answer, runs = self.play(body)
        self.assertEqual((502, 1), (answer.status, runs))
        self.assertEqual("unknown", answer.headers["request-ran"])

    def test_peer_that_does_not_respond_is_skipped(self):
        async def body(fleet):
            cut = await self.cut_first(fleet)
            fleet.harness.controls[-1].handler = _never_respond
            await asyncio.sleep(1.0)
            return await self.call(fleet, [cut], for_s=4.0)

        answers = self.play(body)
        self.assertEqual({200}, {answer.status for answer in answers})
        late = [one for one in answers if one.took_s > OBJECTIVE_S]
        # It is tried again each second; calls come at ten a second.
        self.assertLessEqual(len(late), 8)

    def test_daemon_whose_probes_were_in_vain_once_is_not_skipped(self):
        async def body(fleet):
            cut = fleet.daemons[:5]
            await fleet.cut(cut, partition_harness.Cut.SILENT)
            await self.call(fleet, cut, for_s=partition_harness.CONTACT_S)
            for server in fleet.running_servers():
                server.faults.silent = True
            first = fleet.start_task(fleet.send_request(cut[0], "/read/x"))
            await asyncio.sleep(0.05)
            for server in fleet.running_servers():
                server.faults.silent = False
            await first
            return await fleet.send_request(cut[0], "/read/x")

        # It is the last one that reaches servers.
        self.assertEqual(200, self.play(body).status)

    def test_request_reaches_no_more_servers_than_the_route_allows(self):
        async def body(fleet):
            cut = await self.cut_first(fleet)
            fleet.harness.fault(fail=True)
            answers = await self.call(fleet, [cut], for_s=1.0)
            return answers, self.count_runs(fleet)

        answers, runs = self.play(body)
        self.assertEqual({500}, {answer.status for answer in answers})
        # The route allows two servers.
        self.assertEqual(2, max(runs.values()))

    def test_forwarded_call_uses_the_document_of_its_own_daemon(self):
        async def body(fleet):
            cut = await self.cut_first(fleet)
            # No other daemon knows this route.
            document = cut.store_view.routes.document
            added = document.routes[0]._replace(name="new", prefix="/new/")
            routed = document._replace(routes=(added,))
            cut.store_view.routes = routes.RouteTable(routed, cut.random)
            return await fleet.send_request(cut, "/new/x")

        self.assertEqual(200, self.play(body).status)

    def test_leaving_that_a_server_states_counts_here_too(self):
        async def body(fleet):
            cut = await self.cut_first(fleet)
            for server in fleet.running_servers():
                server.work_s = 0.3
            call = fleet.start_task(fleet.send_request(cut, "/file/x", "POST"))
            await asyncio.sleep(0.1)
            (leaving,) = [one for one in fleet.running_servers() if one.running]
            leaving.leaving = True
            await call
            return cut.store_view.table.entries[leaving.instance].server

        self.assertTrue(self.play(body).leaving)

    def test_refused_hedge_does_not_end_a_call_that_runs(self):
        async def body(fleet):
            cut = fleet.daemons[0]
            for server in fleet.running_servers():
                server.work_s = 2.0
            call = fleet.start_task(fleet.send_request(cut, "/read/x"))
            await asyncio.sleep(0.05)
            await fleet.cut([cut], partition_harness.Cut.SILENT)
            for server in fleet.running_servers():
                server.running = server.slots
            return await call, max(self.count_runs(fleet).values())

        answer, runs = self.play(body)
        # 503 would say that it did not run.
        self.assertEqual((504, 1), (answer.status, runs))

    def test_malformed_message_is_rejected(self):
        async def body(fleet):
            request = messages.Request("POST", forwarding.PATH, (), b"spoilt")
            response = await fleet.daemons[0].handle_peer(request)
            return response.status

        self.assertEqual(400, self.play(body))

    def test_malformed_reply_leaves_open_whether_the_call_ran(self):
        unsigned = forwarding.ForwardedReply(
            status=200,
            headers=[],
            body=b"",
            length=None,
            error=None,
            reason="",
            maybe_ran=False,
            instances=[],
            incarnation="",
            unreachable=False,
            retry_after_s=None,
        )
        unknown = unsigned | {"error": "of a later build"}

        async def body(fleet, reply):
            cut = await self.cut_first(fleet)

            async def respond(request):
                return messages.Response(200, (), reply)

            for control in fleet.harness.controls[2:]:
                control.handler = respond
            return await fleet.send_request(cut, "/file/x", "POST")

        for fields in (b"spoilt", unsigned, unknown):
            reply = msgspec.msgpack.encode(fields)
            answer = self.play(lambda fleet, sent=reply: body(fleet, sent))
            self.assertEqual(500, answer.status)
            self.assertEqual("unknown", answer.headers["request-ran"])

    def test_malformed_control_address_is_not_listed(self):
        async def body(fleet):
            relay = fleet.daemons[0]
            target = "/mirror/v2/config?since=0&wait_ms=0&name=x&control=spoilt"
            await relay.handle_peer(messages.Request("GET", target))
            return {one.address for one in relay.store_view.mirror.contacts()}

        self.assertNotIn("spoilt", self.play(body))


async def _never_respond(request):
    await asyncio.sleep(harness.NEVER_S)
