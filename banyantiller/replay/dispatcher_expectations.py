"""Outcomes that a trace of a dispatcher may state.

Each type's `problem` returns what is otherwise, or "" when it holds. Times
are those of the trace; `since` and `until` bound the submission of calls.
"""

import math
from typing import NamedTuple

from banyantiller.errors import Ran
from banyantiller.replay.call_log import CallLog, CallRecord

FOREVER = 1e9


class NeverStarted(NamedTuple):
    """No try of the call was sent to a server."""

    call: int

    def problem(self, log: CallLog) -> str:
        """Returns what is otherwise."""
        tries = _record(log, self.call).tries
        return f"it was sent to {tries[0].server}" if tries else ""


class Answered(NamedTuple):
    """The call got an answer, by a server if named, within a time."""

    call: int
    within_s: float = FOREVER
    server: str = ""

    def problem(self, log: CallLog) -> str:
        """Returns what is otherwise."""
        record = _record(log, self.call)
        duration = record.duration_s
        if duration is None:
            return f"it was not answered: {_outcome(record)}"
        if duration > self.within_s:
            return f"it took {duration:.3f} s"
        server = record.tries[-1].server
        if self.server and self.server != server:
            return f"it was answered by {server}"
        return ""


class Refused(NamedTuple):
    """The call failed with a kind, at once or within a time."""

    call: int
    kind: str
    within_s: float = FOREVER
    with_retry_after: bool = False

    def problem(self, log: CallLog) -> str:
        """Returns what is otherwise."""
        record = _record(log, self.call)
        failure = record.failure
        if failure is None or failure.error_kind != self.kind:
            return f"its outcome is {_outcome(record)}"
        after = (record.refused_at or 0.0) - record.submitted_at
        if after > self.within_s:
            return f"it was refused after {after:.3f} s"
        if self.with_retry_after and failure.retry_after is None:
            return "it was not told when to come back"
        return ""


class ServerGetsNothingAfter(NamedTuple):
    """No try starts on the server after a time."""

    server: str
    t: float
    until: float = FOREVER

    def problem(self, log: CallLog) -> str:
        """Returns what is otherwise."""
        late = [
            item.started_at
            for item in log.all_tries()
            if item.server == self.server
            and self.t < item.started_at <= self.until
        ]
        return f"it got {len(late)}, the last at {max(late)}" if late else ""


class ServerGetsSome(NamedTuple):
    """At least one try starts on the server in a period."""

    server: str
    since: float = 0.0
    until: float = FOREVER

    def problem(self, log: CallLog) -> str:
        """Returns what is otherwise."""
        got = any(
            item.server == self.server
            and self.since <= item.started_at <= self.until
            for item in log.all_tries()
        )
        return "" if got else "it got none"


class ServerShareAtMost(NamedTuple):
    """At most a part of the first tries of a period go to the server."""

    server: str
    percent: float
    since: float = 0.0
    until: float = FOREVER

    def problem(self, log: CallLog) -> str:
        """Returns what is otherwise."""
        firsts = [
            record.tries[0].server
            for record in log.between(self.since, self.until)
            if record.tries
        ]
        if not firsts:
            return "no call was started"
        share = 100 * firsts.count(self.server) / len(firsts)
        return "" if share <= self.percent else f"it got {share:.1f}%"


class RunsAtMostOnce(NamedTuple):
    """No call that may not be repeated has two tries that may have run."""

    def problem(self, log: CallLog) -> str:
        """Returns what is otherwise."""
        twice = [
            number
            for number, record in log.calls.items()
            if not record.call.idempotent and record.runs > 1
        ]
        return f"calls that may have run twice: {twice}" if twice else ""


class ToldNotRunWasNotRun(NamedTuple):
    """No call that is told "not run" has a try that may have run."""

    def problem(self, log: CallLog) -> str:
        """Returns what is otherwise."""
        wrong = [
            number
            for number, record in log.calls.items()
            if record.failure is not None
            and record.failure.response.ran is Ran.NO
            and record.runs
        ]
        return f"calls that may have run: {wrong}" if wrong else ""


class EveryCallEndsOnce(NamedTuple):
    """Each call gets exactly one outcome, none after its deadline.

    Attributes:
        slack_s: Time by which an outcome may miss the deadline.
    """

    slack_s: float = 0.1

    def problem(self, log: CallLog) -> str:
        """Returns what is otherwise."""
        for number, record in log.calls.items():
            if record.endings != 1:
                return f"call {number} has {record.endings} outcomes"
            ended = record.answered_at or record.refused_at
            if ended and ended > record.call.deadline + self.slack_s:
                return f"call {number} ended after its deadline"
        return "" if log.calls else "there are no calls"


class NoTryOutlivesItsCall(NamedTuple):
    """Each try has ended or was cancelled once its call had its outcome."""

    def problem(self, log: CallLog) -> str:
        """Returns what is otherwise."""
        left = [
            number
            for number, record in log.calls.items()
            if record.endings and not all(item.over for item in record.tries)
        ]
        return f"calls with a try that goes on: {left}" if left else ""


class AnsweredShare(NamedTuple):
    """At least a part of the calls of a period is answered."""

    percent: float
    since: float = 0.0
    until: float = FOREVER

    def problem(self, log: CallLog) -> str:
        """Returns what is otherwise."""
        calls = log.between(self.since, self.until)
        if not calls:
            return "there are no calls"
        answered = sum(item.answered_at is not None for item in calls)
        share = 100 * answered / len(calls)
        return "" if share >= self.percent else f"{share:.1f}% were"


class AnsweredWithin(NamedTuple):
    """A part of the calls of a period is answered within a time."""

    percent: float
    seconds: float
    since: float = 0.0
    until: float = FOREVER

    def problem(self, log: CallLog) -> str:
        """Returns what is otherwise."""
        calls = log.between(self.since, self.until)
        if not calls:
            return "there are no calls"
        durations = sorted(
            math.inf if item.duration_s is None else item.duration_s
            for item in calls
        )
        at = math.ceil(self.percent / 100 * len(durations)) - 1
        took = durations[max(at, 0)]
        return "" if took <= self.seconds else f"it took {took:.3f} s"


class ExtraTriesAtMost(NamedTuple):
    """Retries and hedges stay within a part of the calls.

    Attributes:
        percent: Most extra tries over calls.
        besides: Extra tries that are allowed on top.
    """

    percent: float
    besides: int = 0

    def problem(self, log: CallLog) -> str:
        """Returns what is otherwise."""
        extra = sum(max(len(c.tries) - 1, 0) for c in log.calls.values())
        most = self.percent / 100 * len(log.calls) + self.besides
        return "" if extra <= most else f"there were {extra}"


class TriesAtMost(NamedTuple):
    """The call has at most some tries, on different servers."""

    call: int
    most: int
    different: bool = True

    def problem(self, log: CallLog) -> str:
        """Returns what is otherwise."""
        servers = [item.server for item in _record(log, self.call).tries]
        if len(servers) > self.most:
            return f"it had {len(servers)}"
        if self.different and len(set(servers)) < len(servers):
            return f"they went to {servers}"
        return ""


class ProbesAtMost(NamedTuple):
    """No more probes are sent than stated."""

    count: int

    def problem(self, log: CallLog) -> str:
        """Returns what is otherwise."""
        sent = len(log.probes)
        return "" if sent <= self.count else f"{sent} were sent"


class SameServers(NamedTuple):
    """Every try goes to the server of the recording."""

    def problem(self, log: CallLog) -> str:
        """Returns what is otherwise."""
        tries = [item for item in log.all_tries() if item.recorded]
        other = sum(item.server != item.recorded for item in tries)
        if other:
            return f"{other} of {len(tries)} went to others"
        return "" if tries else "no try was recorded"


EXPECTATIONS: dict[str, type] = {
    "never_started": NeverStarted,
    "answered": Answered,
    "refused": Refused,
    "server_gets_nothing_after": ServerGetsNothingAfter,
    "server_gets_some": ServerGetsSome,
    "server_share_at_most": ServerShareAtMost,
    "runs_at_most_once": RunsAtMostOnce,
    "told_not_run_was_not_run": ToldNotRunWasNotRun,
    "every_call_ends_once": EveryCallEndsOnce,
    "no_try_outlives_its_call": NoTryOutlivesItsCall,
    "answered_share": AnsweredShare,
    "answered_within": AnsweredWithin,
    "extra_tries_at_most": ExtraTriesAtMost,
    "tries_at_most": TriesAtMost,
    "probes_at_most": ProbesAtMost,
    "same_servers": SameServers,
}


def _record(log: CallLog, call: int) -> CallRecord:
    record = log.calls.get(call)
    if record is None:
        # A call that was never submitted has no tries and no outcome.
        raise LookupError(f"call {call} is not in the trace")
    return record


def _outcome(record: CallRecord) -> str:
    if record.failure is not None:
        return record.failure.error_kind
    if record.cancelled:
        return "cancelled"
    return "none" if record.answered_at is None else "an answer"
