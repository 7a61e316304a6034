"""Ejection of failing servers, its cap, and recovery.

A failure ejects a server for a short time that doubles with each further
ejection. Afterwards one idempotent try, or a probe, decides whether the
server is back. No more than a part of a group is ejected at once.
"""

from collections.abc import Sequence

from banyantiller.routing.tuning import Tuning
from banyantiller.routing.views import LONG_AGO, ServerView

FAILURE_WEIGHT = 0.34
EJECT_AT = 0.6
FORGOTTEN = 0.1


def failed(
    view: ServerView,
    group: Sequence[ServerView],
    tuning: Tuning,
    now: float,
    sure: bool,
) -> bool:
    """Takes a failure of a server and ejects it if that is due.

    Args:
        view: The server.
        group: All servers of its group.
        tuning: Constants.
        now: The loop's time.
        sure: Whether one such failure is enough, as a refused connection.

    Returns:
        Whether it was ejected.
    """
    view.failures += FAILURE_WEIGHT * (1.0 - view.failures)
    view.failed_at = now
    view.watched = True
    if "ejection" in tuning.off or view.ejected_until > now:
        return False
    if not (sure or view.trial or view.failures >= EJECT_AT):
        return False
    if not _may_eject(view, group, tuning, now):
        return False
    length = min(tuning.eject_s * 2**view.ejections, tuning.eject_longest_s)
    view.ejections += 1
    view.ejected_until = now + length
    view.trial = True
    view.update_closed()
    return True


def answered(view: ServerView) -> None:
    """Takes a good answer; ends an ejection's trial."""
    if not view.trial:
        view.failures *= 1.0 - FAILURE_WEIGHT
        if view.failures < FORGOTTEN:
            view.failures = 0.0
            view.ejections = 0
        return
    view.trial = False
    view.ejected_until = LONG_AGO
    view.failures = 0.0
    view.update_closed()


def _may_eject(
    view: ServerView, group: Sequence[ServerView], tuning: Tuning, now: float
) -> bool:
    usable = [other for other in group if other.is_usable()]
    out = 1
    for other in usable:
        if other is not view and (other.trial or other.ejected_until > now):
            out += 1
    return out <= tuning.eject_share * len(usable)
