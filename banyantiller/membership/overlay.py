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


def ring_order(local: str, members: Sequence[MemberEntry]) -> list[MemberEntry]:
    """Returns the others in ring order, the successor of `local` first."""
    local_rank = rank("ring", local)
    peers = sorted(
        (entry for entry in members if entry.daemon != local),
        key=lambda entry: (rank("ring", entry.daemon), entry.daemon),
    )
    after = [
        e
        for e in peers
        if (rank("ring", e.daemon), e.daemon) > (local_rank, local)
    ]
    return after + peers[: len(peers) - len(after)]


def choose_link_targets(
    local: MemberEntry, members: Sequence[MemberEntry], max_links: int
) -> list[MemberEntry]:
    """Chooses the peers to link to.

    Args:
        local: This daemon's entry.
        members: Daemons believed to be alive.
        max_links: Most peers to choose.

    Returns:
        The ring successor, then peers from zones that have the fewest
        chosen so far, in rendezvous order.
    """
    candidates = ring_order(local.daemon, members)
    if not candidates:
        return []
    chosen = [candidates.pop(0)]
    candidates.sort(key=lambda entry: rank(local.daemon, entry.daemon))
    zones = {local.zone: 1}
    zones[chosen[0].zone] = zones.get(chosen[0].zone, 0) + 1
    while candidates and len(chosen) < max_links:
        following = min(candidates, key=lambda entry: zones.get(entry.zone, 0))
        candidates.remove(following)
        chosen.append(following)
        zones[following.zone] = zones.get(following.zone, 0) + 1
    return chosen


def is_selected(
    key: str, local: str, members: Sequence[str], count: int
) -> bool:
    """Tells whether this daemon is among the `count` lowest ranks.

    Args:
        key: What the ranks are for.
        local: Name of this daemon.
        members: Names believed to be alive, with or without `local`.
        count: How many daemons do the work.
    """
    local_rank = (rank(key, local), local)
    ahead = sum(1 for name in members if (rank(key, name), name) < local_rank)
    return ahead < count
