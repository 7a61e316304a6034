"""Stand-in of a backend server.

Runs at most `slots` requests at once, each for a random time, and answers
with what it was asked, so that exchanged answers are seen. Besides:

    GET /healthz           health; 503 while draining
    PUT /standin/faults    sets fields of `Faults`; GET shows them
    GET /standin/runs      shows counts of requests and of runs by key and id
    POST /standin/drain    begins to drain; so does SIGTERM

On SIGTERM it drains, ends what is in flight, and prints its counts as the
last line on standard output.
"""

import asyncio
import dataclasses
import json

import defopt

from banyantiller.http import messages, server
from standins import answers, backend_state, runner

LOAD_HEADER = "endpoint-load-metrics"
NOT_RUN = (("request-not-run", "1"), ("retry-after", "1"))
LONGEST_GRACE_S = 60.0


class Backend:
    """A backend server without its sockets.

    Attributes:
        settings: What was set at the start.
        faults: What fails at present.
        counts: Requests and runs so far.
        slots: Free slots.
        in_flight: Requests that run or wait.
        journal: Keeps each run on file, or None.
        slowed: Set, and replaced, when the speed changes.
    """

    def __init__(self, settings: backend_state.Settings) -> None:
        self.settings = settings
        self.faults = backend_state.Faults()
        self.counts = backend_state.Counts(settings.name)
        self.times = backend_state.ServiceTimes(settings)
        self.slots = asyncio.Semaphore(settings.slots)
        self.in_flight = 0
        self.journal: backend_state.Journal | None = None
        if settings.journal:
            self.journal = backend_state.Journal(settings.journal)
        self.slowed = asyncio.Event()
        self.resumed = asyncio.Event()
        self.resumed.set()
        self.draining = asyncio.Event()

    async def handle(self, request: messages.Request) -> messages.Response:
        """Answers one request."""
        if request.path.startswith("/standin/"):
            return self._control(request)
        await self.resumed.wait()
        if request.path == "/healthz":
            return self._health()
        self.counts.received += 1
        self.counts.note_arrival(self.draining.is_set())
        return await self._call(request)

    def begin_drain(self) -> None:
        """Tells on health and on load reports that the server is leaving."""
        if not self.draining.is_set():
            self.counts.note_drain()
            self.draining.set()

    async def _call(self, request: messages.Request) -> messages.Response:
        if self.faults.fail_status:
            self.counts.failed += 1
            return self._answer(self.faults.fail_status, {"error": "failing"})
        waiting = self.in_flight - self.settings.slots
        if self.faults.shed or waiting >= self.settings.queue:
            self.counts.shed += 1
            return self._answer(503, {"error": "not run"}, NOT_RUN)
        self.in_flight += 1
        arrived = asyncio.get_running_loop().time()
        try:
            async with self.slots:
                return await self._run(request, arrived)
        except asyncio.CancelledError:
            self.counts.cancelled += 1
            raise
        finally:
            self.in_flight -= 1

    async def _run(
        self, request: messages.Request, arrived: float
    ) -> messages.Response:
        self.counts.note_run(request)
        if self.journal is not None:
            self.journal.note_run(request)
        loop = asyncio.get_running_loop()
        began = loop.time()
        work_s = self.times.draw()
        try:
            await self._work(work_s)
            await self.resumed.wait()
        finally:
            self.counts.busy_s += loop.time() - began
        timing = backend_state.Timing(work_s, loop.time() - arrived)
        told = backend_state.echo(self.counts, request, timing)
        answer = self._answer(200, told)
        self.counts.answered += 1
        if self.faults.cut and self.faults.cut_next > 0:
            self.faults.cut_next -= 1
            return backend_state.cut_answer(answer, self.faults.cut)
        return answer

    async def _work(self, left_s: float) -> None:
        """Spends the time of a request; a change of speed counts at once."""
        loop = asyncio.get_running_loop()
        while left_s > 0.0:
            began = loop.time()
            slow = self.faults.slow
            slowed = self.slowed
            try:
                async with asyncio.timeout(left_s * slow):
                    await slowed.wait()
            except TimeoutError:
                return
            left_s -= (loop.time() - began) / slow

    def _answer(
        self, status: int, value: object, headers: messages.Headers = ()
    ) -> messages.Response:
        return answers.to_json(status, value, (*headers, *self._load()))

    def _load(self) -> messages.Headers:
        if not self.faults.report:
            return ()
        load = self.in_flight
        if self.faults.report_as >= 0:
            load = self.faults.report_as
        text = f"TEXT named_metrics.in_flight={load}"
        if self.draining.is_set():
            text += ", named_metrics.draining=1"
        return ((LOAD_HEADER, text),)

    def _health(self) -> messages.Response:
        self.counts.probes += 1
        if self.faults.fail_health:
            return self._answer(500, {"error": "failing"})
        draining = self.draining.is_set()
        return self._answer(503 if draining else 200, {"draining": draining})

    def _control(self, request: messages.Request) -> messages.Response:
        if request.path == "/standin/runs":
            return answers.to_json(200, self.counts.report())
        if request.path == "/standin/drain":
            self.begin_drain()
            return answers.to_json(200, {"draining": True})
        if request.path != "/standin/faults":
            return answers.to_json(404, {"error": "unknown path"})
        if request.method != "GET":
            try:
                answers.apply_fields(self.faults, request.body)
            except answers.BadRequestError as error:
                return answers.to_json(400, {"error": str(error)})
            self._apply_pause()
            self.slowed.set()
            self.slowed = asyncio.Event()
        return answers.to_json(200, dataclasses.asdict(self.faults))

    def _apply_pause(self) -> None:
        if self.faults.paused:
            self.resumed.clear()
        else:
            self.resumed.set()


async def drain(backend: Backend, listener: server.HttpServer) -> None:
    """Leaves: goes on for the set time, then ends what is in flight."""
    backend.begin_drain()
    listener.drain()
    await asyncio.sleep(backend.settings.drain_s)
    await listener.close(LONGEST_GRACE_S)


async def serve(settings: backend_state.Settings, port: int) -> None:
    """Serves until SIGTERM and prints the counts."""
    backend = Backend(settings)

    async def end(listener: server.HttpServer) -> None:
        await drain(backend, listener)

    await runner.run(backend.handle, port, end)
    print(json.dumps(backend.counts.report()), flush=True)


def main(
    *,
    port: int = 0,
    name: str = "server",
    slots: int = 2,
    queue: int = 100,
    service_s: float = 0.01,
    sigma: float = 0.5,
    seed: int = 1,
    drain_s: float = 4.0,
    journal: str = "",
) -> None:
    """Serves on the loopback address until SIGTERM.

    Args:
        port: Port; 0 lets the system choose.
        name: Name told on answers.
        slots: Requests that run at once.
        queue: Requests that wait; more are shed as not run.
        service_s: Median time of a request in seconds.
        sigma: Spread of the logarithm of the time; 0 for a constant time.
        seed: Seed of the times.
        drain_s: Seconds between SIGTERM and the end of listening.
        journal: File that gets a line for each run, or empty.
    """
    settings = backend_state.Settings(
        name, slots, queue, service_s, sigma, seed, drain_s, journal
    )
    asyncio.run(serve(settings, port))


if __name__ == "__main__":
    defopt.run(main)
