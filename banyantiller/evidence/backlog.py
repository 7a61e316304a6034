"""A bounded queue of summaries that are not written yet."""

from banyantiller.evidence import summary as summaries

MAX_PENDING = 20


class Backlog:
    """Queues summaries in order and merges neighbours when it is full.

    Merging keeps counts exact. It loses time resolution and the list items
    that the merged summary counts in `omitted`.

    Attributes:
        pending: Summaries, oldest first.
        most_requests: Maximum number of breaches that one summary lists.
        max_pending: Maximum number of queued summaries.
    """

    def __init__(
        self, most_requests: int, max_pending: int = MAX_PENDING
    ) -> None:
        self.pending: list[summaries.Summary] = []
        self.most_requests = most_requests
        self.max_pending = max_pending

    def add_summary(self, summary: summaries.Summary) -> None:
        """Appends a summary; merges two others if the queue is full."""
        self.pending.append(summary)
        if len(self.pending) > self.max_pending:
            self._join()

    def take_all(self) -> list[summaries.Summary]:
        """Removes and returns all summaries, oldest first."""
        taken = self.pending
        self.pending = []
        return taken

    def _join(self) -> None:
        """Merges the two neighbours that together cover the fewest periods."""
        pairs = range(len(self.pending) - 1)
        at = min(pairs, key=self._periods)
        joined = summaries.merge(
            self.pending[at], self.pending[at + 1], self.most_requests
        )
        self.pending[at : at + 2] = [joined]

    def _periods(self, index: int) -> int:
        return self.pending[index].merged + self.pending[index + 1].merged
