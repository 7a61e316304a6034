"""Explains the outcome of a request and lists the lines that show it."""

from typing import Any, NamedTuple

from banyantiller.explain import log_reader
from banyantiller.gateway import call_events, events
from banyantiller.telemetry import events as log_events

# Events that the same daemon logged up to this long before the request may
# have influenced it: within this time, a daemon forgets a server that leaves
# or is unresponsive.
LOOKBACK_S = 5.0
CALL_ENDED_EVENT = log_events.text_of(call_events.CallEnded)
ATTEMPT_FAILED_EVENT = log_events.text_of(call_events.AttemptFailed)
CONTEXT_EVENTS = frozenset(
    log_events.text_of(kind)
    for kind in (
        events.ServerUnresponsive,
        events.ServerResponsive,
        call_events.ServerSuspected,
        events.ServerLeaving,
        events.ServerRemoved,
        events.RegistrationLapsed,
        events.ServerReportedFailing,
        events.ZoneEvacuated,
        events.ZoneGivenBack,
        events.ServersUnreachable,
        events.ServersReachable,
        events.ServerLimited,
        events.ServerUnlimited,
        events.LimitUnreadable,
        events.BackoffRequested,
        events.RetryAfterUnreadable,
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
# Meaning of each error kind, in one clause.
ERROR_DESCRIPTIONS = {
    "quarantined": "servers crashed one after the other while they ran earlier"
    " sends of the same request (see the lines with its fingerprint)",
    "no_server": "no server became available early enough to finish it in time",
    "backend_shed": "servers rejected it, and no further attempt was allowed",
    "deadline_unreachable": "its deadline passed before it was sent",
    "deadline_after_start": "the server had not responded by its deadline",
    "connection_lost": "the server connection was lost before the response",
    "backend_malformed": "the server sent no valid response to this request",
    "no_bundle": "the daemon had just started and had no routes yet",
    "unknown_service": "no route of the version in force matches its host"
    " and path",
    "unknown_key": "no organisation of the version in force holds the caller's"
    " key",
    "allowance_spent": "its organisation had used its allowance in the last"
    " window",
    "allowance_unknown": "no relay responded that grants its organisation"
    " requests",
    "fenced": "the document in force does not allow it (route, key or size),"
    " but a newer one may: the store is lost or unresponsive, or the newest"
    " document can't be read",
    "caller_gone": "the caller disconnected before the response",
    "internal": "an internal error of the daemon",
}
RAN_SENTENCES = {True: "It may have run.", False: "It did not run."}


class Explanation(NamedTuple):
    """What the logs show of one request.

    Attributes:
        sentences: What happened, in order.
        ran: Whether a server executed it: "yes", "no" or "unknown".
        lines: Log lines behind the sentences, in the same order.
        unknown: Sentences on what the logs do not show.
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
            "No line has this id: none of the daemons whose logs were given"
            " received the whole request, or it succeeded and was not sampled.",
        )
        return Explanation([], "unknown", [], unknown)
    context = _find_context_lines(request_lines, logs)
    sentences = [_describe_line(line) for line in [*context, *request_lines]]
    ended = [line for line in request_lines if line.event == CALL_ENDED_EVENT]
    if not ended:
        unknown.insert(
            0, "No line shows how it ended: the daemon may have been killed."
        )
    ran = _execution_status(ended)
    return Explanation(sentences, ran, [*context, *request_lines], unknown)


def _describe_gaps(logs: log_reader.ParsedLogs) -> list[str]:
    found = []
    if logs.lost:
        found.append(f"Daemons failed to write {logs.lost} log lines.")
    if logs.unreadable:
        found.append(f"{logs.unreadable} lines could not be parsed.")
    return found


def _find_context_lines(
    request_lines: list[log_reader.LogLine], logs: log_reader.ParsedLogs
) -> list[log_reader.LogLine]:
    """Returns the lines on state that may have influenced a request.

    Times are compared within the log of one daemon only, because the clocks
    of daemons may differ.
    """
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
    """Servers and services that the lines of a request name."""

    instances: frozenset[str]
    services: frozenset[str]

    @classmethod
    def from_lines(cls, lines: list[log_reader.LogLine]) -> "_RequestScope":
        """Collects the servers and services from the lines of the request."""
        return cls(
            frozenset(
                i for line in lines for i in _named_instances(line.fields)
            ),
            frozenset(line.fields.get("service", "") for line in lines),
        )

    def is_relevant(self, line: log_reader.LogLine) -> bool:
        """Returns whether a line shows state that may have influenced it."""
        if line.event not in CONTEXT_EVENTS:
            return False
        instance = line.fields.get("instance")
        if instance is not None:
            return instance in self.instances
        service = line.fields.get("service")
        return service is None or service in self.services


def _named_instances(fields: dict[str, Any]) -> list[str]:
    """Returns the identities of the servers that a line names."""
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
            f"{line.daemon}: attempt at server {fields.get('instance')} failed"
            f" ({fields.get('kind')}: {reason}); {_describe_load(fields)}."
        )
    rest = ", ".join(
        f"{name} {fields[name]}"
        for name in (
            "service",
            "instance",
            "reason",
            "error",
            "version",
            "away_s",
        )
        if fields.get(name)
    )
    event = line.event.partition(": ")[2].rstrip(".")
    return f"{line.daemon}: {event}{f' ({rest})' if rest else ''}."


def _describe_end(fields: dict[str, Any]) -> str:
    took = f"after {fields.get('took_ms')} ms"
    error = fields.get("error")
    where = f"route {fields.get('route') or 'none'}"
    where += f", document version {fields.get('version')}"
    if fields.get("organisation"):
        where += f", organisation {fields['organisation']}"
    if fields.get("forwarded_by"):
        where += f", forwarded by {fields['forwarded_by']}"
    if fields.get("peers"):
        where += f", forwarded to {', then '.join(fields['peers'])}"
    if error:
        meaning = ERROR_DESCRIPTIONS.get(error, error)
        ran = RAN_SENTENCES[bool(fields.get("maybe_ran"))]
        return (
            f"ended with {fields.get('status')} {took} ({where}): {meaning}."
            f" Sent to {_describe_servers(fields)}. {ran}"
        )
    late = _describe_lateness(fields)
    return (
        f"answered with {fields.get('status')} {took} ({where}), sent to"
        f" {_describe_servers(fields)}, the last time after"
        f" {fields.get('sent_ms')} ms;"
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
        f" It missed its latency objective of {objective} ms; most of the time"
        f" was spent {where}."
    )


def _describe_load(fields: dict[str, Any]) -> str:
    load = fields.get("load")
    if not load:
        return "the server's load was unknown"
    running, waiting, slots, slowness = load
    return (
        f"the server had reported {running} of {slots} slots in use, {waiting}"
        f" requests waiting, and {slowness:g} times the usual duration"
    )
