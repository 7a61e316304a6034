"""`banyantiller report`: writes what held in a period as one HTML file."""

from banyantiller.commands import context, held, output, report_page, times
from banyantiller.evidence import assessment
from banyantiller.utils import plots


def report(
    *,
    output_file: str,
    since: str = "",
    until: str = "",
    every: str = "1h",
    clock_tolerance: float = 0.5,
    settings: str = context.DEFAULT_SETTINGS,
    json: bool = False,
) -> int:
    """Writes what held in a period as one HTML file with plots.

    Times are given as for `held`, and the exit status is the same. Needs
    the optional extra `report`.

    Args:
        output_file: Path of the file to write.
        since: Start of the period.
        until: End of the period.
        every: Length of the parts that are judged one by one.
        clock_tolerance: Largest assumed difference between the clocks of
            two machines, in seconds.
        settings: Settings file of the operator.
        json: Print JSON for programs.
    """
    plots.load_library()

    async def body(session: context.Session) -> int:
        question = await held.ask(session, since, until, every, clock_tolerance)
        found = await assessment.assess(session.store, question)
        page = report_page.build(found, times.to_ms(session.wall()))
        output.write_file(output_file, page)
        data = {"file": output_file, "bytes": len(page.encode())}
        output.emit(json, data, [f"Wrote {output_file}."])
        return held.status_of(found)

    return context.run(settings, body)
