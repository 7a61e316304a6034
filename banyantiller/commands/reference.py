"""`banyantiller reference`: prints a reference page."""

from typing import Literal, NamedTuple

from banyantiller.bundle.options import Bundle
from banyantiller.commands import output
from banyantiller.config import reference as pages
from banyantiller.config.defaults import OperatorSettings, Settings
from banyantiller.gateway import call_events
from banyantiller.gateway import events as gateway_events
from banyantiller.gateway import settings as gateway_settings
from banyantiller.telemetry import events

MADE = (
    "This page is made by `banyantiller reference {name}` from the declared\n"
    "options; a test compares the two."
)

FORM = """\
Sizes and times name their unit in the option's name or meaning. A name that
is not listed, a name given twice and a value out of bounds are errors; all of
them are told at once, each with file, line and column.
"""

SETTINGS = """\
The settings of one daemon, a YAML file given as `banyantillerd FILE`.
Addresses are IP numbers; paths are relative to the working directory of the
daemon. Check a file by `banyantiller validate FILE --kind settings`.
"""

OPERATOR = """\
The settings of one operator, a YAML file given by `--settings` to the
commands that need the object API. Check a file by `banyantiller validate FILE
--kind operator`.
"""

BUNDLE = """\
A bundle states which services exist, which requests are idempotent and how
traffic is shared. Check a file by `banyantiller validate FILE`.

A bundle is in force as a whole. In canonical form it has at most 1,000,000
bytes, and each service has to fit one object of the object API.

Defaults are part of the format: a bundle leaves out what is at its default,
so a default is never changed once released.
"""


GATEWAY = """\
The settings of one gateway daemon, a YAML file given as
`python -m banyantiller.gateway FILE` or named by the environment variable
`BANYANTILLER_NODE_FILE`.
"""

EVENTS = """\
The lines of a gateway's log. Each is one JSON object with the text of its
event under `event`, the fields below, `daemon`, `level` and `timestamp` (UTC).
"""


class Page(NamedTuple):
    """One reference page.

    Attributes:
        kind: Option group at its root.
        title: Heading.
        text: Text under the heading.
    """

    kind: type
    title: str
    text: str


PAGES = {
    "settings": Page(Settings, "Settings of a daemon", SETTINGS),
    "operator": Page(OperatorSettings, "Settings of an operator", OPERATOR),
    "bundle": Page(Bundle, "Bundle", BUNDLE),
    "gateway": Page(
        gateway_settings.Settings, "Settings of a gateway", GATEWAY
    ),
}
LOG = "log"


def reference(
    page: Literal["settings", "operator", "bundle", "gateway", "log"],
    *,
    json: bool = False,
) -> int:
    """Prints the reference of a file's options, or of the log, in Markdown.

    Args:
        page: Which file, or `log` for the events of a gateway's log.
        json: Print JSON for programs.
    """
    text = render(page)
    output.emit(json, {"page": page, "markdown": text}, text.splitlines())
    return 0


def render(name: str) -> str:
    """Renders a page by its name."""
    made = MADE.format(name=name)
    if name == LOG:
        made = made.replace("options", "events")
        return events.render(
            "Log of a gateway",
            f"{EVENTS}\n{made}",
            (gateway_events.__name__, call_events.__name__),
        )
    page = PAGES[name]
    return pages.render(page.kind, page.title, f"{page.text}\n{FORM}\n{made}")
