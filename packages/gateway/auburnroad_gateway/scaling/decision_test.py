"""Tests the numbers of replicas that are ordered under patterns of load.

Guards against work that is late because replicas were ordered too late, not
evenly or outside of their bounds, against orders repeated while their effect
is outstanding, and against paying for replicas long after a wave of work.
"""

import unittest

import hypothesis
from hypothesis import strategies

from auburnroad_gateway.model import configuration
from auburnroad_gateway.scaling import decision

SLOTS = 4
BOOT_SECONDS = 6.0
SCALING = configuration.Scaling(1, 6, int(BOOT_SECONDS * 1000))
# Twice the start time; longer than the minimum.
HOLD_SECONDS = 2 * BOOT_SECONDS


def build_inputs(ready, texts=None, scaling=SCALING, **fields):
    """Build inputs from the numbers of ready replicas by failure domain."""
    texts = texts or {}
    return decision.ServiceInputs(
        's',
        scaling,
        {
            name: decision.DomainInputs(
                count, count * SLOTS, texts.get(name, 0)
            )
            for name, count in ready.items()
        },
        **fields,
    )


def build_work(count, seconds, due_at):
    return (decision.Work(due_at, seconds),) * count


class Simulation:
    """A platform that carries out orders after a delay.

    Attributes:
      ready: Ready replicas by failure domain.
      ordered: All orders with their times.
      now: Time in seconds.
    """

    def __init__(self, ready, delay=BOOT_SECONDS, lost=()):
        self.ready = dict(ready)
        self.ordered = []
        self.now = 100.0
        self.state = decision.ServiceState(self.now - BOOT_SECONDS)
        self._delay = delay
        self._lost = lost
        self._effects = []

    def run(self, seconds, **fields):
        """Decide once a second; return the orders as (domain, count)."""
        orders = []
        for _ in range(seconds):
            orders += self.step(**fields)
            self.now += 1
        return orders

    def step(self, **fields):
        for effect in [one for one in self._effects if one[0] <= self.now]:
            self._effects.remove(effect)
            if effect[1].domain not in self._lost:
                self.ready[effect[1].domain] = effect[1].count
        orders = decision.decide(
            build_inputs(self.ready, **fields), self.state, self.now
        )
        for order in orders:
            self.ordered.append((self.now, order))
            self._effects.append((self.now + self._delay, order))
        return [(order.domain, order.count) for order in orders]


class WaveTest(unittest.TestCase):
    """A wave of batches with known due times."""

    def test_wave_orders_replicas_at_once_and_evenly(self):
        subject = Simulation({'a': 1, 'b': 1})
        # 64 s of work in 8 s take 8 slots, with the margin 9.6.
        work = build_work(32, 2.0, subject.now + 8)
        self.assertEqual([('a', 2)], subject.step(work=work))
        work = build_work(64, 2.0, subject.now + 8)
        self.assertEqual([('a', 3), ('b', 2)], subject.step(work=work))

    def test_work_that_fits_orders_nothing(self):
        subject = Simulation({'a': 2, 'b': 2})
        # 12 slots, with the margin 14.4 of 16, as the work is done.
        for left in range(48, 12, -6):
            work = build_work(left, 2.0, 108.0)
            self.assertEqual([], subject.run(1, work=work))

    def test_earlier_due_time_decides(self):
        subject = Simulation({'a': 1, 'b': 1})
        later = build_work(16, 2.0, subject.now + 30)
        soon = build_work(48, 2.0, subject.now + 6)
        self.assertEqual([('a', 3), ('b', 2)], subject.step(work=later + soon))

    def test_item_that_is_late_takes_one_slot_only(self):
        subject = Simulation({'a': 1, 'b': 1})
        work = build_work(2, 500.0, subject.now - 30)
        self.assertEqual([], subject.run(5, work=work))

    def test_overdue_backlog_is_to_be_done_within_one_step(self):
        subject = Simulation({'a': 1, 'b': 1})
        # 80 s of work in 4 s take 20 slots, with the margin 24.
        work = build_work(40, 2.0, subject.now - 1)
        self.assertEqual([('a', 3), ('b', 3)], subject.step(work=work))

    def test_wave_that_passes_is_followed_after_the_hold(self):
        subject = Simulation({'a': 1, 'b': 1})
        work = build_work(128, 2.0, subject.now + 8)
        self.assertEqual([('a', 5), ('b', 5)], subject.step(work=work))
        passed_at = subject.now + 1
        subject.now = passed_at
        subject.run(40)
        lowered = subject.ordered[2:]
        self.assertEqual(
            [('b', 1), ('a', 1)],
            [(order.domain, order.count) for _, order in lowered],
        )
        first, second = (at for at, _ in lowered)
        self.assertEqual(passed_at + HOLD_SECONDS, first)
        # One failure domain at a time.
        self.assertGreaterEqual(second, first + BOOT_SECONDS)
        self.assertEqual({'a': 1, 'b': 1}, subject.ready)

    def test_next_wave_within_the_hold_keeps_the_replicas(self):
        subject = Simulation({'a': 1, 'b': 1})
        for _ in range(6):
            work = build_work(128, 2.0, subject.now + 8)
            subject.run(1, work=work)
            subject.run(int(HOLD_SECONDS) - 2)
        self.assertEqual(2, len(subject.ordered))
        self.assertEqual({'a': 5, 'b': 5}, subject.ready)

    def test_highest_number_of_the_hold_stays(self):
        subject = Simulation({'a': 5, 'b': 5})
        subject.run(4)
        subject.run(2, work=build_work(48, 2.0, subject.now + 8))
        orders = subject.run(16)
        self.assertEqual([('b', 2), ('a', 3)], orders[:2])


class FlowTest(unittest.TestCase):
    """Batches that follow each other, of which only the present ones show.

    Guards against replicas that are ended between two batches and against
    ones that are kept as each new batch begins with all slots in use.
    """

    def play(self, ready, running):
        """Play 40 s; a batch every 4 s uses all slots for a time."""
        subject = Simulation(ready)
        for second in range(40):
            slots = SLOTS * sum(subject.ready.values())
            used = running if second % 4 else slots
            share = -(-used // len(ready))
            work = build_work(used, 0.5, subject.now + 8)
            subject.run(1, work=work, texts={name: share for name in ready})
        return subject

    def test_mean_use_keeps_the_replicas(self):
        # On average 22 of 24 slots; the items in sight take 6 with margin.
        subject = self.play({'a': 3, 'b': 3}, 22)
        self.assertEqual([], subject.ordered)

    def test_full_slots_at_times_do_not_prolong_the_hold(self):
        # On average 9 of 24 slots, with the margin 10.8: 3 replicas.
        subject = self.play({'a': 3, 'b': 3}, 4)
        # When the hold time has passed, a batch uses all slots for 1 s more.
        self.assertEqual(100 + HOLD_SECONDS + 1, subject.ordered[0][0])
        self.assertEqual(3, sum(subject.ready.values()))


class PlainLoadTest(unittest.TestCase):
    """Single requests, which have no due time."""

    def test_load_and_waiting_callers_order_replicas(self):
        subject = Simulation({'a': 1, 'b': 1})
        orders = subject.step(plain_load=1.0, waiting_callers=6)
        # 14 slots, with the margin 16.8.
        self.assertEqual([('a', 3), ('b', 2)], orders)

    def test_service_without_replicas_gets_one_for_a_caller(self):
        scaling = configuration.Scaling(0, 4, 6000)
        subject = Simulation({'a': 0, 'b': 0})
        orders = subject.step(scaling=scaling, waiting_callers=9)
        self.assertEqual([('a', 1)], orders)

    def test_idle_service_without_minimum_gets_none(self):
        scaling = configuration.Scaling(0, 4, 6000)
        subject = Simulation({'a': 0, 'b': 0})
        self.assertEqual([], subject.run(30, scaling=scaling))


class LostReplicaTest(unittest.TestCase):
    """Replicas that end, and orders whose effect is late or missing."""

    def test_late_effect_is_not_ordered_again(self):
        subject = Simulation({'a': 1, 'b': 1}, delay=2 * BOOT_SECONDS - 1)
        load = {'plain_load': 1.0, 'waiting_callers': 8}
        self.assertEqual([('a', 3), ('b', 2)], subject.run(11, **load))

    def test_missing_effect_is_ordered_again_after_twice_the_start(self):
        subject = Simulation({'a': 1, 'b': 1}, lost=('a', 'b'))
        load = {'waiting_callers': 9}
        orders = subject.run(int(2 * BOOT_SECONDS), **load)
        self.assertEqual([('a', 2)], orders)
        # The other failure domain is to provide it as well.
        orders = subject.run(int(2 * BOOT_SECONDS), **load)
        self.assertEqual([('a', 2), ('b', 2)], orders)

    def test_lost_replica_is_ordered_at_once(self):
        subject = Simulation({'a': 2, 'b': 2})
        load = {'waiting_callers': 13}
        self.assertEqual([], subject.run(3, **load))
        subject.ready['b'] = 1
        self.assertEqual([('b', 2)], subject.run(8, **load))
        self.assertEqual({'a': 2, 'b': 2}, subject.ready)

    def test_domain_lost_for_good_is_replaced_by_the_others(self):
        subject = Simulation({'a': 2, 'b': 2, 'c': 2}, lost=('c',))
        subject.ready['c'] = 0
        running = {'waiting_callers': 20}
        first = subject.run(int(2 * BOOT_SECONDS), **running)
        self.assertEqual([('c', 2)], first)
        after = subject.run(int(BOOT_SECONDS) + 1, **running)
        self.assertEqual([('a', 3), ('b', 3), ('c', 2)], sorted(after))
        # The others keep what the lost one does not provide.
        later = subject.run(60, **running)
        self.assertEqual({('c', 2)}, set(later))
        self.assertEqual({'a': 3, 'b': 3, 'c': 0}, subject.ready)

    def test_order_made_in_vain_is_withdrawn(self):
        subject = Simulation({'a': 1, 'b': 1}, lost=('b',))
        subject.run(30, waiting_callers=20)
        subject.run(60)
        last = [one for _, one in subject.ordered if one.domain == 'b'][-1]
        self.assertEqual(1, last.count)


class BoundsTest(unittest.TestCase):
    """Bounds of the configuration and of running texts."""

    def test_flood_orders_no_more_than_the_maximum(self):
        subject = Simulation({'a': 1, 'b': 1})
        orders = subject.step(waiting_callers=10_000)
        self.assertEqual([('a', 6), ('b', 6)], orders)

    def test_idle_service_is_ordered_its_minimum(self):
        subject = Simulation({'a': 1, 'b': 0})
        self.assertEqual([('b', 1)], subject.run(20))

    def test_running_texts_keep_their_replicas(self):
        subject = Simulation({'a': 4, 'b': 1})
        orders = subject.run(14, texts={'a': 2 * SLOTS + 1})
        self.assertEqual([('a', 3)], orders)

    def test_running_texts_keep_their_replicas_in_an_order_of_more(self):
        """Replicas that an earlier order ends may have got texts since."""
        subject = Simulation({'a': 6})
        self.assertEqual([('a', 1)], subject.run(int(HOLD_SECONDS) + 1))
        # 4 slots, with the margin two replicas; the texts run on four.
        work = build_work(16, 1.0, subject.now + 4)
        orders = subject.step(work=work, texts={'a': 4 * SLOTS})
        self.assertEqual([('a', 4)], orders)

    def test_running_texts_order_no_more_than_a_lower_maximum(self):
        subject = Simulation({'a': 6})
        lower = configuration.Scaling(1, 3, SCALING.boot_ms)
        fields = {'scaling': lower, 'texts': {'a': 4 * SLOTS}}
        self.assertEqual([], subject.run(2 * int(HOLD_SECONDS), **fields))
        fields['texts'] = {'a': 3 * SLOTS}
        self.assertEqual([('a', 3)], subject.step(**fields))

    def test_domain_with_few_replicas_is_filled_before_others_shrink(self):
        subject = Simulation({'a': 1, 'b': 5})
        # With the margin 22.8 slots: three replicas each.
        orders = subject.run(14, waiting_callers=19)
        self.assertEqual([('a', 3), ('b', 3)], orders)
        first, second = (at for at, _ in subject.ordered)
        self.assertEqual(first + HOLD_SECONDS, second)

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 9),
                strategies.integers(0, 9),
                strategies.integers(0, 200),
                strategies.floats(-20, 60),
                strategies.integers(0, 40),
            ),
            max_size=40,
        )
    )
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_orders_stay_within_bounds(self, steps):
        state = decision.ServiceState(0.0)
        for now, (a, b, items, left, texts) in enumerate(steps):
            inputs = build_inputs(
                {'a': a, 'b': b},
                texts={'a': min(texts, a * SLOTS)},
                work=build_work(items, 1.5, now + left),
            )
            for order in decision.decide(inputs, state, float(now)):
                self.assertLessEqual(SCALING.minimum, order.count)
                self.assertLessEqual(order.count, SCALING.maximum)


class NewHolderTest(unittest.TestCase):
    """A gateway that has just taken the duty over."""

    def setUp(self):
        self.state = decision.ServiceState(100.0)

    def decide(self, now, **fields):
        inputs = build_inputs({'a': 1, 'b': 1}, **fields)
        return [
            (order.domain, order.count)
            for order in decision.decide(inputs, self.state, now)
        ]

    def test_new_holder_orders_nothing_during_one_start_time(self):
        load = {'waiting_callers': 20}
        self.assertEqual([], self.decide(100.0, **load))
        self.assertEqual([], self.decide(105.9, **load))
        self.assertEqual([('a', 3), ('b', 3)], self.decide(106.0, **load))

    def test_new_holder_orders_for_work_that_would_be_late(self):
        work = build_work(64, 2.0, 108.0)
        self.assertEqual([('a', 3), ('b', 2)], self.decide(100.0, work=work))

    def test_new_holder_lowers_only_after_the_hold(self):
        inputs = build_inputs({'a': 3, 'b': 3})
        orders = [
            (now, order.domain)
            for now in range(100, 125)
            for order in decision.decide(inputs, self.state, float(now))
        ]
        self.assertEqual((106 + int(HOLD_SECONDS), 'b'), orders[0])
