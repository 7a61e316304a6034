"""`banyantiller status`: shows what each daemon has in force."""

from typing import Any

from banyantiller.commands import context, output, references, statuses

HEAD = ("DAEMON", "ZONE", "VERSION", "STATE", "SAID")

Row = tuple[statuses.DaemonStatus, str]


def status(
    *, settings: str = context.DEFAULT_SETTINGS, json: bool = False
) -> int:
    """Shows the bundle that each daemon has in force.

    A daemon is "current" if it has the accepted bundle in force, "behind" if
    not, and "silent" if it has not written its status lately.

    Args:
        settings: Settings file of the operator.
        json: Print JSON for programs.
    """

    async def body(session: context.Session) -> int:
        seen = await references.view(session)
        now = session.wall()
        found = await statuses.read(session)
        speaking = statuses.speaking(found, now)
        rows = [
            (item, _state(item, seen.base.digest, item in speaking))
            for item in found
        ]
        output.emit(json, _data(seen, rows), _lines(seen, rows, now))
        return 0

    return context.run(settings, body)


def _state(
    status: statuses.DaemonStatus, digest: str, is_speaking: bool
) -> str:
    if not is_speaking:
        return "silent"
    return "current" if status.digest == digest else "behind"


def _data(seen: references.View, rows: list[Row]) -> dict[str, Any]:
    base = seen.base
    return {
        "accepted": {"version": base.version, "digest": base.digest},
        "doubts": seen.doubts,
        "daemons": [{**item._asdict(), "state": state} for item, state in rows],
    }


def _lines(seen: references.View, rows: list[Row], now: float) -> list[str]:
    base = seen.base
    cells = [
        (
            item.daemon,
            item.zone,
            str(item.bundle),
            state,
            f"{max(now - item.at, 0):.1f} s ago",
        )
        for item, state in rows
    ]
    return [
        *seen.doubts,
        f"Accepted: version {base.version} {base.digest[:12]}".rstrip(),
        *output.table(HEAD, cells),
    ]
