"""Tests that packages import only what the architecture page allows."""

import ast
import pathlib
import re

from banyantiller.tests import base

PACKAGE = pathlib.Path(__file__).parents[1]
ARCHITECTURE_PAGE = (
    PACKAGE.parent / "docs" / "developer-guide" / "architecture.md"
)
TABLE_ROW = re.compile(r"^\| (`[^|]*) \| [^|]* \| ([^|]*) \|$", re.MULTILINE)
QUOTED_NAME = re.compile(r"`(\w+)`")
BASE_PARTS = {"errors", "exceptions", "config"}
EXCLUDED_PARTS = {"__init__", "__main__", "tests"}


def parts() -> set[str]:
    """Returns the names of the packages and modules at the top level."""
    found = {path.parent.name for path in PACKAGE.glob("*/__init__.py")}
    found |= {path.stem for path in PACKAGE.glob("*.py")}
    return found - EXCLUDED_PARTS


def allowed_imports(all_parts: set[str]) -> dict[str, set[str]]:
    """Returns the parts that each part may import, from the page's table."""
    found = {}
    for names, imports in TABLE_ROW.findall(ARCHITECTURE_PAGE.read_text()):
        listed = set(QUOTED_NAME.findall(imports))
        if imports.startswith("all but"):
            listed = all_parts - listed
        for name in QUOTED_NAME.findall(names):
            found[name] = listed | BASE_PARTS
            if name not in BASE_PARTS | {"kernel"}:
                found[name].add("plugins")
    return found


def imported_parts(path: pathlib.Path) -> set[str]:
    """Returns the parts that a module imports."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            found |= {f"{node.module}.{alias.name}" for alias in node.names}
    inner = [name for name in found if name.startswith("banyantiller.")]
    return {name.split(".")[1] for name in inner}


class ArchitectureTest(base.TestCase):
    def test_each_part_has_a_row(self):
        self.assertEqual(parts(), set(allowed_imports(parts())))

    def test_parts_import_only_what_the_table_allows(self):
        table = allowed_imports(parts())
        for path in PACKAGE.rglob("*.py"):
            part = path.relative_to(PACKAGE).with_suffix("").parts[0]
            if part not in EXCLUDED_PARTS:
                others = imported_parts(path) & parts() - {part}
                self.assertEqual(set(), others - table[part], path)

    def test_base_parts_import_only_each_other(self):
        for path in [
            *(PACKAGE / "config").rglob("*.py"),
            PACKAGE / "errors.py",
            PACKAGE / "exceptions.py",
        ]:
            self.assertEqual(
                set(), (imported_parts(path) & parts()) - BASE_PARTS, path
            )
