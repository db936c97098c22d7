"""Tells where the time of training steps went, from the gateways' logs.

The gateway that runs a step writes a line when its trainer ends it. The line
divides the time of the item that decided the end into phases.
"""

import collections

import msgspec

from auburnroad_client.logs import reading

EVENT = 'step_ended'


class Step(msgspec.Struct):
    """A step that its trainer has ended; times are in milliseconds.

    Attributes:
      model: Model of the trainer.
      step: Number of the step.
      batch: Id of the batch.
      wanted: Groups that the trainer waited for.
      complete: Groups that were complete.
      after_ms: Time from the submission of the trainer's step before to that
        of this one; zero for the first in the logs.
      age_ms: Time from the submission to the end.
      before_ms: Part of it until the gateway began to run the batch.
      version_ms: Part in which the item waited for new enough weights.
      slot_ms: Part in which it waited for a free slot.
      generating_ms: Part in which its text was generated, by all attempts.
      scoring_ms: Part until it had its score.
      listing_ms: Part until its result could be read.
      listed_ms: Part until the trainer ended the step.
      attempts: Attempts to generate its text.
      item: Id of the item.
      host: Host of the gateway.
    """

    model: str
    step: int
    batch: str
    wanted: int
    complete: int
    after_ms: int
    age_ms: int
    before_ms: int
    version_ms: int
    slot_ms: int
    generating_ms: int
    scoring_ms: int
    listing_ms: int
    listed_ms: int
    attempts: int
    item: str
    host: str


PHASES = tuple(
    name
    for name in Step.__struct_fields__
    if name.endswith('_ms') and name not in ('after_ms', 'age_ms')
)


def build_steps(log: reading.Log) -> list[Step]:
    """List the steps that ended, by model and number.

    Args:
      log: Log lines of all gateways.

    Returns:
      The steps; one that two gateways ended is listed once.
    """
    lines = {
        line.fields['batch']: line for line in log.lines if line.event == EVENT
    }
    steps = [_build_step(line) for line in lines.values()]
    steps.sort(key=lambda step: (step.model, step.step))
    submitted = {
        step.batch: lines[step.batch].time_ms - step.age_ms for step in steps
    }
    for previous, step in zip(steps, steps[1:], strict=False):
        if previous.model == step.model:
            step.after_ms = submitted[step.batch] - submitted[previous.batch]
    return steps


def sum_phases(steps: list[Step]) -> dict[str, int]:
    """Sum the phases of all steps, the longest first.

    Args:
      steps: The steps.

    Returns:
      Milliseconds by phase.
    """
    total = collections.Counter()
    for step in steps:
        for phase in PHASES:
            total[phase] += getattr(step, phase)
    return dict(total.most_common())


def _build_step(line: reading.Line) -> Step:
    fields = line.fields
    return Step(
        model=fields.get('model', ''),
        step=fields.get('step', 0),
        batch=fields['batch'],
        wanted=fields.get('groups_wanted', 0),
        complete=fields.get('groups_complete', 0),
        after_ms=0,
        age_ms=fields.get('age_ms', 0),
        attempts=fields.get('attempts', 0),
        item=fields.get('item', ''),
        host=line.host,
        **{phase: fields.get(phase, 0) for phase in PHASES},
    )
