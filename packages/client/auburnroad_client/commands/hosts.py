"""The commands drain and undrain: a host leaves and comes back."""

import msgspec

from auburnroad_client.commands import publishing
from auburnroad_client import configuration
from auburnroad_client import exit_codes
from auburnroad_client import options as client_options
from auburnroad_client import output
from auburnroad_client import session
from auburnroad_core import clock
from auburnroad_core.log import records
from auburnroad_core.platform import log_service


class Ordered(msgspec.Struct):
    """Result of drain and undrain.

    Attributes:
      host: Host's name.
      draining: Whether it drains now.
      revision: Offset of the order in force, -1 when none is.
      changed: False when the host was in this state already.
    """

    host: str
    draining: bool
    revision: int
    changed: bool


async def order(
    options: client_options.Options,
    host: str,
    draining: bool,
    author: str,
    timeout_seconds: float,
) -> output.Report:
    """Order that a host drains, or that it takes work again.

    Args:
      options: Flags of the command.
      host: Host's name.
      draining: True to drain, False to take it back.
      author: Operator's name.
      timeout_seconds: How long to try.

    Returns:
      The order that was read back in force.

    Raises:
      BadInputError: If the host is not one of the deployment's.
      LogUnavailableError: If no order was given.
      OutcomeUnknownError: If it could not be found out.
    """
    known = None
    if not options.log_service:
        known = client_options.read_answers(options)
    deadline_ms = clock.time_now_ms() + int(
        timeout_seconds * clock.MS_PER_SECOND
    )
    async with session.open_log(options, known) as log:
        ordered = await order_host(log, host, draining, author, deadline_ms)
    return output.Report(ordered, _describe(ordered))


async def order_host(
    log: log_service.LogService,
    host: str,
    draining: bool,
    author: str,
    deadline_ms: int,
) -> Ordered:
    """Append the order unless the host is in that state already.

    Args:
      log: The log service.
      host: Host's name.
      draining: True to drain, False to take it back.
      author: Operator's name.
      deadline_ms: Unix milliseconds at which to give up.

    Returns:
      What is in force.

    Raises:
      BadInputError: If the host is not one of the deployment's.
      LogUnavailableError: If no order was given.
      OutcomeUnknownError: If it could not be found out.
    """
    state = await configuration.read_state(log)
    _check_host(state, host)
    if (host in state.draining) == draining:
        offset = state.draining.get(host, -1)
        return Ordered(host, draining, offset, False)
    record = records.HostOrder(host, draining, author, clock.time_now_ms())
    async with publishing.say_waiting('waiting until the order is read back'):
        accepted = await configuration.append(log, record, deadline_ms)
    return Ordered(host, draining, accepted.revision, True)


def _check_host(state: configuration.State, host: str) -> None:
    """Check that the host is one that entries can pass over."""
    answers = configuration.parse_answers(state)
    if answers is None or host in state.draining:
        return
    names = [h.name for h in answers.places.target_hosts]
    if host in names:
        return
    if host in [h.name for h in answers.places.entry_hosts]:
        raise exit_codes.BadInputError(
            f'{host!r} is an entry host, which no order drains',
            'take it out of the balancer and send its daemon SIGTERM',
        )
    raise exit_codes.BadInputError(
        f'{host!r} is no host of {answers.deployment}',
        'one of: ' + ', '.join(names),
    )


def _describe(ordered: Ordered) -> str:
    act = 'drains' if ordered.draining else 'takes work again'
    if not ordered.changed:
        state = 'drains' if ordered.draining else 'takes work'
        return f'{ordered.host} {state} already'
    return f'accepted: {ordered.host} {act} (order {ordered.revision})'
