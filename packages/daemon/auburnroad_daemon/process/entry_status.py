"""What an entry shows of itself and of what it sees, for status pages."""

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
      settings: Its settings.
      incarnation: Its incarnation.
      revision: Configuration in force.
      leaving: Whether it is leaving.
      members: The sides that it knows.
      peers: The other entries.
      trainers: Trainers that it owns, as described by their owners.
      versions: Highest announced weight version by model.

    Returns:
      Plain data that is encoded as JSON.
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
