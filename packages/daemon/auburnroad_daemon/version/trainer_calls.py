"""Runs trainers' actions on their owner and builds the responses."""

from auburnroad_core import clock
from auburnroad_core.http import messages
from auburnroad_core import types
from auburnroad_daemon.request import answers
from auburnroad_daemon.version import owner as owners
from auburnroad_daemon.version import owner_refusals
from auburnroad_daemon.version import trainer_api

RETRY_DELAY_MS = 500

_STATUSES = {
    owner_refusals.Refusal.UNKNOWN_STEP: 404,
    owner_refusals.Refusal.NOT_READY: 503,
    owner_refusals.Refusal.LOG_UNAVAILABLE: 503,
    owner_refusals.Refusal.NOT_OWNER: 503,
}
CONFLICT_STATUS = 409


async def run_action(
    owner: owners.Owner, action: trainer_api.Action
) -> messages.Response:
    """Run a trainer's action on its owner.

    Args:
      owner: The owner.
      action: The requested action.

    Returns:
      The response.

    Raises:
      RefusedError: If the owner refuses the action.
    """
    match action:
        case trainer_api.ShowState():
            return _build_response(owner.describe())
        case trainer_api.SetVersion(version=version):
            await owner.set_version(version, strict=True)
            return _build_response({'version': version})
        case trainer_api.SubmitGroups(version=version, change=change):
            await owner.set_version(version)
            return _build_response({'accepted': await owner.submit(change)})
        case trainer_api.VoidStep(step=step, generation=generation):
            return _build_response(
                {'generation': await owner.void(step, generation)}
            )
    body = await owner.deliver(
        action.step, action.generation, action.version, action.wait_seconds
    )
    headers = {
        'content-type': messages.JSON_TYPE,
        answers.OUTCOME_HEADER: str(types.Outcome.RUN),
    }
    return messages.Response(200, headers, body)


def _build_response(value: object) -> messages.Response:
    return messages.build_json_response(
        200, value, {answers.OUTCOME_HEADER: str(types.Outcome.RUN)}
    )


def refuse(error: owner_refusals.RefusedError) -> messages.Response:
    """Build the response to a request that the owner refused.

    Args:
      error: The refusal.

    Returns:
      The response, with the time of the next attempt if its status is 503.
    """
    status = _STATUSES.get(error.refusal, CONFLICT_STATUS)
    retry_at_ms = 0
    if error.refusal is owner_refusals.Refusal.NOT_READY:
        # The trainer's wait time has passed; the trainer may retry at once,
        # since the next request waits again.
        retry_at_ms = clock.time_now_ms()
    elif status == 503:
        retry_at_ms = clock.time_now_ms() + RETRY_DELAY_MS
    return answers.build_refusal(
        status, str(error.refusal), str(error), retry_at_ms=retry_at_ms
    )


def build_retryable_refusal(code: str, message: str) -> messages.Response:
    """Build a refusal of a request that was not run and may be retried.

    Args:
      code: Error code.
      message: Human-readable error message.

    Returns:
      The response, with the time of the next attempt.
    """
    return answers.build_refusal(
        503, code, message, retry_at_ms=clock.time_now_ms() + RETRY_DELAY_MS
    )
