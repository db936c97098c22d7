"""Divides the replicas of a service among the models that it runs.

Pattern: several trainers share replicas, and each names a new version every
few seconds. If every replica loaded every version, replicas would do little
else. Each replica therefore follows one model, its home; what it still has of
the others serves as long as it is new enough.
"""

import math

from auburnroad_gateway.directory import replica


def assign_homes(
    replicas: list[replica.Replica],
    models: tuple[str, ...],
    named: dict[str, int],
    known: dict[str, str],
) -> dict[str, str]:
    """Give each replica a model.

    Args:
      replicas: Those that take new work.
      models: Models of the service.
      named: Version by model that its trainer named last.
      known: Homes as they were, by replica id.

    Returns:
      Model by replica id. Shares differ by one at most; replicas keep their
      homes as far as that allows, and others go where they lag least.
    """
    if not models:
        return {}
    counts = dict.fromkeys(models, 0)
    most = math.ceil(len(replicas) / len(models))
    homes = {}
    strangers = []
    for target in sorted(replicas, key=lambda entry: entry.id):
        home = known.get(target.id)
        if home in counts and counts[home] < most:
            homes[target.id] = home
            counts[home] += 1
        else:
            strangers.append(target)
    for target in strangers:
        home = min(
            models,
            key=lambda model: (
                counts[model] >= most,
                named.get(model, 0) - target.versions.get(model, 0),
                counts[model],
            ),
        )
        homes[target.id] = home
        counts[home] += 1
    return _level(homes, counts)


def _level(homes: dict[str, str], counts: dict[str, int]) -> dict[str, str]:
    """Move replicas from the largest share until shares are equal."""
    while max(counts.values()) - min(counts.values()) > 1:
        largest = max(counts, key=counts.__getitem__)
        smallest = min(counts, key=counts.__getitem__)
        moved = max(key for key, home in homes.items() if home == largest)
        homes[moved] = smallest
        counts[largest] -= 1
        counts[smallest] += 1
    return homes
