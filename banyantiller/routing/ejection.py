"""Ejection of failing servers, its limit, and recovery.

A failure ejects a server for a short time that doubles with each further
ejection. Afterwards a single trial, one idempotent attempt or a probe,
decides whether the server is restored. Only a limited share of a group is
ejected at once.
"""

from collections.abc import Sequence

from banyantiller.routing.tuning import Tuning
from banyantiller.routing.views import DISTANT_PAST, ServerView

FAILURE_EWMA_WEIGHT = 0.34
EJECTION_THRESHOLD = 0.6
FAILURE_RATE_RESET = 0.1


def record_failure(
    view: ServerView,
    group: Sequence[ServerView],
    tuning: Tuning,
    now: float,
    conclusive: bool,
) -> bool:
    """Records a failure of a server and ejects it if required.

    Args:
        view: The server.
        group: All servers of its group.
        tuning: Constants.
        now: The loop's time.
        conclusive: Whether one such failure is enough for an ejection, such as
            a refused connection.

    Returns:
        Whether it was ejected.
    """
    view.failure_rate += FAILURE_EWMA_WEIGHT * (1.0 - view.failure_rate)
    view.last_failed_at = now
    view.possibly_slow = True
    if "ejection" in tuning.disabled or view.ejected_until > now:
        return False
    if not (
        conclusive
        or view.awaiting_trial
        or view.failure_rate >= EJECTION_THRESHOLD
    ):
        return False
    if not _may_eject(view, group, tuning, now):
        return False
    duration_s = min(
        tuning.eject_s * 2**view.ejection_count, tuning.max_eject_s
    )
    view.ejection_count += 1
    view.ejected_until = now + duration_s
    view.awaiting_trial = True
    view.update_availability()
    return True


def record_success(view: ServerView) -> None:
    """Records a successful response; ends the trial after an ejection."""
    if not view.awaiting_trial:
        view.failure_rate *= 1.0 - FAILURE_EWMA_WEIGHT
        if view.failure_rate < FAILURE_RATE_RESET:
            view.failure_rate = 0.0
            view.ejection_count = 0
        return
    view.awaiting_trial = False
    view.ejected_until = DISTANT_PAST
    view.failure_rate = 0.0
    view.update_availability()


def _may_eject(
    view: ServerView, group: Sequence[ServerView], tuning: Tuning, now: float
) -> bool:
    usable = [other for other in group if other.is_usable()]
    ejected_count = 1
    for other in usable:
        if other is not view and (
            other.awaiting_trial or other.ejected_until > now
        ):
            ejected_count += 1
    return ejected_count <= tuning.max_ejected_share * len(usable)
