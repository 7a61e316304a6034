"""Counters of the current period."""

from collections import Counter
from typing import Any

from banyantiller.evidence import latency
from banyantiller.evidence import summary as summaries
from banyantiller.kernel import events

OTHER_SERVICES = "other"


class PeriodCounts:
    """Counters and bounded lists of the current period.

    Attributes:
        most_requests: Maximum number of breaches that are listed.
        lists: Items by name of the summary's list.
        omitted: Number of items beyond the bound, by name of the list.
    """

    def __init__(self, most_requests: int) -> None:
        self.most_requests = most_requests
        self.calls: Counter[str] = Counter()
        self.errors: Counter[str] = Counter()
        self.durations: Counter[int] = Counter()
        self.probes: Counter[str] = Counter()
        self.breaches: Counter[str] = Counter()
        self.omitted: Counter[str] = Counter()
        self.cut = 0
        self.runs = 0
        self.attempts = 0
        self.retries = 0
        self.store_down_ms = 0
        self.lists: dict[str, list[Any]] = {
            name: [] for name in (*summaries.LISTS, "breaches")
        }

    def add_call(self, event: events.CallFinished) -> None:
        """Counts a finished call."""
        self.calls[event.service] += 1
        self.durations[latency.bucket_of(event.duration_s)] += 1
        self.attempts += event.attempts
        if event.attempts > 1:
            self.retries += event.attempts - 1
        if event.attempts and not event.idempotent:
            self.runs += 1
        if event.error is not None:
            self.errors[event.error.value] += 1
        if event.cut:
            self.cut += 1

    def add_item(self, name: str, item: Any) -> None:
        """Adds an item to a bounded list, or counts it if the list is full."""
        limit = summaries.LISTS.get(name, self.most_requests)
        if len(self.lists[name]) < limit:
            self.lists[name].append(item)
        else:
            self.omitted[name] += 1

    def bounded_calls(self) -> dict[str, int]:
        """Returns calls by service; combines those with the fewest calls."""
        if len(self.calls) <= summaries.MAX_SERVICES:
            return dict(self.calls)
        kept = dict(self.calls.most_common(summaries.MAX_SERVICES))
        kept[OTHER_SERVICES] = self.calls.total() - sum(kept.values())
        return kept

    def probe_usage(
        self, rates: dict[str, float]
    ) -> dict[str, summaries.ProbeUsage]:
        """Returns probes by service, each with its budget if known."""
        return {
            service: summaries.ProbeUsage(
                sent, rates.get(service, summaries.UNKNOWN_RATE)
            )
            for service, sent in self.probes.items()
        }
