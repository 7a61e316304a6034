"""Tests that the paths, modules and commands in the documentation exist."""

import pathlib
import re
from collections.abc import Iterator

from banyantiller.commands import cli
from banyantiller.kernel import events
from banyantiller.tests import base

ROOT = pathlib.Path(__file__).parents[2]
PACKAGE = ROOT / "banyantiller"
INLINE_CODE = re.compile(r"`([^`]+)`")
CODE_BLOCK = re.compile(r"^```[^\n]*\n(.*?)^```", re.MULTILINE | re.DOTALL)
LINK = re.compile(r"\]\(([\w./-]+\.md)(?:#[^)]*)?\)")
PATH = re.compile(r"(?:[\w.-]+/)+[\w.-]*|[\w-]+\.(?:py|md)")
MODULE_NAME = re.compile(r"(?:banyantiller|bench|standins|spec)(?:\.\w+)+")
MODULE_RUN = re.compile(r"python -m ((?:\w+\.)*\w+)")
COMMAND_LINE = re.compile(r"^(?:\S*/|\$ )?banyantiller ([a-z]+)((?: +\S+)*)")
OPTION = re.compile(r"--([a-z-]+)")
REPOSITORY_FOLDERS = (
    "banyantiller",
    "bench",
    "docs",
    "scripts",
    "spec",
    "standins",
)


def documentation_pages() -> list[pathlib.Path]:
    """Returns every page of the documentation."""
    return [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]


def code_snippets(text: str) -> Iterator[str]:
    """Yields the lines of code blocks, then inline code."""
    for block in CODE_BLOCK.findall(text):
        yield from block.splitlines()
    yield from map(_join_lines, INLINE_CODE.findall(CODE_BLOCK.sub("", text)))


def _join_lines(text: str) -> str:
    return " ".join(text.split())


def is_repository_path(text: str) -> bool:
    """Returns whether a text looks like a path in the repository."""
    if not PATH.fullmatch(text):
        return False
    first = text.split("/")[0]
    if first in REPOSITORY_FOLDERS:
        return True
    return "/" in text and (PACKAGE / first).is_dir()


def module_exists(dotted: str) -> bool:
    """Returns whether a dotted name is a module, or a name in one."""
    parts = dotted.split(".")
    for length in range(len(parts), 0, -1):
        path = ROOT.joinpath(*parts[:length])
        if path.is_dir() and length == len(parts):
            return True
        source = path.with_suffix(".py")
        if not source.is_file() and (path / "__init__.py").is_file():
            source = path / "__init__.py"
        if source.is_file():
            rest = parts[length:]
            text = source.read_text()
            return not rest or bool(re.search(rf"\b{rest[0]}\b", text))
    return False


class DocsTest(base.TestCase):
    def page_snippets(self) -> Iterator[tuple[str, str]]:
        for page in documentation_pages():
            name = str(page.relative_to(ROOT))
            for snippet in code_snippets(page.read_text()):
                yield name, snippet

    def test_paths_exist(self) -> None:
        seen = 0
        for page, snippet in self.page_snippets():
            if not is_repository_path(snippet):
                continue
            seen += 1
            found = (ROOT / snippet).exists() or (PACKAGE / snippet).exists()
            self.assertTrue(found, f"{page} names {snippet}")
        self.assertTrue(seen > 20, seen)

    def test_modules_exist(self) -> None:
        for page, snippet in self.page_snippets():
            module_names = MODULE_RUN.findall(snippet)
            if MODULE_NAME.fullmatch(snippet):
                module_names.append(snippet)
            for dotted in module_names:
                if dotted.split(".")[0] in REPOSITORY_FOLDERS:
                    found = module_exists(dotted)
                    self.assertTrue(found, f"{page} names {dotted}")

    def test_commands_and_their_options_exist(self) -> None:
        seen = set()
        for page, snippet in self.page_snippets():
            for command, rest in COMMAND_LINE.findall(snippet):
                self.assertIn(command, cli.COMMANDS, f"{page}: {snippet}")
                seen.add(command)
                source = (PACKAGE / "commands" / f"{command}.py").read_text()
                for option in OPTION.findall(rest.split("#")[0]):
                    name = option.replace("-", "_")
                    known = re.search(rf"\b{name}: ", source)
                    self.assertTrue(known, f"{page}: {snippet}")
        self.assertEqual(set(), {"held", "audit", "propose"} - seen)

    def test_link_targets_exist(self) -> None:
        for page in documentation_pages():
            for target in LINK.findall(CODE_BLOCK.sub("", page.read_text())):
                if "://" not in target:
                    found = (page.parent / target).exists()
                    self.assertTrue(found, f"{page.name} links {target}")

    def test_every_page_is_reachable_from_the_index(self) -> None:
        index = ROOT / "docs" / "index.md"
        reached = {index}
        unvisited = [index]
        while unvisited:
            page = unvisited.pop()
            for target in LINK.findall(page.read_text()):
                path = (page.parent / target).resolve()
                if path.suffix == ".md" and path.exists():
                    unvisited += [path] if path not in reached else []
                    reached.add(path)
        all_pages = {page.resolve() for page in documentation_pages()[1:]}
        self.assertEqual(set(), all_pages - reached)

    def test_every_command_is_documented(self) -> None:
        named = {
            command
            for _, snippet in self.page_snippets()
            for command, _ in COMMAND_LINE.findall(snippet)
        }
        self.assertEqual(set(), set(cli.COMMANDS) - named)

    def test_named_events_exist(self) -> None:
        text = (ROOT / "docs/developer-guide/plugins.md").read_text()
        for name in re.findall(r"events\.([A-Z]\w+)", text):
            self.assertTrue(hasattr(events, name), name)


class DocsChecksTest(base.TestCase):
    """The helper functions detect missing paths, modules and commands."""

    def test_missing_paths_and_modules_are_detected(self) -> None:
        self.assertTrue(is_repository_path("proxy/nothing.py"))
        self.assertTrue(is_repository_path("bench/nothing.py"))
        self.assertFalse(is_repository_path("application/json"))
        self.assertFalse(module_exists("banyantiller.evidence.nothing"))
        self.assertTrue(module_exists("banyantiller.errors.ErrorKind"))
        found = COMMAND_LINE.findall("banyantiller held --since 7d")
        self.assertEqual([("held", " --since 7d")], found)
