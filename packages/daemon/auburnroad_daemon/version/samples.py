"""Selects the samples to generate for a trainer and builds their calls.

The functions are pure, except that build_call reads the clock to set a call's
deadline; generator.py runs the calls.
"""

import typing

import msgspec

from auburnroad_core import clock
from auburnroad_core.settings import deployment
from auburnroad_core import types
from auburnroad_core.wire import messages
from auburnroad_daemon.request import dispatch
from auburnroad_daemon.version import ledger as ledgers


class SampleKey(msgspec.Struct, frozen=True):
    """Identifies a sample within a trainer.

    Attributes:
      step: Step of its group.
      group: Identity of its group.
      index: Index within the group.
    """

    step: int
    group: str
    index: int


def find_missing_samples(
    ledger: ledgers.Ledger,
    samples_per_group: int,
    last_step: int,
    running: typing.Container[SampleKey],
) -> list[SampleKey]:
    """Find samples to generate, in ascending order of their steps.

    Args:
      ledger: The ledger.
      samples_per_group: Number of samples in a group.
      last_step: Highest step for which samples are generated now.
      running: Samples that are being generated.

    Returns:
      The samples, in the order in which to start them.
    """
    missing = [
        SampleKey(group.step, identity, index)
        for identity, group in ledger.groups.items()
        if group.step <= last_step
        for index in range(samples_per_group)
        if index not in group.samples
    ]
    missing.sort(key=lambda key: key.step)
    return [key for key in missing if key not in running]


def predict_last_step(
    first_unsealed_step: int, requested_step: int, staleness_bound: int
) -> int:
    """Predict the last step for which samples generated now stay fresh.

    A trainer's version is assumed to increase by one per step, so samples
    for a step further ahead than the bound would be too stale at delivery.

    Args:
      first_unsealed_step: Lowest step that isn't sealed.
      requested_step: Highest step that the trainer has requested; its
        samples are never deferred, since the trainer waits for them.
      staleness_bound: Maximum number of versions between a sample and the
        trainer.

    Returns:
      Number of the last step.
    """
    return max(first_unsealed_step + staleness_bound, requested_step)


def build_call(
    trainer: deployment.Trainer,
    ledger: ledgers.Ledger,
    key: SampleKey,
    request_id: str,
    avoid_hosts: frozenset[str],
) -> dispatch.Call:
    """Build the call that generates a sample.

    Args:
      trainer: The trainer's settings.
      ledger: The trainer's ledger, which has the sample's group.
      key: The sample to generate.
      request_id: Id of the call.
      avoid_hosts: Hosts tried by other attempts at the sample.

    Returns:
      The call; its deadline is the timeout of one attempt.
    """
    prompt = ledger.groups[key.group].prompt
    body = msgspec.json.encode(
        {
            'model': trainer.model,
            'prompt': prompt.prompt,
            'max_tokens': prompt.max_tokens,
        }
    )
    submit = messages.Submit(
        request_id,
        trainer.service,
        types.RequestClass.SAMPLE,
        clock.time_now_ms() + trainer.sample_timeout_ms,
        True,
        False,
        'POST',
        '/v1/completions',
        {},
        body,
        trainer.model,
        trainer.name,
        key.step,
        key.group,
        max(-1, ledger.version - trainer.staleness_bound),
    )
    return dispatch.Call(submit, prompt.prompt.encode(), avoid_hosts)


def build_sample(
    key: SampleKey, attempt: int, result: dispatch.Result
) -> ledgers.Sample:
    """Build a sample from the result of a call.

    Args:
      key: The generated sample.
      attempt: Number of the attempt, from 1.
      result: The call's result.

    Returns:
      The sample.
    """
    return ledgers.Sample(
        key.index,
        result.text,
        result.spans,
        attempt,
        result.replica,
        result.request_id,
    )
