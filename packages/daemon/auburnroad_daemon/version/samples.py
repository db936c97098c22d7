"""Which samples a trainer's ledger misses, and the calls that make them.

Plain functions; generator.py runs what they decide.
"""

import typing

import msgspec

from auburnroad_core import clock
from auburnroad_core.settings import deployment
from auburnroad_core import types
from auburnroad_core.wire import messages
from auburnroad_daemon.request import dispatch
from auburnroad_daemon.version import ledger as ledgers


class Want(msgspec.Struct, frozen=True):
    """A sample that is to be generated.

    Attributes:
      step: Step of its group.
      group: Identity of its group.
      index: Place within the group.
    """

    step: int
    group: str
    index: int


def find_wanted(
    ledger: ledgers.Ledger,
    samples_per_group: int,
    last_step: int,
    running: typing.Container[Want],
) -> list[Want]:
    """Find samples to generate, the lowest step first.

    Args:
      ledger: The ledger.
      samples_per_group: Samples in a group.
      last_step: Highest step whose samples would still be fresh.
      running: Samples that are being generated.

    Returns:
      The samples, in the order in which they should be begun.
    """
    wanted = [
        Want(group.step, identity, index)
        for identity, group in ledger.groups.items()
        if group.step <= last_step
        for index in range(samples_per_group)
        if index not in group.samples
    ]
    wanted.sort(key=lambda want: want.step)
    return [want for want in wanted if want not in running]


def predict_last_step(
    first_open_step: int, asked_step: int, staleness_bound: int
) -> int:
    """Predict up to which step samples generated now would be fresh.

    A trainer's version is taken to go up by one with each step, so a step
    that is more than the bound ahead would be handed over too stale.

    Args:
      first_open_step: Lowest step that isn't sealed.
      asked_step: Highest step that the trainer has asked for; it is never
        held back, since the trainer waits for it.
      staleness_bound: Versions that a sample may be behind.

    Returns:
      Number of the step.
    """
    return max(first_open_step + staleness_bound, asked_step)


def build_call(
    trainer: deployment.Trainer,
    ledger: ledgers.Ledger,
    want: Want,
    request_id: str,
    avoid: frozenset[str],
) -> dispatch.Call:
    """Build the call that generates a sample.

    Args:
      trainer: The trainer's settings.
      ledger: Its ledger, which holds the sample's group.
      want: What is to be generated.
      request_id: Identity of the call.
      avoid: Hosts that other attempts at the sample run on.

    Returns:
      The call, whose deadline is that of one attempt.
    """
    prompt = ledger.groups[want.group].prompt
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
        want.step,
        want.group,
        max(-1, ledger.version - trainer.staleness_bound),
    )
    return dispatch.Call(submit, prompt.prompt.encode(), avoid)


def build_sample(
    want: Want, number: int, result: dispatch.Result
) -> ledgers.Sample:
    """Build a sample from the result of a call.

    Args:
      want: What was to be generated.
      number: Number of the attempt.
      result: The call's result.

    Returns:
      The sample.
    """
    return ledgers.Sample(
        want.index,
        result.text,
        result.spans,
        number,
        result.replica,
        result.request_id,
    )
