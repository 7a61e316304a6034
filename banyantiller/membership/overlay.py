"""Which peers a daemon links to.

The links of all daemons form a connected graph whose degree does not grow
with the fleet: each daemon links to its successor on a ring ordered by the
hash of the names, and to a few more that rendezvous hashing picks, spread
over availability zones. Daemons with the same view need no agreement; other
views cost a link too many or too few until they meet.
"""

from collections.abc import Sequence

import xxhash

from banyantiller.membership.messages import MemberEntry


def rank(key: str, daemon: str) -> int:
    """Returns the rendezvous rank of a daemon for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{daemon}".encode())


def ring(own: str, members: Sequence[MemberEntry]) -> list[MemberEntry]:
    """Returns the others in ring order, the successor of `own` first."""
    here = rank("ring", own)
    others = sorted(
        (entry for entry in members if entry.daemon != own),
        key=lambda entry: (rank("ring", entry.daemon), entry.daemon),
    )
    after = [
        e for e in others if (rank("ring", e.daemon), e.daemon) > (here, own)
    ]
    return after + others[: len(others) - len(after)]


def targets(
    own: MemberEntry, members: Sequence[MemberEntry], links: int
) -> list[MemberEntry]:
    """Chooses the peers to link to.

    Args:
        own: This daemon's entry.
        members: Daemons believed to be alive.
        links: Most peers to choose.

    Returns:
        The ring successor, then peers from zones that have the fewest
        chosen so far, in rendezvous order.
    """
    candidates = ring(own.daemon, members)
    if not candidates:
        return []
    chosen = [candidates.pop(0)]
    candidates.sort(key=lambda entry: rank(own.daemon, entry.daemon))
    zones = {own.zone: 1}
    zones[chosen[0].zone] = zones.get(chosen[0].zone, 0) + 1
    while candidates and len(chosen) < links:
        best = min(candidates, key=lambda entry: zones.get(entry.zone, 0))
        candidates.remove(best)
        chosen.append(best)
        zones[best.zone] = zones.get(best.zone, 0) + 1
    return chosen


def holds_rank(key: str, own: str, members: Sequence[str], places: int) -> bool:
    """Tells whether this daemon is among the `places` lowest ranks.

    Args:
        key: What the ranks are for.
        own: Name of this daemon.
        members: Names believed to be alive, with or without `own`.
        places: How many daemons do the work.
    """
    here = (rank(key, own), own)
    ahead = sum(1 for name in members if (rank(key, name), name) < here)
    return ahead < places
