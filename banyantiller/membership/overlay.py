"""Chooses the peers that a daemon links to.

The links of all daemons form a connected graph whose degree does not grow
with the fleet: each daemon links to its successor on a ring ordered by the
hash of the names, and to a few more peers that rendezvous hashing selects,
spread over availability zones. Daemons with the same view need no further
agreement; while views differ, a daemon has a link too many or too few.
"""

from collections.abc import Sequence

import xxhash

from banyantiller.membership.messages import MemberEntry


def rank(key: str, daemon: str) -> int:
    """Returns the rendezvous rank of a daemon for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{daemon}".encode())


def ring_order(local: str, members: Sequence[MemberEntry]) -> list[MemberEntry]:
    """Returns the peers in ring order, the successor of `local` first."""
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
        members: Members that are considered alive.
        max_links: Maximum number of peers to choose.

    Returns:
        The ring successor, then peers from the zones with the fewest chosen
        members so far, in rendezvous order.
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
    """Returns whether this daemon has one of the `count` lowest ranks.

    Args:
        key: Task that the ranks are computed for.
        local: Name of this daemon.
        members: Names of members that are considered alive, with or without
            `local`.
        count: Number of daemons to select.
    """
    local_rank = (rank(key, local), local)
    ahead = sum(1 for name in members if (rank(key, name), name) < local_rank)
    return ahead < count
