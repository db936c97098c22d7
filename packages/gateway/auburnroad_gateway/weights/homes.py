"""Divides the replicas of a service among the models that it runs.

Pattern: several trainers share replicas, and each names a new version every
few seconds. If every replica loaded every version, replicas would do little
else. Each replica therefore follows one model, its home; what it still has of
the others serves as long as it is new enough.
"""

from auburnroad_gateway.directory import replica

# A model keeps so many replicas beyond its share, as work varies by step and
# each move costs a load.
KEEP_BEYOND = 1


def assign_homes(
    replicas: list[replica.Replica],
    work: dict[str, float],
    named: dict[str, int],
    known: dict[str, str],
) -> dict[str, str]:
    """Give each replica a model.

    Args:
      replicas: Those that take new work.
      work: Expected work by model, in any unit; of every model one knows.
      named: Version by model that its trainer named last.
      known: Homes as they were, by replica id.

    Returns:
      Model by replica id, shared out by work. Replicas keep their homes as
      far as that allows, and others go where they lag least.
    """
    if not work:
        return {}
    room = share_out(len(replicas), work)
    homes = {}
    strangers = []
    for target in sorted(replicas, key=lambda entry: entry.id):
        home = known.get(target.id, '')
        if home in room and room[home] > -KEEP_BEYOND:
            homes[target.id] = home
            room[home] -= 1
        else:
            strangers.append(target)
    for target in strangers:
        home = min(
            room,
            key=lambda model: (
                room[model] <= 0,
                named.get(model, 0) - target.versions.get(model, 0),
                -room[model],
            ),
        )
        homes[target.id] = home
        room[home] -= 1
    return homes


def share_out(count: int, work: dict[str, float]) -> dict[str, int]:
    """Divide a number by weights.

    Args:
      count: What is divided.
      work: Weight by name.

    Returns:
      Shares by name whose sum is the number. Each is one at least, if the
      number allows, and a small difference of the weights makes none.
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
