"""Fair shares of a side's slots and queue.

Each trainer is a client account, and all callers together are one client
account. A trainer that fills its share of the queue must not cause the side to
refuse requests of another trainer or of a caller.
"""

from auburnroad_core.settings import deployment
from auburnroad_daemon.request import ordering


def find_shares(
    configured: deployment.Deployment, service: str
) -> dict[str, int]:
    """Find the fair-share weights of a service's accounts.

    Args:
      configured: The deployment.
      service: Name of the service.

    Returns:
      Weights by trainer, with CALLERS for interactive requests.
    """
    shares = {ordering.CALLERS: ordering.DEFAULT_SHARE}
    for trainer in configured.trainers:
        if trainer.service == service:
            shares[trainer.name] = trainer.share
    return shares


def compute_slots(
    account: str,
    active: set[str],
    shares: dict[str, int],
    slots: int,
    reservable: int,
) -> float:
    """Compute the fair share of the slots for one client account.

    Args:
      account: A trainer, or CALLERS.
      active: Accounts with waiting or running requests.
      shares: Weights by account.
      slots: Slots of all ready replicas, at least 1.
      reservable: Slots out of `slots` that may be reserved for callers; the
        callers' share is at least this number.

    Returns:
      Number of slots, greater than 0.
    """
    share = shares.get(account, ordering.DEFAULT_SHARE)
    other_shares = sum(
        shares.get(other, ordering.DEFAULT_SHARE)
        for other in active
        if other != account
    )
    fair = slots * share / (share + other_shares)
    return max(fair, reservable) if account == ordering.CALLERS else fair


def compute_queue_limit(
    account: str, shares: dict[str, int], queue_limit: int
) -> int:
    """Compute how many requests of one account may wait.

    Args:
      account: A trainer, or CALLERS.
      shares: Weights by account.
      queue_limit: Number of requests that may wait for the ready replicas.

    Returns:
      The full limit for callers, or the trainer's share of it among all
      trainers, rounded up.
    """
    if account == ordering.CALLERS:
        return queue_limit
    trainers = sum(
        share for name, share in shares.items() if name != ordering.CALLERS
    )
    share = shares.get(account, ordering.DEFAULT_SHARE)
    return -(-queue_limit * share // max(trainers, share))
