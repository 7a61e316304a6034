"""Tests of calls with large responses at a daemon with a slow link."""

import asyncio

from banyantiller.tests.gateway import harness

LARGE = harness.route("large", "download", "/large/", timeoutS=2.0)
ORDINARY = harness.route("read", "safe", "/read/", timeoutS=2.0)


class LargeResponsesTest(harness.TestCase):
    def statuses(self, path, count, link_mbps, **settings):
        """Sends calls at once; returns their statuses and the daemon."""

        async def body(env):
            env.put_document([LARGE, ORDINARY])
            gateway = env.gateway
            gateway.settings = gateway.settings._replace(
                link_mbps=link_mbps, **settings
            )
            await asyncio.sleep(1)
            answers = await asyncio.gather(
                *(
                    env.request(f"a{number}", path, deadline_ms=1500)
                    for number in range(count)
                )
            )
            return [one.status for one in answers], gateway, answers

        return self.play(body)

    def test_large_responses_beyond_the_link_are_rejected_as_not_run(self):
        """Calls whose responses can't be transferred must not reach a server.

        The link carries two responses of the expected size in the time that
        callers have.
        """
        statuses, gateway, answers = self.statuses("/large/x", 8, 1.0)
        self.assertIn(503, statuses)
        self.assertIn(200, statuses)
        rejected = [one for one in answers if one.status == 503]
        for one in rejected:
            self.assertGreater(float(one.headers["retry-after"]), 0)
            self.assertEqual("no", one.headers["request-ran"])
        self.assertEqual(len(rejected), gateway.transfers.outcomes["rejected"])

    def test_ordinary_calls_are_not_limited_by_the_link(self):
        """Small replies must not be counted as large ones."""
        statuses, gateway, _ = self.statuses("/read/x", 6, 1.0)
        self.assertNotIn("rejected", gateway.transfers.outcomes)
        self.assertEqual(0, gateway.transfers.admitted_bytes())
        self.assertIn(200, statuses)

    def test_nothing_is_limited_if_load_sharing_is_off(self):
        """Other deployments must be served as before."""
        _, gateway, _ = self.statuses("/large/x", 6, 1.0, load_sharing="off")
        self.assertEqual({}, dict(gateway.transfers.outcomes))

    def test_full_memory_rejects_a_large_response(self):
        """A response that finds no memory would be cut while it is read."""

        async def body(env):
            env.put_document([LARGE])
            env.gateway.response_memory.shared.used = 2**40
            await asyncio.sleep(1)
            return await env.request("a1", "/large/x")

        answer = self.play(body)
        self.assertEqual(503, answer.status)
        self.assertEqual("no", answer.headers["request-ran"])
