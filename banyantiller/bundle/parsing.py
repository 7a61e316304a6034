"""Parses a bundle file and collects all its errors and warnings."""

from typing import NamedTuple

from banyantiller.bundle import canonical, consistency
from banyantiller.bundle.options import Bundle
from banyantiller.config import documents, loading
from banyantiller.config.problems import Problem, Problems


class ParsedBundle(NamedTuple):
    """A bundle that may be proposed.

    Attributes:
        bundle: Its typed content.
        warnings: Warnings for its author.
    """

    bundle: Bundle
    warnings: tuple[Problem, ...]


def parse(text: str, path: str) -> ParsedBundle:
    """Parses and checks a bundle.

    Args:
        text: YAML text.
        path: File name for messages.

    Raises:
        ConfigError: The bundle has errors; it lists all of them.
    """
    bundle, problems = loading.load(text, path, Bundle)
    if bundle is not None:
        consistency.check(bundle, problems)
    problems.raise_errors()
    _check_size(bundle, problems)
    problems.raise_errors()
    # The order of services has no meaning; parts are sorted by name.
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
