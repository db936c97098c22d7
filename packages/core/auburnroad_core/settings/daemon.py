"""Settings of one daemon: its identity, addresses and peers.

Each process has its own settings file. Values that may change while the
process runs are in the deployment's configuration instead.
"""

import typing

import msgspec

from auburnroad_core.settings import check
from auburnroad_core.settings import deployment

Address = typing.Annotated[
    str, msgspec.Meta(pattern=r'^[0-9]+(\.[0-9]+){3}:[0-9]{1,5}$')
]


class Replica(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A target process on the side's own host.

    Attributes:
      name: Replica's name, unique in the deployment.
      service: Service that the replica provides.
      address: 'IP address:port' of the replica's HTTP interface.
    """

    name: deployment.Name
    service: deployment.Name
    address: Address


class Daemon(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of one auburnroadd process.

    Attributes:
      name: Daemon's name, unique in the deployment.
      role: 'entry' or 'side'.
      host: Host's name in the host list.
      failure_domain: Failure domain of the host.
      stream_address: Listen address for streams from other daemons.
      http_address: Listen address for HTTP. An entry serves callers and
        trainers, a side relays weights; both serve health and metrics.
      log_service: Address of the platform's log service.
      host_list: Address of the platform's host list.
      weight_store: Address of the platform's weight store.
      peers: Stream addresses of entries to use when the platform is
        unavailable.
      replicas: Replicas on the host; only for a side.
      log_level: Minimum level of written log messages.
    """

    name: deployment.Name
    role: typing.Literal['entry', 'side']
    host: deployment.Name
    failure_domain: deployment.Name
    stream_address: Address
    http_address: Address
    log_service: Address
    host_list: Address
    weight_store: Address
    peers: list[Address] = []
    replicas: list[Replica] = []
    log_level: typing.Literal['debug', 'info', 'warning', 'error'] = 'info'


@check.register_check(Daemon)
def check_replicas(settings: Daemon):
    """Check that the replicas match the role and have unique names.

    Args:
      settings: The daemon's settings.

    Yields:
      Path, message and remedy of each error.
    """
    if settings.role == 'entry' and settings.replicas:
        yield ('replicas',), 'an entry has no replicas', 'remove them'
    if settings.role == 'side' and not settings.replicas:
        yield ('replicas',), 'a side needs at least one replica', 'add one'
    names = [replica.name for replica in settings.replicas]
    for index, name in enumerate(names):
        if name in names[:index]:
            yield ('replicas', index, 'name'), f'{name!r} is taken', ''
