"""Settings of one daemon: where it is and whom it talks to.

One file for each process; everything that may change while it runs is in the
deployment's configuration instead.
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
      service: Service that it provides.
      address: 'IP number:port' of its HTTP interface.
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
      stream_address: Where it listens for the system's own streams.
      http_address: Where an entry serves callers and trainers, and where a
        side relays weights; both serve health and metrics there.
      log_service: Address of the platform's log service.
      host_list: Address of the platform's host list.
      weight_store: Address of the platform's weight store.
      peers: Stream addresses of entries to ask when the platform is down.
      replicas: Targets on the host; only for a side.
      log_level: Lowest level of log lines that are written.
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
    """Check that replicas stand where the role wants them.

    Args:
      settings: The daemon's settings.

    Yields:
      Path, message and remedy of each mistake.
    """
    if settings.role == 'entry' and settings.replicas:
        yield ('replicas',), 'an entry has no replicas', 'remove them'
    if settings.role == 'side' and not settings.replicas:
        yield ('replicas',), 'a side needs at least one replica', 'add one'
    names = [replica.name for replica in settings.replicas]
    for index, name in enumerate(names):
        if name in names[:index]:
            yield ('replicas', index, 'name'), f'{name!r} is taken', ''
