"""What each result teaches about a server and the service."""

from banyantiller.errors import ErrorKind, Ran
from banyantiller.routing import ejection, limits
from banyantiller.routing.calls import Attempt
from banyantiller.routing.service import ServiceKnowledge
from banyantiller.routing.types import AttemptResult, LoadReport
from banyantiller.routing.views import ServerView

SURE_FAILURES = frozenset(
    {
        ErrorKind.CONNECT_FAILED,
        ErrorKind.CONNECT_TIMEOUT,
        ErrorKind.TLS_FAILED,
    }
)
FIRST_FAILING_STATUS = 500
CHECK_MARGIN = 0.25
DOUBT_RISE = 0.1
DOUBT_FALL = 0.01


def learn_result(
    known: ServiceKnowledge,
    attempt: Attempt,
    result: AttemptResult,
    now: float,
) -> None:
    """Takes the answer head or the failure of a try."""
    view = attempt.view
    if result.report is not None:
        if len(view.own) > 1:
            _check_report(known, attempt, result.report, now)
        learn_report(known, view, result.report, now)
        known.window.learn(result.report.in_flight, view.slots, known.tuning)
    if result.error is ErrorKind.BACKEND_SHED:
        usual = known.believed.service_s
        limits.hold(view, result.retry_after_s, usual, now)
        known.window.shed()
        return
    if not result.ok or result.status >= FIRST_FAILING_STATUS:
        sure = result.error in SURE_FAILURES and result.ran is Ran.NO
        note_failure(known, view, now, sure)
        return
    _learn_latency(known, attempt, now)
    ejection.answered(view)


def learn_report(
    known: ServiceKnowledge,
    view: ServerView,
    report: LoadReport,
    now: float,
) -> None:
    """Takes a report of a server's load."""
    if "reports" in known.tuning.off:
        return
    if view.learn_load(report, now):
        known.believed.learn_others(view.others)


def learn_cancelled(
    known: ServiceKnowledge, attempt: Attempt, now: float
) -> None:
    """Takes that a try was given up: it takes at least this long."""
    age = now - attempt.started
    view = attempt.view
    usual = known.believed.service_s
    if age < usual:
        return
    view.given_up += 1
    view.learn_latency(max(age, view.latency), now)
    view.watched = True
    if view.trial or view.given_up >= known.tuning.silent_after:
        note_failure(known, view, now, sure=True)


def note_failure(
    known: ServiceKnowledge, view: ServerView, now: float, sure: bool
) -> None:
    """Counts a failure against a server; ejects it if that is due."""
    group = known.group_of(view)
    if ejection.failed(view, group, known.tuning, now, sure):
        known.ejected.append(view)


def _learn_latency(
    known: ServiceKnowledge, attempt: Attempt, now: float
) -> None:
    seconds = now - attempt.started
    view = attempt.view
    view.learn_latency(seconds, now)
    view.given_up = 0
    known.believed.learn_latency(seconds)
    if not attempt.hedge:
        known.late.learn(seconds)
    usual = known.believed.service_s
    view.watched = (
        view.given_up > 0
        or view.latency > known.tuning.slow_from * usual
        or view.trial
        or view.failures > 0.0
        or now - view.warm_from < known.tuning.ramp_s
    )


def _check_report(
    known: ServiceKnowledge, attempt: Attempt, report: LoadReport, now: float
) -> None:
    """Compares a report with the own tries that must be on the server.

    The answered try is not counted, as a server may have let it go before it
    took the figure.
    """
    if "trust" in known.tuning.off:
        return
    view = attempt.view
    latest = now - CHECK_MARGIN * known.believed.service_s
    certain = view.settled(latest) - (attempt.started <= latest)
    if certain <= 0:
        return
    wrong = report.in_flight < certain
    view.doubt = _moved(view.doubt, wrong)
    known.believed.doubt = _moved(known.believed.doubt, wrong)


def _moved(doubt: float, wrong: bool) -> float:
    if wrong:
        return doubt + DOUBT_RISE * (1.0 - doubt)
    return doubt * (1.0 - DOUBT_FALL)
