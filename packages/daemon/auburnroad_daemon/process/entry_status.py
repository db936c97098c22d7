"""The response body of /status at an entry."""

from auburnroad_core.settings import daemon
from auburnroad_daemon.connection import peers as entry_peers
from auburnroad_daemon.connection import side_link
from auburnroad_daemon.process import membership


def build_status(
    settings: daemon.Daemon,
    incarnation: str,
    revision: int,
    leaving: bool,
    members: membership.Membership,
    peers: entry_peers.Peers,
    trainers: list[dict],
    versions: dict[str, int],
) -> dict:
    """Build the status of an entry.

    Args:
      settings: Settings of the daemon.
      incarnation: Incarnation of the process.
      revision: Revision of the configuration in force.
      leaving: Whether a planned stop has begun.
      members: Links to the sides.
      peers: Links to the other entries.
      trainers: Status of each trainer that the entry owns.
      versions: Highest announced weight version by model.

    Returns:
      The status, to be encoded as JSON.
    """
    return {
        'daemon': settings.name,
        'role': settings.role,
        'host': settings.host,
        'failure_domain': settings.failure_domain,
        'incarnation': incarnation,
        'revision': revision,
        'leaving': leaving,
        'hosts': [_describe_side(link, members) for link in members.links],
        'entries': [
            {
                'daemon': link.name,
                'failure_domain': link.failure_domain,
                'connected': link.connected,
                'leaving': link.leaving,
            }
            for link in peers.links
        ],
        'trainers': trainers,
        'versions': versions,
    }


def _describe_side(
    link: side_link.SideLink, members: membership.Membership
) -> dict:
    return {
        'host': link.host.name,
        'failure_domain': link.host.failure_domain,
        'connected': link.connected,
        'leaving': link.leaving,
        'draining': members.is_draining(link.host.name),
        'revision': link.revision,
        'versions': link.versions,
        'loads': list(link.loads.values()),
    }
