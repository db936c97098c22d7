"""Which side fetches weights from which: a tree that every side computes.

Within a failure domain the sides form a tree under one of them; those roots
form a tree of their own, and only its root asks the store. The order of the
sides is drawn anew for each version, so no host carries the load for ever.
A side asks only sides before it in that order, so that sides which see
different lists never wait for each other in a circle.
A side whose parent fails goes to the next one above, and at last to the
store, so a wrong view of who is there costs time and nothing else.
"""

import xxhash

from auburnroad_core.platform import host_list

FANOUT = 4


def find_ancestors(
    hosts: list[host_list.Host], host: str, model: str, version: int
) -> list[host_list.Host]:
    """Find the sides that a side asks for weights, nearest first.

    Args:
      hosts: Hosts as the platform lists them.
      host: Name of the side's own host.
      model: Model's or adapter's name.
      version: Weight version.

    Returns:
      Hosts to ask, behind which comes the store.
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
    return [*_climb(domain, own), *_climb(roots, domain[0])]


def _find_roots(sides: list[host_list.Host]) -> list[host_list.Host]:
    roots = {}
    for side in sides:
        roots.setdefault(side.failure_domain, side)
    return list(roots.values())


def _climb(order, side) -> list[host_list.Host]:
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
