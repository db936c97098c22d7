"""Chooses what an entry does with a trainer's request."""

import enum

from auburnroad_core.log import trainer_fold
from auburnroad_daemon.connection import peer_link


class Way(enum.Enum):
    """What an entry does with a trainer's request."""

    SERVE = 'serve'
    FORWARD = 'forward'
    CLAIM = 'claim'
    WAIT = 'wait'


def choose_way(
    state: trainer_fold.TrainerState,
    name: str,
    incarnation: str,
    peer: peer_link.PeerLink | None,
    settled: bool,
) -> Way:
    """Choose what to do with a trainer's request.

    Args:
      state: What the log says of the trainer.
      name: This daemon's name.
      incarnation: This daemon's incarnation.
      peer: Link to the owner that the log names, if one is known.
      settled: Whether this daemon has run for long enough to have met every
        entry that is alive.

    Returns:
      The way.
    """
    if state.claim < 0:
        return Way.CLAIM
    if state.owner == name:
        mine = state.incarnation == incarnation
        return Way.SERVE if mine else Way.CLAIM
    if peer is None:
        return Way.CLAIM if settled else Way.WAIT
    if peer.connected:
        same = peer.incarnation == state.incarnation
        return Way.FORWARD if same else Way.CLAIM
    return Way.CLAIM if peer.lost else Way.WAIT
