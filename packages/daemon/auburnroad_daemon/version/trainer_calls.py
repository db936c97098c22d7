"""Performs a trainer's typed calls on its owner, and builds the answers."""

from auburnroad_core import clock
from auburnroad_core.http import messages
from auburnroad_core import types
from auburnroad_daemon.request import answers
from auburnroad_daemon.version import owner as owners
from auburnroad_daemon.version import owner_refusals
from auburnroad_daemon.version import trainer_api

COME_BACK_MS = 500

_STATUSES = {
    owner_refusals.Refusal.UNKNOWN_STEP: 404,
    owner_refusals.Refusal.NOT_READY: 503,
    owner_refusals.Refusal.LOG_UNAVAILABLE: 503,
    owner_refusals.Refusal.NOT_OWNER: 503,
}
CONFLICT_STATUS = 409


async def perform(
    owner: owners.Owner, action: trainer_api.Action
) -> messages.Response:
    """Perform a trainer's call on its owner.

    Args:
      owner: The owner.
      action: What the trainer wants.

    Returns:
      The answer.

    Raises:
      RefusedError: If the owner refuses.
    """
    match action:
        case trainer_api.Show():
            return _answer(owner.describe())
        case trainer_api.SetVersion(version=version):
            await owner.set_version(version, strict=True)
            return _answer({'version': version})
        case trainer_api.Submit(version=version, change=change):
            await owner.set_version(version)
            return _answer({'accepted': await owner.submit(change)})
        case trainer_api.Void(step=step, generation=generation):
            return _answer({'generation': await owner.void(step, generation)})
    body = await owner.take(
        action.step, action.generation, action.version, action.wait_seconds
    )
    headers = {
        'content-type': messages.JSON_TYPE,
        answers.OUTCOME_HEADER: str(types.Outcome.RUN),
    }
    return messages.Response(200, headers, body)


def _answer(value: object) -> messages.Response:
    return messages.json_response(
        200, value, {answers.OUTCOME_HEADER: str(types.Outcome.RUN)}
    )


def refuse(error: owner_refusals.RefusedError) -> messages.Response:
    status = _STATUSES.get(error.refusal, CONFLICT_STATUS)
    retry_at_ms = 0
    if error.refusal is owner_refusals.Refusal.NOT_READY:
        # It has waited as long as it wanted; the next question may wait on.
        retry_at_ms = clock.time_now_ms()
    elif status == 503:
        retry_at_ms = clock.time_now_ms() + COME_BACK_MS
    return answers.build_refusal(
        status, str(error.refusal), str(error), retry_at_ms=retry_at_ms
    )


def refuse_later(code: str, message: str) -> messages.Response:
    """Refuse a request as not run, for a reason that will pass.

    Args:
      code: Reason as a name for programs.
      message: Reason for people.

    Returns:
      The response, with the time to come back.
    """
    return answers.build_refusal(
        503, code, message, retry_at_ms=clock.time_now_ms() + COME_BACK_MS
    )
