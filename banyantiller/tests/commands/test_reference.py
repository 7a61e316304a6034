"""Tests that the committed reference pages follow from the options."""

import pathlib

from banyantiller.commands import reference
from banyantiller.tests.base import TestCase

USER_GUIDE = pathlib.Path(__file__).parents[3] / "docs" / "user-guide"
FILES = {
    "settings": "settings.md",
    "operator": "operator-settings.md",
    "bundle": "bundle.md",
    "gateway": "gateway-settings.md",
    "log": "gateway-log.md",
}


class ReferenceTest(TestCase):
    def test_committed_pages_are_the_rendered_ones(self):
        self.assertEqual({*reference.PAGES, reference.LOG}, set(FILES))
        for name, file in FILES.items():
            committed = (USER_GUIDE / file).read_text(encoding="utf-8")
            self.assertEqual(
                reference.render(name),
                committed,
                f"Run `banyantiller reference {name}` into {file}.",
            )
