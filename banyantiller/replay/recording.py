"""Records what a dispatcher gets, as a trace that can be replayed.

A recording dispatcher passes every input on to the real one and writes it
down. The daemon uses it when its settings name a trace file, and benches use
it on request. The length of a recording is bounded.
"""

import atexit
import json
from collections.abc import Callable, Mapping
from typing import Any

import structlog

from banyantiller.bundle import options, plain
from banyantiller.replay import dispatcher_inputs as inputs
from banyantiller.replay import traces
from banyantiller.routing import types

log = structlog.get_logger("banyantiller.replay")

MOST_BYTES = 64_000_000
BUFFER_BYTES = 1 << 16

Create = Callable[..., types.Dispatcher]


class Recording:
    """Writes the lines of one trace, up to a bound.

    Attributes:
        names: Names of the inputs by type.
        written: Bytes so far.
        is_full: Whether nothing more is written.
    """

    def __init__(
        self,
        write: Callable[[str], Any],
        most_bytes: int = MOST_BYTES,
        close: Callable[[], None] = lambda: None,
        names: Mapping[type, str] = inputs.NAMES,
    ) -> None:
        self.write = write
        self.names = names
        self.end = close
        self.most_bytes = most_bytes
        self.written = 0
        self.is_full = False

    def close(self) -> None:
        """Ends the recording."""
        self.is_full = True
        self.end()

    def begin(self, header: Any) -> None:
        """Writes the header."""
        self.write(json.dumps(plain.to_plain(header)) + "\n")

    def note(self, at: float, item: Any) -> None:
        """Writes one typed input."""
        if self.is_full:
            return
        line = traces.write(at, self.names[type(item)], item)
        self.written += len(line)
        if self.written > self.most_bytes:
            self.is_full = True
            line = traces.write(at, "truncated", inputs.Truncated())
            log.warning("replay: the trace file is full.")
        self.write(line)


class RecordingDispatcher:
    """Passes inputs on to a dispatcher and records them.

    Attributes:
        dispatcher: The real dispatcher.
        recording: Where inputs are written.
        tries: Call, number within the call and server of running tries.
        counts: Tries of each call that has no outcome yet.
    """

    def __init__(
        self, dispatcher: types.Dispatcher, recording: Recording
    ) -> None:
        self.dispatcher = dispatcher
        self.recording = recording
        self.tries: dict[int, tuple[int, int, str]] = {}
        self.counts: dict[int, int] = {}

    def __getattr__(self, name: str) -> Any:
        """Returns what a plug-in offers beyond the protocol."""
        return getattr(self.dispatcher, name)

    def configure(
        self,
        service: options.Service,
        servers: tuple[types.ServerState, ...],
        now: float,
    ) -> list[types.Action]:
        """Records a new bundle or changed servers."""
        self.recording.note(now, inputs.Configure(service, servers))
        return self._seen(self.dispatcher.configure(service, servers, now))

    def submit(self, call: types.Call, now: float) -> list[types.Action]:
        """Records a call."""
        self.recording.note(now, inputs.Submit(*call))
        self.counts[call.call_id] = 0
        return self._seen(self.dispatcher.submit(call, now))

    def attempt_head(
        self, attempt_id: int, result: types.AttemptResult, now: float
    ) -> list[types.Action]:
        """Records the answer head, or the failure, of a try."""
        known = self.tries.get(attempt_id)
        if known is not None:
            self.recording.note(now, _head(known, result))
            if not result.ok:
                del self.tries[attempt_id]
        return self._seen(self.dispatcher.attempt_head(attempt_id, result, now))

    def attempt_done(self, attempt_id: int, now: float) -> list[types.Action]:
        """Records the end of a relayed answer."""
        known = self.tries.pop(attempt_id, None)
        if known is not None:
            self.recording.note(now, inputs.Done(*known[:2]))
        return self._seen(self.dispatcher.attempt_done(attempt_id, now))

    def cancel(self, call_id: int, now: float) -> list[types.Action]:
        """Records that a caller is gone."""
        self.recording.note(now, inputs.Cancel(call_id))
        self.counts.pop(call_id, None)
        return self._seen(self.dispatcher.cancel(call_id, now))

    def report(
        self, server: str, report: types.LoadReport, now: float
    ) -> list[types.Action]:
        """Records a report from a probe or a peer."""
        self.recording.note(now, inputs.Reported(server, *report))
        return self._seen(self.dispatcher.report(server, report, now))

    def probe_failed(self, server: str, now: float) -> list[types.Action]:
        """Records that a probe got no answer."""
        self.recording.note(now, inputs.ProbeFailed(server))
        return self._seen(self.dispatcher.probe_failed(server, now))

    def members(self, alive: int, now: float) -> None:
        """Records the number of daemons believed alive."""
        self.recording.note(now, inputs.Members(alive))
        self.dispatcher.members(alive, now)

    def own_load(self, now: float) -> dict[str, float]:
        """Returns this daemon's own in-flight calls by server, for peers."""
        return self.dispatcher.own_load(now)

    def tick(self, now: float) -> list[types.Action]:
        """Records that the timer came due."""
        self.recording.note(now, inputs.Tick())
        return self._seen(self.dispatcher.tick(now))

    def next_tick(self) -> float | None:
        """Returns the time of the next due work, or None."""
        return self.dispatcher.next_tick()

    def _seen(self, actions: list[types.Action]) -> list[types.Action]:
        for action in actions:
            match action:
                case types.Start(call_id, attempt_id, server):
                    number = self.counts.get(call_id, 0) + 1
                    self.counts[call_id] = number
                    self.tries[attempt_id] = (call_id, number, server)
                case types.Cancel(attempt_id):
                    self.tries.pop(attempt_id, None)
                case types.Relay(call_id) | types.Refuse(call_id):
                    self.counts.pop(call_id, None)
        return actions


def record(
    create: Create,
    write: Callable[[str], Any],
    most_bytes: int = MOST_BYTES,
    close: Callable[[], None] = lambda: None,
) -> Create:
    """Returns a factory whose dispatcher is recorded.

    Args:
        create: The real factory; see `routing.types.Dispatcher`.
        write: Takes the lines of the trace.
        most_bytes: Bound of the trace.
        close: Ends the recording.
    """

    def create_recorded(
        service: options.Service,
        servers: tuple[types.ServerState, ...],
        daemon: str,
        zone: str,
        seed: int,
        now: float,
        charge: Callable[[float], bool],
    ) -> RecordingDispatcher:
        recording = Recording(write, most_bytes, close)
        recording.begin(
            inputs.Header(
                traces.FORMAT,
                "dispatcher",
                service,
                servers,
                daemon=daemon,
                zone=zone,
                seed=seed,
                start=now,
            )
        )

        def recorded_charge(at: float) -> bool:
            granted = charge(at)
            recording.note(at, inputs.Charged(granted))
            return granted

        dispatcher = create(
            service, servers, daemon, zone, seed, now, recorded_charge
        )
        return RecordingDispatcher(dispatcher, recording)

    return create_recorded


def record_to_files(create: Create, path: str) -> Create:
    """Returns a factory that records each service into a file of its own.

    Args:
        create: The real factory.
        path: Path to which the service's name is appended.
    """

    def create_recorded(
        service: options.Service, *others: Any
    ) -> types.Dispatcher:
        name = f"{path}.{service.name}.jsonl"
        # The file stays open as long as the dispatcher that writes to it.
        file = open(  # noqa: SIM115
            name, "w", buffering=BUFFER_BYTES, encoding="utf-8"
        )
        atexit.register(file.close)
        log.info("replay: recording a trace.", file=name)
        recorded = record(create, file.write, close=file.close)
        return recorded(service, *others)

    return create_recorded


def _head(
    known: tuple[int, int, str], result: types.AttemptResult
) -> inputs.Head:
    call, number, server = known
    report = result.report
    return inputs.Head(
        call=call,
        attempt=number,
        server=server,
        ok=result.ok,
        ran=str(result.ran),
        error=str(result.error or ""),
        status=result.status,
        report=inputs.Report(*report) if report else None,
        retry_after_s=result.retry_after_s,
        replayable=result.replayable,
    )
