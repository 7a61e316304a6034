"""Tests that a server that asks for a backoff gets no requests meanwhile."""

import asyncio

from banyantiller.tests.gateway import harness

BACKOFF_S = 3.0
REQUEST_INTERVAL_S = 0.05
WORK_S = 0.2
# Requests that may reach a server in its backoff, from `SETTLE_S` after its
# response on: they were sent before.
MAX_LATE_ARRIVALS = 2
SETTLE_S = 0.5


def max_arrivals_in_backoff(server, backoff_s=BACKOFF_S):
    """Returns the maximum number of requests in any backoff of a server."""
    times = [one.at for one in server.arrivals]
    refused_at = [one.at for one in server.arrivals if one.refusal == 503]
    return max(
        sum(at + SETTLE_S < time < at + backoff_s for time in times)
        for at in refused_at
    )


async def send_requests(env, seconds, name="r", path="/read/x", method="GET"):
    """Sends requests at a steady rate and returns the replies."""
    tasks = []
    for number in range(round(seconds / REQUEST_INTERVAL_S)):
        request = env.request(f"{name}{number}", path, method)
        tasks.append(asyncio.ensure_future(request))
        await asyncio.sleep(REQUEST_INTERVAL_S)
    return await asyncio.gather(*tasks)


class ServerBackoffTest(harness.TestCase):
    def test_idle_server_that_sent_retry_after_gets_no_requests_meanwhile(self):
        async def body(env):
            # At this rate the other servers often have no free slot.
            for server in env.servers.values():
                server.work_s = WORK_S
            refusing = env.servers["s0"]
            refusing.faults.shed = True
            refusing.retry_after = f"{BACKOFF_S:g}"
            await send_requests(env, 2 * BACKOFF_S)
            return max_arrivals_in_backoff(refusing)

        self.assertLessEqual(self.play(body), MAX_LATE_ARRIVALS)
