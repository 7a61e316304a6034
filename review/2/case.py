"""A consumer keeps two safe requests in flight while its machine shuts down."""

import asyncio
import collections
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent))

import harness

SERVICE = "survey"
PATH = "/maps/a"
CONSUMERS = 6
# Requests that a consumer has sent and that are not answered yet.
IN_FLIGHT = 2
# `species-map` of the site: usual work and time budget.
WORK_S = 0.24
DEADLINE_MS = 1500
BEFORE_S = 3.0
GRACE_S = 6.0
# Requests that were sent later than this after the SIGTERM and that were passed
# on are to be answered whatever their upstream does.
EXCUSED_S = 3.0


class Consumer:
    """Sends safe requests on kept connections, the next before the answer."""

    def __init__(self, case: "Case", number: int) -> None:
        self.case = case
        self.record = case.record
        self.names = harness.ids(f"{number:02x}")
        self.answered = 0

    async def run(self) -> None:
        """Sends until the case stops it; connects again after a close."""
        while not self.case.stopped:
            gateway = self.case.in_rotation()
            try:
                reader, writer = await harness.connect(gateway)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            await self._use(gateway, reader, writer)
            writer.transport.abort()

    async def _use(self, gateway, reader, writer) -> None:
        sent: collections.deque[str] = collections.deque()
        try:
            while True:
                while len(sent) < IN_FLIGHT and not self.case.stopped:
                    sent.append(self._send(gateway, writer))
                    # The requests of a consumer don't come at one moment.
                    await asyncio.sleep(WORK_S / IN_FLIGHT)
                if not sent:
                    return
                message = await harness.read_message(reader)
                if message is None:
                    break
                first, fields, _ = message
                name = sent.popleft()
                echoed = fields.get("attempt-id", "none")
                status = int(first.split(" ")[1])
                self.record.write(f"{name} answered {status} ({echoed})")
                self.case.answers[name] = status
                if fields.get("connection") == "close":
                    self.record.write(f"edge-{gateway.number} says close")
                    break
        except (OSError, asyncio.IncompleteReadError) as error:
            self.record.write(f"connection ends: {error!r}")
        for name in sent:
            self.record.write(f"{name} ends without an answer")
            self.case.cut[name] = self.record.now()

    def _send(self, gateway, writer) -> str:
        name = next(self.names)
        data = harness.encode_request("GET", PATH, name, DEADLINE_MS)
        writer.write(data)
        self.record.write(f"{name} sent to edge-{gateway.number}")
        self.case.sent[name] = (self.record.now(), gateway.number)
        return name


class Case:
    """Two machines, one of which gets SIGTERM."""

    def __init__(self, record: harness.Record) -> None:
        self.record = record
        self.stopped = False
        self.sent: dict[str, tuple[float, int]] = {}
        self.answers: dict[str, int] = {}
        self.cut: dict[str, float] = {}
        self.fleet: harness.Fleet | None = None
        self.ready: dict[int, bool] = {}

    def in_rotation(self) -> harness.Gateway:
        """Returns a machine that gets new connections."""
        for gateway in self.fleet.gateways:
            if self.ready.get(gateway.number):
                return gateway
        return self.fleet.gateways[-1]

    async def run(self) -> str:
        """Returns what broke the rule, or an empty text."""
        store = harness.Store()
        address = await store.start("127.0.0.1")
        routes = [harness.route("maps", "/maps/", "safe", SERVICE, 2.0, 0.6)]
        store.put("config", "main", harness.manifest(7, routes, [SERVICE]))
        upstreams = []
        for _ in range(8):
            one = harness.Upstream(self.record, SERVICE, 2, lambda _: WORK_S, 4)
            await one.start("127.0.0.1")
            store.put("servers", one.instance, one.entry("plateau"))
            upstreams.append(one)
        self.fleet = harness.Fleet(self.record, 2, address)
        try:
            for gateway in self.fleet.gateways:
                await self.fleet.start(gateway)
            await self.fleet.wait_ready()
            return await self._play(upstreams)
        finally:
            await self.fleet.close()

    async def _play(self, upstreams) -> str:
        rotation = asyncio.create_task(self._ask_readiness())
        await asyncio.sleep(1.2)
        consumers = [Consumer(self, n) for n in range(CONSUMERS)]
        tasks = [asyncio.create_task(one.run()) for one in consumers]
        await asyncio.sleep(BEFORE_S)
        first = self.fleet.gateways[0]
        stopped_at = self.record.now()
        if harness.TROUBLE:
            self.fleet.signal(first, signal.SIGTERM)
        await asyncio.sleep(GRACE_S)
        if harness.TROUBLE and first.process.returncode is None:
            self.fleet.signal(first, signal.SIGKILL)
        await asyncio.sleep(2)
        self.stopped = True
        await asyncio.gather(*tasks)
        rotation.cancel()
        return self._judge(stopped_at, upstreams)

    async def _ask_readiness(self) -> None:
        """Takes a machine out after two misses, as the platform does."""
        misses = dict.fromkeys((g.number for g in self.fleet.gateways), 0)
        while True:
            for gateway in self.fleet.gateways:
                good = await harness.is_ready(gateway)
                misses[gateway.number] = (
                    0 if good else misses[gateway.number] + 1
                )
                self.ready[gateway.number] = misses[gateway.number] < 2
            await asyncio.sleep(1)

    def _judge(self, stopped_at: float, upstreams) -> str:
        lost = []
        for name, at in self.cut.items():
            sent_at, number = self.sent[name]
            passed_on = any(name in one.began for one in upstreams)
            late = sent_at > stopped_at + EXCUSED_S
            in_time = at - sent_at < DEADLINE_MS / 1000
            self.record.write(
                f"{name}: sent {sent_at - stopped_at:.3f} s after the SIGTERM,"
                f" cut {at - sent_at:.3f} s later, passed on: {passed_on}"
            )
            if number == 1 and passed_on and late and in_time:
                lost.append(name)
        self.record.write(
            f"sent {len(self.sent)}, answered {len(self.answers)},"
            f" cut {len(self.cut)}, of these count {len(lost)}"
        )
        if not self.answers:
            raise RuntimeError("nothing was answered")
        if lost:
            return f"LOST: {len(lost)} requests, first {lost[0]}"
        return ""


if __name__ == "__main__":
    harness.main(
        lambda record: Case(record).run(),
        str(pathlib.Path(__file__).parent),
        100,
    )
