"""Chooses the route of a trainer's request at an entry."""

import enum

from auburnroad_core.log import trainer_fold
from auburnroad_daemon.connection import peer_link


class TrainerRoute(enum.Enum):
    """Route of a trainer's request at an entry."""

    SERVE = 'serve'
    FORWARD = 'forward'
    CLAIM = 'claim'
    WAIT = 'wait'


def choose_route(
    state: trainer_fold.TrainerState,
    name: str,
    incarnation: str,
    peer: peer_link.PeerLink | None,
    peers_discovered: bool,
) -> TrainerRoute:
    """Choose the route of a trainer's request.

    Args:
      state: Folded state of the trainer.
      name: This daemon's name.
      incarnation: This daemon's incarnation.
      peer: Link to the owner named in the state, None if there is no link.
      peers_discovered: True after PEER_DISCOVERY_MS, the time to reach every
        entry that is alive.

    Returns:
      The route.
    """
    if state.claim < 0:
        return TrainerRoute.CLAIM
    if state.owner == name:
        is_own = state.incarnation == incarnation
        return TrainerRoute.SERVE if is_own else TrainerRoute.CLAIM
    if peer is None:
        return TrainerRoute.CLAIM if peers_discovered else TrainerRoute.WAIT
    if peer.connected:
        same = peer.incarnation == state.incarnation
        return TrainerRoute.FORWARD if same else TrainerRoute.CLAIM
    return TrainerRoute.CLAIM if peer.lost else TrainerRoute.WAIT
