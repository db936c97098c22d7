"""What each trainer, and all callers together, can count on at a side.

A trainer that floods the queue must not make the side refuse another
trainer's requests or a caller's.
"""

from auburnroad_core.settings import deployment
from auburnroad_daemon.request import ordering


def find_shares(
    configured: deployment.Deployment, service: str
) -> dict[str, int]:
    """Find the weights of those who use a service.

    Args:
      configured: The deployment.
      service: Service's name.

    Returns:
      Weights by trainer, with CALLERS for interactive requests.
    """
    shares = {ordering.CALLERS: ordering.CALLERS_SHARE}
    for trainer in configured.trainers:
        if trainer.service == service:
            shares[trainer.name] = trainer.share
    return shares


def compute_slots(
    owner: str,
    active: set[str],
    shares: dict[str, int],
    slots: int,
    reserved: int,
) -> float:
    """Compute the slots that one owner gets while others want them too.

    Args:
      owner: A trainer, or CALLERS.
      active: Owners that wait or run now.
      shares: Weights by owner.
      slots: Slots of all ready replicas, at least 1.
      reserved: Slots of them that are kept for callers.

    Returns:
      Slots, more than 0.
    """
    share = shares.get(owner, ordering.CALLERS_SHARE)
    others = sum(
        shares.get(other, ordering.CALLERS_SHARE)
        for other in active
        if other != owner
    )
    fair = slots * share / (share + others)
    return max(fair, reserved) if owner == ordering.CALLERS else fair


def compute_queue_limit(
    owner: str, shares: dict[str, int], queue_limit: int
) -> int:
    """Compute how many requests of one owner may wait.

    Args:
      owner: A trainer, or CALLERS.
      shares: Weights by owner.
      queue_limit: Requests that may wait for the ready replicas.

    Returns:
      The whole limit for callers, for a trainer its share among trainers.
    """
    if owner == ordering.CALLERS:
        return queue_limit
    trainers = sum(
        share for name, share in shares.items() if name != ordering.CALLERS
    )
    share = shares.get(owner, ordering.CALLERS_SHARE)
    return -(-queue_limit * share // max(trainers, share))
