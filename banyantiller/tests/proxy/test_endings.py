"""Tests of what the data path concludes from servers that ended."""

import random
from types import SimpleNamespace

from banyantiller.proxy import endings
from banyantiller.quarantine import fingerprint
from banyantiller.tests import base


def call(target=b"/a"):
    """Returns a call that was read whole."""
    digest = fingerprint.Fingerprint(b"GET", b"x", target, b"")
    head = SimpleNamespace(chunked=False, content_length=None)
    body = SimpleNamespace(complete=True)
    return SimpleNamespace(
        fingerprint=digest, head=head, body=body, request_id=b"id"
    )


class Clock:
    """Wall time that a test moves."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


class EndingsTest(base.TestCase):
    def play(self, body):
        async def whole():
            wall = Clock()
            body(endings.Endings(300.0, None, wall, random.Random(1)), wall)

        self.run_paused(whole())

    def end(self, known, server, one):
        known.no_answer(server, one, 0.0)
        known.refused(server)

    def test_one_end_that_was_seen_already_counts_once(self):
        def body(known, wall):
            one = call()
            self.end(known, "s/1", one)
            # Its second connection there broke as well.
            self.assertTrue(known.may_try_again(one, "s/1"))
            self.assertFalse(known.may_try_again(one, "s/2"))

        self.play(body)

    def test_the_ends_of_one_server_are_told_apart(self):
        def body(known, wall):
            one = call()
            for _ in range(3):
                self.end(known, "s/1", one)
            self.assertEqual(
                1,
                len(
                    known.watch.table.crashed_servers(
                        one.fingerprint.hexdigest()
                    )
                ),
            )
            wall.now += endings.ONE_END_S
            self.end(known, "s/1", one)
            self.assertEqual(
                2,
                len(
                    known.watch.table.crashed_servers(
                        one.fingerprint.hexdigest()
                    )
                ),
            )

        self.play(body)

    def test_a_body_that_is_not_there_yet(self):
        def body(known, wall):
            one = call()
            one.head.content_length = 5
            one.body.complete = False
            self.end(known, "s/1", one)
            self.assertFalse(known.is_suspect(one))
            self.assertIsNone(known.wait_s(one))
            self.assertTrue(known.may_try_again(one, "s/2"))

        self.play(body)
