"""`banyantiller status`: shows what each daemon has in force."""

from banyantiller.commands import context, output, references, statuses


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
        version, digest = seen.base.version, seen.base.digest
        now = session.wall()
        found = await statuses.read(session)
        speaking = statuses.speaking(found, now)
        rows = [
            (item, state(item, digest) if item in speaking else "silent")
            for item in found
        ]
        output.emit(
            json,
            {
                "accepted": {"version": version, "digest": digest},
                "doubts": seen.doubts,
                "daemons": [
                    {**item._asdict(), "state": name} for item, name in rows
                ],
            },
            [
                *seen.doubts,
                f"Accepted: version {version} {digest[:12]}".rstrip(),
                *output.table(
                    ("DAEMON", "ZONE", "VERSION", "STATE", "SAID"),
                    [
                        (
                            item.daemon,
                            item.zone,
                            str(item.bundle),
                            name,
                            f"{max(now - item.at, 0):.1f} s ago",
                        )
                        for item, name in rows
                    ],
                ),
            ],
        )
        return 0

    return context.run(settings, body)


def state(status: statuses.DaemonStatus, digest: str) -> str:
    """Returns "current" or "behind"."""
    return "current" if status.digest == digest else "behind"
