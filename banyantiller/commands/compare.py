"""`banyantiller compare`: shows how two bundles differ."""

from banyantiller.bundle import difference
from banyantiller.commands import changes, context, output, references


def compare(
    before: str,
    after: str,
    *,
    settings: str = context.DEFAULT_SETTINGS,
    json: bool = False,
) -> int:
    """Shows how two bundles differ, value by value.

    Args:
        before: A bundle file, "accepted", a version, or a digest's start.
        after: Another one.
        settings: Settings file of the operator.
        json: Print JSON for programs.
    """

    async def body(session: context.Session) -> int:
        one = await references.load(session, before)
        two = await references.load(session, after)
        found = difference.compare(one, two)
        output.emit(json, changes.data(found), changes.lines(found))
        return 0

    return context.run(settings, body)
