"""Traffic shares: assigns each call to a group of servers."""

from collections.abc import Iterable

from banyantiller.bundle import options


class GroupRoundRobin:
    """Smooth weighted round robin over groups.

    Each group's count stays within one call of its share of the calls.

    Attributes:
        weights: Weight of each group; they add up to 1.
        credits: Calls that each group is behind its share.
    """

    def __init__(self) -> None:
        self.weights: dict[str, float] = {}
        self.credits: dict[str, float] = {}

    def configure(
        self, shares: tuple[options.Share, ...], groups: Iterable[str]
    ) -> None:
        """Applies new shares; ignores groups without servers."""
        present = set(groups)
        percents = {s.group: s.percent for s in shares if s.group in present}
        total = sum(percents.values())
        weights = (
            {name: percent / total for name, percent in percents.items()}
            if total > 0
            else {}
        )
        if weights != self.weights:
            self.weights = weights
            self.credits = dict.fromkeys(weights, 0.0)

    def next_group(self) -> str:
        """Returns the group of the next call, or "" if there are no shares."""
        if not self.weights:
            return ""
        for name, weight in self.weights.items():
            self.credits[name] += weight
        chosen = max(self.credits, key=self.credits.__getitem__)
        self.credits[chosen] -= 1.0
        return chosen
