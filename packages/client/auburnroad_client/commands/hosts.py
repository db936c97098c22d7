"""Commands drain and undrain, which stop and resume work on a host."""

import msgspec

from auburnroad_client import configuration
from auburnroad_client import exit_codes
from auburnroad_client import options as client_options
from auburnroad_client import output
from auburnroad_client import progress
from auburnroad_client import session
from auburnroad_core import clock
from auburnroad_core.log import records
from auburnroad_core.platform import log_service


class OrderResult(msgspec.Struct):
    """Result of drain and undrain.

    Attributes:
      host: Host's name.
      draining: Whether the host drains now.
      revision: Offset of the order in force, -1 for none.
      changed: False if the host was already in this state.
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
    """Order a host to drain, or to accept work again.

    Args:
      options: Flags of the command.
      host: Host's name.
      draining: True to drain, False to accept work again.
      author: Operator's name.
      timeout_seconds: Seconds after which the command stops retrying.

    Returns:
      The order, after it was read back in force.

    Raises:
      BadInputError: If the host is not a target host of the deployment.
      LogUnavailableError: If the log service can't be reached and no order
        was appended.
      OutcomeUnknownError: If the order may have been appended but could not
        be read back in time.
    """
    deadline_ms = session.build_deadline(timeout_seconds)
    async with session.open_log(options) as log:
        ordered = await order_host(log, host, draining, author, deadline_ms)
    return output.Report(ordered, _format_order(ordered))


async def order_host(
    log: log_service.LogService,
    host: str,
    draining: bool,
    author: str,
    deadline_ms: int,
) -> OrderResult:
    """Append the order unless the host is already in that state.

    Args:
      log: The log service.
      host: Host's name.
      draining: True to drain, False to accept work again.
      author: Operator's name.
      deadline_ms: Unix milliseconds after which there is no retry.

    Returns:
      The order in force.

    Raises:
      BadInputError: If the host is not a target host of the deployment.
      LogUnavailableError: If the log service can't be reached and no order
        was appended.
      OutcomeUnknownError: If the order may have been appended but could not
        be read back in time.
    """
    state = await configuration.read_state(log)
    _check_host(state, host)
    if (host in state.draining) == draining:
        offset = state.draining.get(host, -1)
        return OrderResult(host, draining, offset, False)
    record = records.HostOrder(host, draining, author, clock.time_now_ms())
    async with progress.show_progress(
        'waiting for the log service to confirm the order'
    ):
        accepted = await configuration.append_and_read_back(
            log, record, deadline_ms
        )
    return OrderResult(host, draining, accepted.revision, True)


def _check_host(state: configuration.State, host: str) -> None:
    """Check that the host is a target host of the answers in force.

    A host that drains is accepted without the check, so that undrain works
    after the host was removed from the answers.
    """
    answers = configuration.parse_answers(state)
    if answers is None or host in state.draining:
        return
    names = [h.name for h in answers.places.target_hosts]
    if host in names:
        return
    if host in [h.name for h in answers.places.entry_hosts]:
        raise exit_codes.BadInputError(
            f'{host!r} is an entry host, which drain does not apply to',
            'remove it from the load balancer and send its daemon SIGTERM',
        )
    raise exit_codes.BadInputError(
        f'{host!r} is not a target host of {answers.deployment}',
        'one of: ' + ', '.join(names),
    )


def _format_order(ordered: OrderResult) -> str:
    act = 'drains' if ordered.draining else 'takes work again'
    if not ordered.changed:
        state = 'drains' if ordered.draining else 'takes work'
        return f'{ordered.host} {state} already'
    return f'accepted: {ordered.host} {act} (order {ordered.revision})'
