"""Tests of copies of rejections that arrive late."""

import asyncio
import random

from banyantiller.tests.gateway import harness


class LateRejectionTest(harness.TestCase):
    """Guards against a late copy that is taken for another rejection."""

    def play_calls(self, path, method, seed=1):
        """Returns how often each of many calls ran, and their replies."""

        async def body(env):
            env.fault(late_rejections=True, shed_share=0.3)
            rng = random.Random(seed)
            tasks = []
            for number in range(200):
                call = env.request(f"r{number}", path, method, deadline_ms=900)
                tasks.append(asyncio.ensure_future(call))
                await asyncio.sleep(rng.uniform(0.0, 0.08))
            replies = await asyncio.gather(*tasks)
            runs = [env.ran(f"r{number}") for number in range(200)]
            return runs, replies

        return self.play(body)

    def test_request_that_may_run_once_does_not_run_twice(self):
        runs, replies = self.play_calls("/file/x", "POST")
        self.assertEqual(1, max(runs))
        for ran, reply in zip(runs, replies, strict=True):
            if reply.headers.get("request-ran") == "no":
                self.assertEqual(0, ran)

    def test_idempotent_request_gets_its_own_response(self):
        _, replies = self.play_calls("/read/x", "GET")
        served = [n for n, one in enumerate(replies) if one.status == 200]
        self.assertNotEqual([], served)
        for number in served:
            request_id = replies[number].body.split()[0].decode()
            self.assertEqual(f"r{number}", request_id)
