"""Versions of a store that may come back from a copy of itself.

Such a store has lost its last changes and gives their revisions out again. Its
generation rises each time. A version holds both, so that versions of a later
generation are greater than all versions of earlier ones, whatever their
revisions are.
"""

from typing import NamedTuple

# Bits of a revision in the text of a version: more than a store counts in
# thousands of years.
REVISION_BITS = 48


class StoreVersion(NamedTuple):
    """Version of a store.

    Attributes:
        generation: How often the store came back from a copy, counted by the
            store; 0 if the store does not tell.
        revision: Number of the last change in that generation.
    """

    generation: int
    revision: int

    @classmethod
    def from_text(cls, text: str) -> "StoreVersion":
        """Parses the text of a version.

        Raises:
            ValueError: The text is no integer.
        """
        generation, revision = divmod(int(text), 1 << REVISION_BITS)
        return cls(generation, revision)

    def to_text(self) -> str:
        """Returns the version as the text of an integer."""
        return str((self.generation << REVISION_BITS) + self.revision)

    def describe(self) -> str:
        """Returns the version for the log, as GENERATION.REVISION."""
        return f"{self.generation}.{self.revision}"


def describe(text: str) -> str:
    """Returns the text of a version for the log; see `StoreVersion`."""
    return StoreVersion.from_text(text).describe()
