"""Chooses the replica on this host that runs a request."""

import collections

from auburnroad_core.wire import messages
from auburnroad_daemon.connection import replica as replica_module

MAX_RECORDED_GROUPS = 4096


def is_fresh(replica: replica_module.Replica, submit: messages.Submit) -> bool:
    """Check whether a replica's weights are new enough for a request.

    Args:
      replica: The replica.
      submit: The request.

    Returns:
      True if the weight version is at least the request's minimum version.
    """
    return replica.get_version(submit.model) >= submit.minimum_version


class Placement:
    """Chooses replicas and records which replica last ran each group.

    Requests of a group share a prompt prefix, which the recorded replica has
    cached.
    """

    __slots__ = ('_groups',)

    def __init__(self):
        self._groups: collections.OrderedDict[tuple, str] = (
            collections.OrderedDict()
        )

    def choose(
        self,
        replicas: list[replica_module.Replica],
        submit: messages.Submit,
    ) -> replica_module.Replica:
        """Choose the least loaded replica.

        Among equally loaded replicas, the replica that last ran a request of
        the same group is preferred.

        Args:
          replicas: Replicas that can run the request, at least one.
          submit: The request.

        Returns:
          The chosen replica.
        """
        key = (submit.trainer, submit.step, submit.group)
        group_replica = self._groups.get(key) if submit.group else None
        chosen = min(
            replicas,
            key=lambda r: (len(r.running), r.name != group_replica, r.name),
        )
        if submit.group:
            self._groups[key] = chosen.name
            self._groups.move_to_end(key)
            if len(self._groups) > MAX_RECORDED_GROUPS:
                self._groups.popitem(last=False)
        return chosen
