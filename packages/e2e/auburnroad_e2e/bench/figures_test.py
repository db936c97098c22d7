"""Tests of the figures that are drawn from the books."""

import unittest

from auburnroad_core.settings import deployment
from auburnroad_e2e.bench import figures
from auburnroad_e2e.bench import plan
from auburnroad_e2e.bench import session as sessions
from auburnroad_e2e import book_types

LOAD = plan.Load(train_ms=100, token_ms=1.0, batch_slowdown=0.0)


def _take(step: int, at_ms: int, asked_ms: int, version: int):
    sample = {'spans': [[0, 0, 24]], 'step': step, 'group': 'g', 'index': 0}
    return {
        'event': 'taken',
        'step': step,
        'at_ms': at_ms,
        'asked_ms': asked_ms,
        'version': version,
        'samples': [sample],
    }


def _build_outcome(scenario: str, events, outages=(), callers=()):
    phase = plan.Phase('row', scenario, deployment.Policies(), rate=0.0)
    trainer = book_types.TrainerBooks('t', 1, 100, 10, events)
    books = book_types.Books([trainer], list(callers), [], [])
    window = sessions.Window(
        phase, {'t': (0, len(events) - 1)}, list(outages), ['c']
    )
    session = plan.Session('routing', 'kiadasi', 1, [phase], LOAD)
    return sessions.Outcome(session, [window], books, [], 2, 10)


class StepsTest(unittest.TestCase):
    """Idle time is what lies between steps but for the training."""

    def test_idle_and_staleness(self):
        events = [_take(1, 0, 0, 0), _take(2, 1500, 200, 2)]
        outcome = _build_outcome('calm', events)
        measure = figures._measure(outcome, outcome.windows[0])
        self.assertEqual(measure.idle_ms, [1400])
        self.assertEqual(measure.staleness, 2)
        self.assertEqual(measure.stale, 1)
        # 24,000 tokens by two engines of 10 tokens a millisecond.
        self.assertEqual(measure.bound_ms, 1100)

    def test_an_outage_forces_waiting(self):
        events = [_take(1, 0, 0, 0), _take(2, 5000, 500, 0)]
        outcome = _build_outcome('log-outage', events, [(1000, 4000)])
        measure = figures._measure(outcome, outcome.windows[0])
        self.assertEqual(measure.bound_ms, 3000)


class CallsTest(unittest.TestCase):
    """Only right and whole answers count, from the first try on."""

    def test_latency_and_goodput(self):
        good = {'whole': True, 'right': True, 'outcome': 'run'}
        bad = {'whole': False, 'right': False, 'outcome': 'not-run'}
        callers = []
        for number, tries in enumerate(([good], [bad, good], [bad], [good])):
            one = {'id': f'c-{number}', 'at_ms': 1000 * number}
            callers.append({'event': 'asked', **one})
            one['at_ms'] += 300
            callers.append({'event': 'answered', **one, 'tries': tries})
        outcome = _build_outcome('burst', [_take(1, 0, 0, 0)], (), callers)
        outcome.windows[0].taken = {}
        measure = figures._measure(outcome, outcome.windows[0])
        self.assertEqual(measure.calls_ms, [300, 300, 300])
        self.assertEqual(measure.refused, 2)
        self.assertEqual(measure.goodput, 0.0)
