"""A bounded queue of summaries that could not be written yet."""

from banyantiller.evidence import summary as summaries

MAX_PENDING = 20


class Backlog:
    """Keeps summaries in order; joins neighbours when there are too many.

    Counts stay exact. What is lost is resolution in time and, in the
    summary, the items counted in `omitted`.

    Attributes:
        pending: Summaries, oldest first.
        most_requests: Most breaches that one summary lists.
    """

    def __init__(
        self, most_requests: int, max_pending: int = MAX_PENDING
    ) -> None:
        self.pending: list[summaries.Summary] = []
        self.most_requests = most_requests
        self.max_pending = max_pending

    def add_summary(self, summary: summaries.Summary) -> None:
        """Adds the latest summary."""
        self.pending.append(summary)
        if len(self.pending) > self.max_pending:
            self._join()

    def take_all(self) -> list[summaries.Summary]:
        """Removes and returns all summaries, oldest first."""
        taken = self.pending
        self.pending = []
        return taken

    def _join(self) -> None:
        """Joins the neighbours that cover the fewest periods together."""
        pairs = range(len(self.pending) - 1)
        at = min(pairs, key=self._periods)
        joined = summaries.merge(
            self.pending[at], self.pending[at + 1], self.most_requests
        )
        self.pending[at : at + 2] = [joined]

    def _periods(self, index: int) -> int:
        return self.pending[index].merged + self.pending[index + 1].merged
