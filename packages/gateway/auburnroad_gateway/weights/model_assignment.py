"""Divides the replicas of a service among the models that it runs.

Several trainers share replicas, and each announces a new version every few
seconds. If every replica loaded every version, loading would take up most of
its time. Each replica therefore loads new versions of one model only, its
assigned model. Its weights of other models stay in use while new enough.

When replicas are replaced or leave, as at a release of their software, one
model may lose all of its replicas, or half of two, while the others keep
theirs. Its trainer would wait while replicas of the others are idle.
"""

from auburnroad_gateway.directory import replica

# Number of replicas that a model keeps beyond its share, as its work varies by
# step and each move costs a load.
EXTRA_REPLICAS = 1
# A replica moves to another model if the work for each replica falls to this
# ratio, so that shares that differ a little cause no loads.
RELIEF_RATIO = 0.75


def assign_models(
    replicas: list[replica.Replica],
    work: dict[str, float],
    named: dict[str, int],
    known: dict[str, str],
) -> dict[str, str]:
    """Assign a model to each replica.

    Args:
      replicas: Replicas that accept new work.
      work: Expected work by model in any common unit, for all models of the
        service.
      named: Version by model that its trainer announced last.
      known: Previously assigned model by replica id.

    Returns:
      Assigned model by replica id, in proportion to the work. Replicas keep
      their known model where the shares permit. Each other replica gets
      a model that is below its share, preferably the model whose loaded
      version is closest to the announced version.
    """
    if not work:
        return {}
    room = apportion(len(replicas), work)
    assigned = {}
    unassigned = []
    for target in sorted(replicas, key=lambda entry: entry.id):
        chosen = known.get(target.id, '')
        if chosen in room and room[chosen] > -EXTRA_REPLICAS:
            assigned[target.id] = chosen
            room[chosen] -= 1
        else:
            unassigned.append(target)
    for target in unassigned:
        chosen = min(
            room,
            key=lambda model: (
                room[model] <= 0,
                named.get(model, 0) - target.versions.get(model, 0),
                -room[model],
            ),
        )
        assigned[target.id] = chosen
        room[chosen] -= 1
    _relieve(replicas, assigned, work, named)
    return assigned


def _relieve(
    replicas: list[replica.Replica],
    assigned: dict[str, str],
    work: dict[str, float],
    named: dict[str, int],
) -> None:
    """Move replicas to the model with the most work for each of its own.

    A replica is moved if the larger work for each replica of the two models
    falls to RELIEF_RATIO of what it was. In a pool of a few replicas one
    replica more or less is much, and among many it isn't worth a load.

    Args:
      replicas: Replicas that accept new work.
      assigned: Assigned model by replica id; changed in place.
      work: Expected work by model.
      named: Version by model that its trainer announced last.
    """
    counts = dict.fromkeys(work, 0)
    for model in assigned.values():
        counts[model] += 1
    for _ in replicas:
        taking = max(work, key=lambda model: _rate(work, counts, model))
        giving = min(
            (model for model in work if counts[model] and model != taking),
            key=lambda model: _rate(work, counts, model, -1),
            default=None,
        )
        if giving is None:
            return
        after = max(
            _rate(work, counts, taking, 1), _rate(work, counts, giving, -1)
        )
        if after > RELIEF_RATIO * _rate(work, counts, taking):
            return
        target = min(
            (entry for entry in replicas if assigned[entry.id] == giving),
            key=lambda entry: (
                named.get(taking, 0) - entry.versions.get(taking, 0),
                entry.id,
            ),
        )
        assigned[target.id] = taking
        counts[giving] -= 1
        counts[taking] += 1


def _rate(
    work: dict[str, float], counts: dict[str, int], model: str, more: int = 0
) -> float:
    """Compute the work for each replica, with some more or fewer replicas."""
    count = counts[model] + more
    if count:
        return work[model] / count
    return float('inf') if work[model] else 0.0


def apportion(count: int, work: dict[str, float]) -> dict[str, int]:
    """Divide a number by weights.

    Args:
      count: Number to divide into integer shares.
      work: Weight by name.

    Returns:
      Shares by name whose sum is the number. Each is one at least, if the
      number allows. Small differences of the weights do not change the shares.
    """
    total = sum(work.values()) or 1.0
    shares = dict.fromkeys(work, 0)
    exact = {name: count * weight / total for name, weight in work.items()}
    for _ in range(count):
        neediest = max(
            shares,
            key=lambda name: (shares[name] == 0, exact[name] - shares[name]),
            default=None,
        )
        if neediest is None:
            break
        shares[neediest] += 1
    return shares
