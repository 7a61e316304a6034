"""Tests of parts without sockets: matching, load, stages, timer."""

import asyncio

from banyantiller.bundle import options
from banyantiller.proxy import load, matching, stages, timers
from banyantiller.routing.types import LoadReport
from banyantiller.tests import base


class MatchingTest(base.TestCase):
    def test_host_and_longest_path_by_whole_segments(self) -> None:
        routes: matching.Routes[str] = matching.Routes()
        for name, hosts, path in (
            ("any", (), "/"),
            ("shop", ("Shop.example",), "/"),
            ("pay", ("shop.example",), "/pay"),
            ("deep", (), "/a/b"),
        ):
            routes.add(options.Service(name, (), hosts=hosts, path=path), name)
        for host, path, name in (
            ("other", "/", "any"),
            ("shop.example", "/x", "shop"),
            ("SHOP.example:80", "/pay", "pay"),
            ("shop.example", "/pay/1", "pay"),
            ("shop.example", "/payments", "shop"),
            ("other", "/a/b/c", "deep"),
            ("other", "/a/bc", "any"),
        ):
            self.assertEqual(name, routes.find(host, path), (host, path))

    def test_first_matching_rule_decides(self) -> None:
        rules = (
            options.RequestRule(False, path="/a/pay"),
            options.RequestRule(True, ("GET",), "/a"),
            options.RequestRule(True, path="/b"),
        )
        service = options.Service("s", (), requests=rules)
        for method, path, expected in (
            ("GET", "/a/x", True),
            ("GET", "/a/pay/1", False),
            ("POST", "/a/x", False),
            ("POST", "/b", True),
            ("GET", "/c", False),
        ):
            got = matching.is_idempotent(service, method, path)
            self.assertEqual(expected, got, (method, path))

    def test_targets(self) -> None:
        for target, expected in (
            (b"/a?b", ("/a", b"/a?b", "")),
            (b"*", ("/", b"*", "")),
            (b"http://h:1/a?b", ("/a", b"/a?b", "h:1")),
            (b"http://h", ("/", b"/", "h")),
            (b"http://u@h/", None),
            (b"a", None),
            (b"http://[", None),
        ):
            self.assertEqual(expected, matching.split_target(target), target)


class LoadTest(base.TestCase):
    def test_text_and_json(self) -> None:
        for value, expected in (
            (b"TEXT named_metrics.in_flight=3", LoadReport(3.0)),
            (b"TEXT cpu_utilization=0.3, in_flight=2.5", LoadReport(2.5)),
            (
                b'JSON {"cpu_utilization":1,"named_metrics":{"in_flight":4}}',
                LoadReport(4.0),
            ),
            (b"TEXT named_metrics.draining=1", LoadReport(0.0, draining=True)),
            (b"TEXT in_flight=nan", None),
            (b"TEXT in_flight=-1", None),
            (b"TEXT in_flight", None),
            (b"JSON {", None),
            (b"BIN abc", None),
            (b"", None),
        ):
            self.assertEqual(expected, load.read_header(value), value)


class StagesTest(base.TestCase):
    def test_the_last_stage_reached_applies(self) -> None:
        shares = [(options.Share("main", float(n)),) for n in (1, 2, 3)]
        service = options.Service(
            "s",
            (),
            shares=shares[0],
            stages=(
                options.Stage(60.0, shares[1]),
                options.Stage(90.0, shares[2]),
            ),
        )
        for elapsed, number, left in (
            (0.0, 0, 60.0),
            (60.0, 1, 30.0),
            (89.0, 1, 1.0),
            (100.0, 2, None),
        ):
            staged = stages.service_at(service, elapsed)
            self.assertEqual(shares[number], staged.service.shares)
            self.assertEqual(left, staged.next_s)


class LazyTimerTest(base.TestCase):
    def test_fires_once_at_the_time_set_last(self) -> None:
        async def body() -> None:
            loop = asyncio.get_running_loop()
            fired: list[float] = []
            timer = timers.LazyTimer(loop, lambda: fired.append(loop.time()))
            begin = loop.time()
            timer.set_lazily(begin + 5)
            timer.set_lazily(begin + 9)
            await asyncio.sleep(6)
            self.assertEqual([], fired)
            timer.set_lazily(begin + 7)
            await asyncio.sleep(10)
            self.assertEqual([7], [round(at - begin) for at in fired])
            timer.set_lazily(loop.time() + 1)
            timer.due = timers.NEVER
            await asyncio.sleep(5)
            self.assertEqual(1, len(fired))
            timer.set_exactly(loop.time() + 3)
            timer.set_exactly(loop.time() + 4)
            armed = timer.loop_handle.when()
            self.assertEqual(timer.due, armed)
            timer.set_exactly(timers.NEVER)
            self.assertIsNone(timer.loop_handle)

        self.run_paused(body())
