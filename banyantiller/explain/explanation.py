"""Tells what became of a request, and which lines show it."""

from typing import Any, NamedTuple

from banyantiller.explain import log_reader
from banyantiller.gateway import call_events, events
from banyantiller.telemetry import events as log_events

# Beliefs of the same daemon that are this old may have decided; a leaving or
# silent server is forgotten within this time.
LOOKBACK_S = 5.0
CALL_ENDED_EVENT = log_events.text_of(call_events.CallEnded)
ATTEMPT_FAILED_EVENT = log_events.text_of(call_events.AttemptFailed)
CONTEXT_EVENTS = frozenset(
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
ERROR_DESCRIPTIONS = {
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
RAN_SENTENCES = {True: "It may have run.", False: "It did not run."}


class Explanation(NamedTuple):
    """What is known of one request.

    Attributes:
        sentences: What happened, in order.
        ran: "yes", "no" or "unknown".
        lines: Lines that show it.
        unknown: What the logs don't tell.
    """

    sentences: list[str]
    ran: str
    lines: list[log_reader.LogLine]
    unknown: list[str]


def explain_request(
    request_id: str, logs: log_reader.ParsedLogs
) -> Explanation:
    """Explains one request from the lines of all daemons."""
    request_lines = [
        one for one in logs.lines if one.fields.get("id") == request_id
    ]
    unknown = _describe_gaps(logs)
    if not request_lines:
        unknown.insert(
            0,
            "No line has this id: no daemon whose log was given read the whole"
            " request, or it was answered well and not sampled.",
        )
        return Explanation([], "unknown", [], unknown)
    context = _find_context_lines(request_lines, logs)
    sentences = [_describe_line(line) for line in [*context, *request_lines]]
    ended = [line for line in request_lines if line.event == CALL_ENDED_EVENT]
    if not ended:
        unknown.insert(
            0, "No line tells how it ended: the daemon may have been killed."
        )
    ran = _execution_status(ended)
    return Explanation(sentences, ran, [*context, *request_lines], unknown)


def _describe_gaps(logs: log_reader.ParsedLogs) -> list[str]:
    found = []
    if logs.lost:
        found.append(f"Daemons could not write {logs.lost} lines.")
    if logs.unreadable:
        found.append(f"{logs.unreadable} lines can't be read.")
    return found


def _find_context_lines(
    request_lines: list[log_reader.LogLine], logs: log_reader.ParsedLogs
) -> list[log_reader.LogLine]:
    """Returns what the same daemons believed then, by their own clocks."""
    found = []
    for daemon in dict.fromkeys(line.daemon for line in request_lines):
        daemon_lines = [line for line in request_lines if line.daemon == daemon]
        times = [line.at_s for line in daemon_lines]
        scope = _RequestScope.from_lines(daemon_lines)
        found += [
            line
            for line in logs.lines
            if line.daemon == daemon
            and line not in daemon_lines
            and min(times) - LOOKBACK_S <= line.at_s <= max(times)
            and scope.is_relevant(line)
        ]
    return found


class _RequestScope(NamedTuple):
    """What a request had to do with."""

    instances: frozenset[str]
    services: frozenset[str]

    @classmethod
    def from_lines(cls, lines: list[log_reader.LogLine]) -> "_RequestScope":
        """Collects it from the lines of the request."""
        return cls(
            frozenset(
                i for line in lines for i in _named_instances(line.fields)
            ),
            frozenset(line.fields.get("service", "") for line in lines),
        )

    def is_relevant(self, line: log_reader.LogLine) -> bool:
        """Tells whether a line says what could decide the request."""
        if line.event not in CONTEXT_EVENTS:
            return False
        instance = line.fields.get("instance")
        if instance is not None:
            return instance in self.instances
        service = line.fields.get("service")
        return service is None or service in self.services


def _named_instances(fields: dict[str, Any]) -> list[str]:
    """Returns the servers that a line names."""
    one = fields.get("instance")
    return [*fields.get("instances", ()), *([one] if one else ())]


def _execution_status(ended: list[log_reader.LogLine]) -> str:
    if not ended:
        return "unknown"
    if any(line.fields.get("error") is None for line in ended):
        return "yes"
    maybe = any(line.fields.get("maybe_ran") for line in ended)
    return "unknown" if maybe else "no"


def _describe_line(line: log_reader.LogLine) -> str:
    fields = line.fields
    if line.event == CALL_ENDED_EVENT:
        return f"{line.daemon}: {_describe_end(fields)}"
    if line.event == ATTEMPT_FAILED_EVENT:
        reason = fields.get("reason") or "no reason given"
        return (
            f"{line.daemon}: server {fields.get('instance')} failed it"
            f" ({fields.get('kind')}: {reason}); {_describe_load(fields)}."
        )
    rest = ", ".join(
        f"{name} {fields[name]}"
        for name in ("instance", "reason", "error", "version", "away_s")
        if fields.get(name)
    )
    event = line.event.partition(": ")[2].rstrip(".")
    return f"{line.daemon}: {event}{f' ({rest})' if rest else ''}."


def _describe_end(fields: dict[str, Any]) -> str:
    took = f"after {fields.get('took_ms')} ms"
    error = fields.get("error")
    where = f"route {fields.get('route') or 'none'}"
    where += f", document {fields.get('version')}"
    if error:
        meaning = ERROR_DESCRIPTIONS.get(error, error)
        ran = RAN_SENTENCES[bool(fields.get("maybe_ran"))]
        return (
            f"ended with {fields.get('status')} {took} ({where}): {meaning}."
            f" Sent to {_describe_servers(fields)}. {ran}"
        )
    late = _describe_lateness(fields)
    return (
        f"answered {fields.get('status')} {took} ({where}), sent to"
        f" {_describe_servers(fields)}, last after {fields.get('sent_ms')} ms;"
        f" {_describe_load(fields)}.{late}"
    )


def _describe_servers(fields: dict[str, Any]) -> str:
    return ", then ".join(_named_instances(fields)) or "no server"


def _describe_lateness(fields: dict[str, Any]) -> str:
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


def _describe_load(fields: dict[str, Any]) -> str:
    load = fields.get("load")
    if not load:
        return "its load was not known"
    running, waiting, slots, slowness = load
    return (
        f"it had said {running} of {slots} slots taken, {waiting} waiting,"
        f" {slowness:g} times the usual duration"
    )
