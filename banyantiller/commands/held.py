"""`banyantiller held`: tells which promises held in a period."""

from banyantiller import exceptions
from banyantiller.commands import context, evidence_output, output, times
from banyantiller.evidence import assessment, judging
from banyantiller.evidence.verdicts import Broken, NotKnown

BROKEN_STATUS = 9
NOT_KNOWN_STATUS = 10
DEFAULT_SPAN_MS = 3_600_000


def held(
    *,
    since: str = "",
    until: str = "",
    every: str = "1h",
    clock_tolerance: float = 0.5,
    settings: str = context.DEFAULT_SETTINGS,
    json: bool = False,
) -> int:
    """Tells for each promise whether it held, was broken, or is not known.

    Without times, the last hour is judged up to where every daemon has had
    time to report. A time is a UTC time such as 2026-12-02T10:00:00Z or a
    duration before now such as 90m.

    The exit status is 0 if everything held, 9 if a promise was broken, and
    10 if none was seen broken but something is not known.

    Args:
        since: Start of the period.
        until: End of the period.
        every: Length of the parts that are judged one by one.
        clock_tolerance: Largest assumed difference between the clocks of
            two machines, in seconds.
        settings: Settings file of the operator.
        json: Print JSON for programs.
    """

    async def body(session: context.Session) -> int:
        question = await ask(session, since, until, every, clock_tolerance)
        found = await assessment.assess(session.store, question)
        data = evidence_output.assessment_data(found)
        output.emit(json, data, evidence_output.assessment_lines(found))
        return status_of(found)

    return context.run(settings, body)


async def ask(
    session: context.Session,
    since: str,
    until: str,
    every: str,
    clock_tolerance: float,
) -> assessment.AssessmentRequest:
    """Turns options of the command line into a request for an assessment.

    Raises:
        ConfigError: A time is not valid or the period is empty.
        BanyantillerError: No daemon has had time to report yet.
        StoreError: The object API did not answer.
    """
    now = session.wall()
    every_s = times.duration_s(every)
    if not every_s:
        raise exceptions.ConfigError(f"'{every}' is no duration such as 10m.")
    settled = await assessment.find_judgeable_period(
        session.store, session.deployment, times.to_ms(now)
    )
    to_ms = times.moment_ms(until, now) if until else settled.until_ms
    from_ms = max(to_ms - DEFAULT_SPAN_MS, settled.first_ms)
    if since:
        from_ms = times.moment_ms(since, now)
    period = judging.Period(from_ms, to_ms)
    _check_not_empty(period, chosen=bool(since or until))
    return assessment.AssessmentRequest(
        session.deployment,
        period,
        times.to_ms(every_s),
        times.to_ms(clock_tolerance),
        settled.known_ms,
    )


def _check_not_empty(period: judging.Period, chosen: bool) -> None:
    """Refuses a period without length, which `chosen` blames on the user."""
    if period.from_ms < period.to_ms:
        return
    if not chosen:
        raise exceptions.BanyantillerError(
            "No daemon has had time to report yet; ask again in a minute."
        )
    raise exceptions.ConfigError(
        f"The period from {times.text_of(period.from_ms)} to"
        f" {times.text_of(period.to_ms)} is empty."
    )


def status_of(found: assessment.Assessment) -> int:
    """Returns the exit status that tells the worst answer."""
    verdicts = [item.verdict for item in found.judgements]
    if any(isinstance(verdict, Broken) for verdict in verdicts):
        return BROKEN_STATUS
    if any(isinstance(verdict, NotKnown) for verdict in verdicts):
        return NOT_KNOWN_STATUS
    return 0
