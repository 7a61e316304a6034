"""`banyantiller gone`: states that a daemon's VM no longer exists."""

from banyantiller import exceptions
from banyantiller.commands import context, output, times
from banyantiller.evidence import audit, history
from banyantiller.evidence.audit import Appended, AppendUnknown


def gone(
    daemon: str,
    *,
    at: str = "",
    settings: str = context.DEFAULT_SETTINGS,
    json: bool = False,
) -> int:
    """States in the audit trail that a daemon no longer runs.

    A daemon that died without a word may, as far as the evidence tells, run
    on unseen, so `held` answers "not known" for all time since. Give this
    statement only if the platform shows that the VM is deleted. It ends the
    unknown time at the stated moment; a daemon that reports later refutes
    it.

    Args:
        daemon: Name of the daemon.
        at: When the VM was gone: a UTC time, or a duration before now; now
            if not given.
        settings: Settings file of the operator.
        json: Print JSON for programs.
    """

    async def body(session: context.Session) -> int:
        now = session.wall()
        gone_ms = times.moment_ms(at, now) if at else times.to_ms(now)
        if gone_ms > times.to_ms(now):
            raise exceptions.ConfigError("The stated time is in the future.")
        outcome = await _state(session, daemon, gone_ms)
        when = times.text_of(gone_ms)
        data = {"daemon": daemon, "gone": when, "sequence": outcome.sequence}
        lines = [
            f"Entry {outcome.sequence}: daemon '{daemon}' is gone since {when}."
        ]
        output.emit(json, data, lines)
        return 0

    return context.run(settings, body)


async def _state(
    session: context.Session, daemon: str, gone_ms: int
) -> Appended:
    outcome = await audit.append(
        session.store,
        session.deployment,
        history.GONE_ACTION,
        session.settings.operator,
        {"daemon": daemon, "gone_ms": gone_ms},
        session.wall,
    )
    if isinstance(outcome, AppendUnknown):
        raise exceptions.NotKnownError(
            f"It is not known whether the statement was written:"
            f" {outcome.reason}. Look at `banyantiller audit`."
        )
    if not isinstance(outcome, Appended):
        raise exceptions.StoreError(
            f"The statement was not written: {outcome.reason}."
        )
    return outcome
