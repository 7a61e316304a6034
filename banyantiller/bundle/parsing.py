"""Parses a bundle file and gathers everything that is wrong with it."""

from typing import NamedTuple

from banyantiller.bundle import canonical, consistency
from banyantiller.bundle.options import Bundle
from banyantiller.config import documents, loading
from banyantiller.config.problems import Problem, Problems


class ParsedBundle(NamedTuple):
    """A bundle that may be proposed.

    Attributes:
        bundle: Its typed content.
        warnings: What its author should look at.
    """

    bundle: Bundle
    warnings: tuple[Problem, ...]


def parse(text: str, path: str) -> ParsedBundle:
    """Parses and checks a bundle.

    Args:
        text: YAML text.
        path: Name of the file for messages.

    Raises:
        ConfigError: With every error that was found.
    """
    bundle, problems = loading.load(text, path, Bundle)
    if bundle is not None:
        consistency.check(bundle, problems)
    problems.raise_errors()
    _check_size(bundle, problems)
    problems.raise_errors()
    # Services have no order: as parts they are sorted by name.
    services = sorted(bundle.services, key=lambda item: item.name)
    ordered = bundle._replace(services=tuple(services))
    return ParsedBundle(ordered, problems.warnings())


def parse_file(path: str) -> ParsedBundle:
    """Parses and checks a bundle file; see `parse`.

    Raises:
        ConfigError: The file cannot be read, or has errors.
    """
    return parse(documents.read_file(path), path)


def _check_size(bundle: Bundle, problems: Problems) -> None:
    parts = [part for part, _ in canonical.split(bundle).values()]
    size = canonical.total_size(tuple(parts))
    if size > canonical.MAX_BUNDLE_BYTES:
        problems.error(
            "services",
            f"The bundle has {size} bytes in canonical form, more than"
            f" {canonical.MAX_BUNDLE_BYTES}.",
        )
