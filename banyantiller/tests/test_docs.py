"""Tests that what the documentation names exists."""

import pathlib
import re
from collections.abc import Iterator

from banyantiller.commands import cli
from banyantiller.kernel import events
from banyantiller.tests import base

ROOT = pathlib.Path(__file__).parents[2]
PACKAGE = ROOT / "banyantiller"
CODE = re.compile(r"`([^`]+)`")
FENCE = re.compile(r"^```[^\n]*\n(.*?)^```", re.MULTILINE | re.DOTALL)
LINK = re.compile(r"\]\(([\w./-]+\.md)(?:#[^)]*)?\)")
PATH = re.compile(r"(?:[\w.-]+/)+[\w.-]*|[\w-]+\.(?:py|md)")
DOTTED = re.compile(r"(?:banyantiller|bench|standins|spec)(?:\.\w+)+")
MODULE_RUN = re.compile(r"python -m ((?:\w+\.)*\w+)")
TOOL = re.compile(r"^(?:\S*/|\$ )?banyantiller ([a-z]+)((?: +\S+)*)")
OPTION = re.compile(r"--([a-z-]+)")
CODE_ROOTS = ("banyantiller", "bench", "docs", "scripts", "spec", "standins")


def pages() -> list[pathlib.Path]:
    """Returns every page of the documentation."""
    return [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]


def snippets(text: str) -> Iterator[str]:
    """Yields inline code, and lines of code blocks."""
    for block in FENCE.findall(text):
        yield from block.splitlines()
    yield from map(_one_line, CODE.findall(FENCE.sub("", text)))


def _one_line(text: str) -> str:
    return " ".join(text.split())


def code_path(text: str) -> bool:
    """Tells whether a text looks like a path into the repository."""
    if not PATH.fullmatch(text):
        return False
    first = text.split("/")[0]
    if first in CODE_ROOTS:
        return True
    return "/" in text and (PACKAGE / first).is_dir()


def module_exists(dotted: str) -> bool:
    """Tells whether a dotted name is a module, or a name in one."""
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
    def each(self) -> Iterator[tuple[str, str]]:
        for page in pages():
            name = str(page.relative_to(ROOT))
            for snippet in snippets(page.read_text()):
                yield name, snippet

    def test_paths_exist(self) -> None:
        seen = 0
        for page, snippet in self.each():
            if not code_path(snippet):
                continue
            seen += 1
            found = (ROOT / snippet).exists() or (PACKAGE / snippet).exists()
            self.assertTrue(found, f"{page} names {snippet}")
        self.assertTrue(seen > 20, seen)

    def test_modules_exist(self) -> None:
        for page, snippet in self.each():
            wanted = MODULE_RUN.findall(snippet)
            if DOTTED.fullmatch(snippet):
                wanted.append(snippet)
            for dotted in wanted:
                if dotted.split(".")[0] in CODE_ROOTS:
                    found = module_exists(dotted)
                    self.assertTrue(found, f"{page} names {dotted}")

    def test_commands_and_their_options_exist(self) -> None:
        seen = set()
        for page, snippet in self.each():
            for command, rest in TOOL.findall(snippet):
                self.assertIn(command, cli.COMMANDS, f"{page}: {snippet}")
                seen.add(command)
                source = (PACKAGE / "commands" / f"{command}.py").read_text()
                for option in OPTION.findall(rest.split("#")[0]):
                    name = option.replace("-", "_")
                    known = re.search(rf"\b{name}: ", source)
                    self.assertTrue(known, f"{page}: {snippet}")
        self.assertEqual(set(), {"held", "audit", "propose"} - seen)

    def test_links_lead_to_pages(self) -> None:
        for page in pages():
            for target in LINK.findall(FENCE.sub("", page.read_text())):
                if "://" not in target:
                    found = (page.parent / target).exists()
                    self.assertTrue(found, f"{page.name} links {target}")

    def test_every_page_can_be_reached_from_the_index(self) -> None:
        index = ROOT / "docs" / "index.md"
        reached = {index}
        waiting = [index]
        while waiting:
            page = waiting.pop()
            for target in LINK.findall(page.read_text()):
                path = (page.parent / target).resolve()
                if path.suffix == ".md" and path.exists():
                    waiting += [path] if path not in reached else []
                    reached.add(path)
        every = {page.resolve() for page in pages()[1:]}
        self.assertEqual(set(), every - reached)

    def test_every_command_is_documented(self) -> None:
        named = {
            command
            for _, snippet in self.each()
            for command, _ in TOOL.findall(snippet)
        }
        self.assertEqual(set(), set(cli.COMMANDS) - named)

    def test_named_events_exist(self) -> None:
        text = (ROOT / "docs/developer-guide/plugins.md").read_text()
        for name in re.findall(r"events\.([A-Z]\w+)", text):
            self.assertTrue(hasattr(events, name), name)


class DocsTestTest(base.TestCase):
    """The checks above do find what is missing."""

    def test_missing_things_are_recognised(self) -> None:
        self.assertTrue(code_path("proxy/nothing.py"))
        self.assertTrue(code_path("bench/nothing.py"))
        self.assertFalse(code_path("application/json"))
        self.assertFalse(module_exists("banyantiller.evidence.nothing"))
        self.assertTrue(module_exists("banyantiller.errors.ErrorKind"))
        found = TOOL.findall("banyantiller held --since 7d")
        self.assertEqual([("held", " --since 7d")], found)
