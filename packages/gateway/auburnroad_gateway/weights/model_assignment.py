"""Divides the replicas of a service among the models that it runs.

Several trainers may share replicas, and each announces a new version every few
seconds. If every replica loaded every version of every model, loading would
use most of the replicas' time. Each replica therefore loads new versions of a
single model, its assigned model. The weights that it holds of other models
remain in use while they are new enough.
"""

from auburnroad_gateway.directory import replica

# Replicas that a model keeps beyond its share, since the work varies by step
# and each reassignment costs a load.
EXTRA_REPLICAS = 1


def assign_models(
    replicas: list[replica.Replica],
    work: dict[str, float],
    named_versions: dict[str, int],
    previous: dict[str, str],
) -> dict[str, str]:
    """Assign a model to each replica.

    Args:
      replicas: Replicas that accept new work.
      work: Expected work by model in any common unit, for all models of the
        service.
      named_versions: Version by model that its trainer announced last.
      previous: Previously assigned model by replica id.

    Returns:
      Assigned model by replica id, in proportion to the work. Replicas keep
      their previous model where the shares permit. The other replicas get a
      model with replicas missing, preferably one whose weights they hold in
      the most recent version.
    """
    if not work:
        return {}
    vacancies = apportion(len(replicas), work)
    assigned = {}
    unassigned = []
    for target in sorted(replicas, key=lambda entry: entry.id):
        chosen = previous.get(target.id, '')
        if chosen in vacancies and vacancies[chosen] > -EXTRA_REPLICAS:
            assigned[target.id] = chosen
            vacancies[chosen] -= 1
        else:
            unassigned.append(target)
    for target in unassigned:
        chosen = min(
            vacancies,
            key=lambda model: (
                vacancies[model] <= 0,
                named_versions.get(model, 0) - target.versions.get(model, 0),
                -vacancies[model],
            ),
        )
        assigned[target.id] = chosen
        vacancies[chosen] -= 1
    return assigned


def apportion(count: int, work: dict[str, float]) -> dict[str, int]:
    """Divide an integer into integer shares in proportion to weights.

    Args:
      count: Integer to divide.
      work: Weight by name.

    Returns:
      Shares by name with the sum count. Each share is at least one if count
      permits. Small differences of the weights do not change the shares.
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
