"""Tells what became of a request, and which lines show it."""

from typing import Any, NamedTuple

from banyantiller.explain import reading
from banyantiller.gateway import call_events, events
from banyantiller.telemetry import events as log_events

# Beliefs of the same daemon that are this old may have decided; a leaving or
# silent server is forgotten within this time.
BEFORE_S = 5.0
ENDED = log_events.text_of(call_events.CallEnded)
FAILED = log_events.text_of(call_events.AttemptFailed)
BELIEFS = frozenset(
    log_events.text_of(kind)
    for kind in (
        events.ServerUnresponsive,
        events.ServerResponsive,
        call_events.ServerSuspected,
        events.ServerLeaves,
        events.ServerRemoved,
        events.RegistrationLapsed,
        events.ServerReportedFailing,
        events.ZoneEvacuated,
        events.ZoneGivenBack,
        events.ServerLimited,
        events.ServerUnlimited,
        events.LimitUnreadable,
        events.DocumentInForce,
        events.DocumentUnreadable,
        events.StoreLost,
        events.StoreBack,
        events.PeerLost,
        call_events.BudgetSpent,
        events.ShuttingDown,
        events.CallsCut,
        call_events.CallsNotLogged,
    )
)
# What a kind of failure means, in one clause.
MEANINGS = {
    "quarantined": "servers ended under the same request before, one after the"
    " other (see the lines with its fingerprint)",
    "no_server": "no server got free in the time that leaves enough for work",
    "backend_shed": "servers turned it away, and no further try was allowed",
    "deadline_unreachable": "its time passed before it was sent",
    "deadline_after_start": "its server had not answered when its time passed",
    "connection_lost": "the connection to the server ended before the answer",
    "backend_malformed": "what the server sent was not this request's answer",
    "no_bundle": "the daemon had just started and knew no routes yet",
    "unknown_service": "no route of the version in force has its host and path",
    "fenced": "the document in force does not allow it (route or size), and a"
    " newer one may: the store is lost or silent, or the newest document can't"
    " be read",
    "caller_gone": "the caller left before the answer",
    "internal": "a fault of the daemon's own",
}
RAN = {True: "It may have run.", False: "It did not run."}


class Story(NamedTuple):
    """What is known of one request.

    Attributes:
        sentences: What happened, in order.
        ran: "yes", "no" or "unknown".
        lines: Lines that show it.
        unknown: What the logs don't tell.
    """

    sentences: list[str]
    ran: str
    lines: list[reading.Line]
    unknown: list[str]


def tell(request_id: str, logs: reading.Logs) -> Story:
    """Explains one request from the lines of all daemons."""
    own = [one for one in logs.lines if one.fields.get("id") == request_id]
    unknown = _gaps(logs)
    if not own:
        unknown.insert(
            0,
            "No line has this id: no daemon whose log was given read the whole"
            " request, or it was answered well and not sampled.",
        )
        return Story([], "unknown", [], unknown)
    beliefs = _beliefs(own, logs)
    sentences = [_sentence(line) for line in [*beliefs, *own]]
    ended = [line for line in own if line.event == ENDED]
    if not ended:
        unknown.insert(
            0, "No line tells how it ended: the daemon may have been killed."
        )
    ran = _ran(ended)
    return Story(sentences, ran, [*beliefs, *own], unknown)


def _gaps(logs: reading.Logs) -> list[str]:
    found = []
    if logs.lost:
        found.append(f"Daemons could not write {logs.lost} lines.")
    if logs.unreadable:
        found.append(f"{logs.unreadable} lines can't be read.")
    return found


def _beliefs(own: list[reading.Line], logs: reading.Logs) -> list[reading.Line]:
    """Returns what the same daemons believed then, by their own clocks."""
    found = []
    for daemon in dict.fromkeys(line.daemon for line in own):
        mine = [line for line in own if line.daemon == daemon]
        times = [line.at_s for line in mine]
        touched = _Touched.by(mine)
        found += [
            line
            for line in logs.lines
            if line.daemon == daemon
            and line not in mine
            and min(times) - BEFORE_S <= line.at_s <= max(times)
            and touched.concerns(line)
        ]
    return found


class _Touched(NamedTuple):
    """What a request had to do with."""

    instances: frozenset[str]
    services: frozenset[str]

    @classmethod
    def by(cls, lines: list[reading.Line]) -> "_Touched":
        """Collects it from the lines of the request."""
        return cls(
            frozenset(i for line in lines for i in _instances(line.fields)),
            frozenset(line.fields.get("service", "") for line in lines),
        )

    def concerns(self, line: reading.Line) -> bool:
        """Tells whether a line says what could decide the request."""
        if line.event not in BELIEFS:
            return False
        instance = line.fields.get("instance")
        if instance is not None:
            return instance in self.instances
        service = line.fields.get("service")
        return service is None or service in self.services


def _instances(fields: dict[str, Any]) -> list[str]:
    """Returns the servers that a line names."""
    one = fields.get("instance")
    return [*fields.get("instances", ()), *([one] if one else ())]


def _ran(ended: list[reading.Line]) -> str:
    if not ended:
        return "unknown"
    if any(line.fields.get("error") is None for line in ended):
        return "yes"
    maybe = any(line.fields.get("maybe_ran") for line in ended)
    return "unknown" if maybe else "no"


def _sentence(line: reading.Line) -> str:
    fields = line.fields
    if line.event == ENDED:
        return f"{line.daemon}: {_end(fields)}"
    if line.event == FAILED:
        reason = fields.get("reason") or "no reason given"
        return (
            f"{line.daemon}: server {fields.get('instance')} failed it"
            f" ({fields.get('kind')}: {reason}); {_load(fields)}."
        )
    rest = ", ".join(
        f"{name} {fields[name]}"
        for name in ("instance", "reason", "error", "version", "away_s")
        if fields.get(name)
    )
    event = line.event.partition(": ")[2].rstrip(".")
    return f"{line.daemon}: {event}{f' ({rest})' if rest else ''}."


def _end(fields: dict[str, Any]) -> str:
    took = f"after {fields.get('took_ms')} ms"
    error = fields.get("error")
    where = f"route {fields.get('route') or 'none'}"
    where += f", document {fields.get('version')}"
    if error:
        meaning = MEANINGS.get(error, error)
        ran = RAN[bool(fields.get("maybe_ran"))]
        return (
            f"ended with {fields.get('status')} {took} ({where}): {meaning}."
            f" Sent to {_sent_to(fields)}. {ran}"
        )
    late = _late(fields)
    return (
        f"answered {fields.get('status')} {took} ({where}), sent to"
        f" {_sent_to(fields)}, last after {fields.get('sent_ms')} ms;"
        f" {_load(fields)}.{late}"
    )


def _sent_to(fields: dict[str, Any]) -> str:
    return ", then ".join(_instances(fields)) or "no server"


def _late(fields: dict[str, Any]) -> str:
    objective = fields.get("objective_ms")
    took = fields.get("took_ms")
    if objective is None or took is None or took <= objective:
        return ""
    waited = fields.get("sent_ms") or 0
    where = "at the server" if took - waited > waited else "before it was sent"
    return (
        f" It was late: the objective is {objective} ms, and most of the time"
        f" passed {where}."
    )


def _load(fields: dict[str, Any]) -> str:
    load = fields.get("load")
    if not load:
        return "its load was not known"
    running, waiting, slots, slowness = load
    return (
        f"it had said {running} of {slots} slots taken, {waiting} waiting,"
        f" {slowness:g} times the usual duration"
    )
