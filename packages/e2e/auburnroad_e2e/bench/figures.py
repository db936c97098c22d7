"""Works the figures of a phase out of the users' books."""

import statistics

import msgspec

from auburnroad_e2e.bench import bounds
from auburnroad_e2e.bench import plan
from auburnroad_e2e.bench import scenarios
from auburnroad_e2e.bench import session as sessions
from auburnroad_e2e import book_types
from auburnroad_e2e import books as verdicts


class Measure(msgspec.Struct):
    """What one phase of one seed gave.

    Attributes:
      table: Table's name.
      deployment: Deployment's name.
      row: Row of the table.
      scenario: Scenario's name.
      seed: Seed.
      idle_ms: Idle time of each measured step, of all trainers.
      bound_ms: Least idle time of a step.
      staleness: Mean versions behind at hand-over.
      stale: Samples over their bound.
      broken: Promises that the books show to be broken.
      calls_ms: Latency of each interactive call, from its first try.
      goodput: Right and whole answers a second.
      refused: Tries that were refused.
      failed: Why there are no figures.
    """

    table: str
    deployment: str
    row: str
    scenario: str
    seed: int
    idle_ms: list[int] = []
    bound_ms: float = 0.0
    staleness: float = 0.0
    stale: int = 0
    broken: list[str] = []
    calls_ms: list[int] = []
    goodput: float = 0.0
    refused: int = 0
    failed: str = ''

    @property
    def idle_mean_ms(self) -> float:
        """Mean idle time of a step."""
        return statistics.fmean(self.idle_ms) if self.idle_ms else 0.0

    @property
    def idle_ratio(self) -> float:
        """Mean idle time by the bound; zero without a bound."""
        return self.idle_mean_ms / self.bound_ms if self.bound_ms else 0.0


def build_measures(outcome: sessions.Outcome) -> list[Measure]:
    """Build the figures of a session.

    Args:
      outcome: What the session gave.

    Returns:
      A measure for each phase; what the books show to be broken over the
      whole session stands with the first one.
    """
    measures = [_measure(outcome, window) for window in outcome.windows]
    measures[0].broken = verdicts.list_problems(outcome.books)
    return measures


def _measure(outcome, window) -> Measure:
    session = outcome.session
    phase = window.phase
    measure = Measure(
        session.table,
        session.deployment,
        phase.row,
        phase.scenario,
        session.seed,
        failed=window.failed,
    )
    _add_calls(measure, outcome.books.callers, window.callers)
    if window.taken:
        _add_steps(measure, outcome, window)
    return measure


def _add_steps(measure: Measure, outcome, window) -> None:
    staleness = []
    for trainer in outcome.books.trainers:
        first, last = window.taken[trainer.name]
        taken = trainer.select('taken')
        steps = taken[first + 1 : last + 1]
        measure.idle_ms.extend(
            after['at_ms'] - before['at_ms'] - outcome.session.load.train_ms
            for before, after in zip(taken[first:], steps)
        )
        part = book_types.TrainerBooks(
            trainer.name,
            trainer.staleness_bound,
            trainer.groups_wanted,
            trainer.samples_per_group,
            steps,
        )
        ages = verdicts.list_staleness(part)
        staleness.extend(ages)
        measure.stale += sum(age > trainer.staleness_bound for age in ages)
    measure.staleness = statistics.fmean(staleness) if staleness else 0.0
    measure.bound_ms = _compute_bound_ms(outcome, window)


def _compute_bound_ms(outcome, window) -> float:
    load = outcome.session.load
    slow = [1.0] * outcome.engines
    if window.phase.scenario == 'straggler':
        slow[0] = scenarios.SLOW_FACTOR
    speed = sum(
        bounds.compute_engine_speed(load, outcome.slots, factor)
        for factor in slow
    )
    tokens = sum(
        trainer.groups_wanted * trainer.samples_per_group * load.sample_tokens
        for trainer in outcome.books.trainers
    )
    calls = window.phase.rate * load.call_tokens / 1000.0
    bound_ms = bounds.compute_idle_ms(tokens, speed, load.train_ms, calls)
    return max(bound_ms, _compute_forced_ms(outcome, window))


def _compute_forced_ms(outcome, window) -> float:
    """Compute the idle time that an outage of the log forces on a step.

    No step is handed over unsealed, so a trainer that asks during an outage
    waits for its end. The mean over the phase's steps counts.
    """
    forced_ms = []
    for trainer in outcome.books.trainers:
        first, last = window.taken[trainer.name]
        taken = trainer.select('taken')[first + 1 : last + 1]
        total_ms = sum(
            end_ms - max(begin_ms, event['asked_ms'])
            for event in taken
            for begin_ms, end_ms in window.outages_ms
            if event['asked_ms'] < end_ms <= event['at_ms']
        )
        forced_ms.append(total_ms / len(taken))
    return statistics.fmean(forced_ms)


def _add_calls(measure: Measure, events, callers: list[str]) -> None:
    asked = {}
    answered = {}
    for event in events:
        if event.get('id', '').rpartition('-')[0] in callers:
            known = asked if event['event'] == 'asked' else answered
            known[event['id']] = event
    good = [
        event
        for event in answered.values()
        if event['tries'][-1]['whole'] and event['tries'][-1]['right']
    ]
    measure.calls_ms = [
        event['at_ms'] - asked[event['id']]['at_ms'] for event in good
    ]
    measure.refused = sum(
        one['outcome'] == 'not-run'
        for event in answered.values()
        for one in event['tries']
    )
    if asked:
        begun_ms = min(event['at_ms'] for event in asked.values())
        ended_ms = max(event['at_ms'] for event in asked.values())
        measure.goodput = _compute_goodput(good, begun_ms, ended_ms)


def _compute_goodput(good, begun_ms: int, ended_ms: int) -> float:
    """Count good answers a second in the later half, when it is full."""
    half_ms = (begun_ms + ended_ms) // 2
    late = sum(half_ms < event['at_ms'] <= ended_ms for event in good)
    seconds = (ended_ms - half_ms) / 1000.0
    return late / seconds if seconds > 0 else 0.0


def select_scenarios(measures: list[Measure]) -> list[str]:
    """List the scenarios of some measures in their first order."""
    order = [plan.UNLOADED, plan.CALM]
    found = {m.scenario for m in measures}
    rest = sorted(found - set(order))
    return [name for name in order if name in found] + rest
