"""Expects the tests listed in KNOWN-RED.txt to fail, and prints the list.

A listed test runs unchanged and must fail: if it passes, the run fails, so
that its entry is removed from the list together with the fault. Entries that
are not tests, such as seeds of the soak and other manual runs, are only
printed.
"""

import pytest

from banyantiller.tests import known_red


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks the listed tests as expected to fail.

    Raises:
        UsageError: A collected module does not contain the listed test.
    """
    collected = {item.nodeid: item for item in items}
    modules = {name.partition("::")[0] for name in collected}
    for entry in known_red.read_entries():
        item = collected.get(entry.test)
        if item is not None:
            item.add_marker(
                pytest.mark.xfail(reason=entry.observed, strict=True)
            )
        elif entry.test.partition("::")[0] in modules:
            raise pytest.UsageError(
                f"KNOWN-RED.txt: test not found: {entry.test}"
            )


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Prints the entries of the list."""
    for entry in known_red.read_entries():
        terminalreporter.write_line(
            f"KNOWN RED: {known_red.format_entry(entry)}"
        )
