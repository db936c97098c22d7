"""Computes the tree along which sides fetch weights from each other.

The sides of a failure domain form a tree under a root side. The roots of all
failure domains form another tree, and only its root reads the weight store.
The sides are ordered by a hash that includes the version, so the load of the
root moves between hosts. A side fetches only from sides before it in that
order, so sides with different host lists never wait for each other in a cycle.

If its parent fails, a side tries the next ancestor, and finally the store. An
outdated host list therefore only delays a fetch.
"""

import xxhash

from auburnroad_core.platform import host_list

FANOUT = 4


def find_ancestors(
    hosts: list[host_list.Host], host: str, model: str, version: int
) -> list[host_list.Host]:
    """Find the sides from which a side fetches weights, nearest first.

    Args:
      hosts: Hosts in the host list of the platform.
      host: Name of the side's own host.
      model: Model's or adapter's name.
      version: Weight version.

    Returns:
      Hosts of the sides to try before the store; empty if the side is the root
      or is not listed.
    """
    sides = [
        listed
        for listed in hosts
        if listed.role == 'side' and listed.state is host_list.HostState.LIVE
    ]
    sides.sort(key=lambda side: _hash(side.name, model, version))
    own = next((side for side in sides if side.name == host), None)
    if own is None:
        return []
    domain = [s for s in sides if s.failure_domain == own.failure_domain]
    roots = _find_roots(sides)
    return [*_list_ancestors(domain, own), *_list_ancestors(roots, domain[0])]


def _find_roots(sides: list[host_list.Host]) -> list[host_list.Host]:
    roots = {}
    for side in sides:
        roots.setdefault(side.failure_domain, side)
    return list(roots.values())


def _list_ancestors(order, side) -> list[host_list.Host]:
    """List the ancestors of a side in one tree, nearest first."""
    index = order.index(side)
    ancestors = []
    while index > 0:
        index = (index - 1) // FANOUT
        ancestors.append(order[index])
    return ancestors


def _hash(name: str, model: str, version: int) -> int:
    text = f'{name}/{model}/{version}'
    return xxhash.xxh3_64_intdigest(text.encode('ascii'))
