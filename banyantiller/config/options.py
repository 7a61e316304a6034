"""Declaration of an option: a typed field with a description and bounds.

Settings and bundles are `NamedTuple` types whose fields carry an `Option`
in an `Annotated` type. Loading, validation, defaults and the reference pages
all use this one declaration.
"""

from typing import NamedTuple


class Option(NamedTuple):
    """Description and bounds of one field.

    Attributes:
        doc: One sentence for the reference page.
        unit: Unit of the value, or empty.
        low: Minimum allowed number, or None.
        high: Maximum allowed number, or None.
        pattern: Regular expression that the whole text must match, or empty.
        choices: Allowed texts, or empty for any.
        check: Named check from `banyantiller.config.checks`, such as
            "ip_address" or "port", or empty.
        most: Maximum number of list items, or None.
    """

    doc: str
    unit: str = ""
    low: float | None = None
    high: float | None = None
    pattern: str = ""
    choices: tuple[str, ...] = ()
    check: str = ""
    most: int | None = None
