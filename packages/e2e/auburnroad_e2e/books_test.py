"""Tests of the verdict: each broken promise is seen in the books."""

import unittest

from auburnroad_e2e import book_types
from auburnroad_e2e import books
from auburnroad_e2e import caller_books


def build_sample(index=0, version=3, **changes):
    return {
        'step': 1,
        'group': 'g0',
        'index': index,
        'spans': [[version, 0, 4]],
        'request_id': f'r{index}',
        'text_right': True,
        **changes,
    }


def build_books(samples, version=4, runs=None, callers=(), plain=()):
    taken = {
        'event': 'taken',
        'step': 1,
        'generation': 0,
        'digest': 'd',
        'version': version,
        'asked_ms': 100,
        'at_ms': 300,
        'samples': samples,
    }
    submitted = {
        'event': 'submitted',
        'step': 1,
        'generation': 0,
        'groups': ['g0'],
    }
    trained = {'event': 'trained', 'at_ms': 500}
    events = [submitted, taken, trained]
    trainer = book_types.TrainerBooks('t', 2, 1, 2, events)
    if runs is None:
        runs = [
            book_types.EngineRun(s['request_id'], 'e', s['spans'])
            for s in samples
        ]
    return book_types.Books([trainer], list(callers), runs, list(plain))


def build_call(tries, key=''):
    defaults = {'began': False, 'whole': False, 'right': False, 'code': ''}
    named = {'entry': 'e', 'request_id': 'r', 'outcome': 'run'}
    tries = [{**defaults, **named, **one} for one in tries]
    return {'event': 'answered', 'id': 'c', 'key': key, 'tries': tries}


class BuildFiguresTest(unittest.TestCase):
    """Samples of a trainer against the engines' books."""

    def test_a_whole_step_is_clean(self):
        figures = books.build_figures(
            build_books([build_sample(0), build_sample(1)])
        )
        self.assertEqual(
            books.Figures(
                steps=1,
                samples_wanted=2,
                samples_delivered=2,
                trainer_idle_ratio=0.5,
                staleness_mean=1.0,
            ),
            figures,
        )

    def test_a_missing_sample_and_a_missing_group_are_lost(self):
        one = books.build_figures(build_books([build_sample(0)]))
        none = books.build_figures(build_books([]))
        self.assertEqual((1, 2), (one.samples_lost, none.samples_lost))

    def test_a_sample_that_comes_twice_is_a_duplicate(self):
        figures = books.build_figures(
            build_books([build_sample(0), build_sample(0)])
        )
        self.assertEqual(1, figures.samples_duplicated)

    def test_one_old_token_makes_a_sample_too_stale(self):
        old = build_sample(1, spans=[[1, 0, 1], [4, 1, 4]])
        figures = books.build_figures(build_books([build_sample(0), old]))
        self.assertEqual(1, figures.samples_too_stale)

    def test_versions_and_text_must_be_the_engines(self):
        runs = [
            book_types.EngineRun('r0', 'e', [(3, 0, 4)]),
            book_types.EngineRun('r1', 'e', [(3, 0, 2), (4, 2, 4)]),
        ]
        right = [build_sample(0), build_sample(1, spans=runs[1].spans)]
        self.assertEqual(
            0,
            books.build_figures(
                build_books(right, runs=runs)
            ).samples_misattributed,
        )
        wrong = [build_sample(0, text_right=False), build_sample(1)]
        self.assertEqual(
            2,
            books.build_figures(
                build_books(wrong, runs=runs)
            ).samples_misattributed,
        )

    def test_a_step_must_be_sealed_as_it_was_taken(self):
        taken = build_books([build_sample(0)])
        for digest, found in (('d', 0), ('other', 1)):
            taken.seals = [book_types.Seal('t', 1, 0, digest)]
            self.assertEqual(found, len(books.find_unsealed(taken)))


class CallersTest(unittest.TestCase):
    """Requests of callers against the targets' books."""

    def test_a_part_of_an_answer_and_a_broken_connection_are_cut_off(self):
        callers = [
            build_call([{'began': True, 'whole': False}]),
            build_call([{'outcome': 'broken', 'entry': 'killed'}]),
        ]
        self.assertEqual(2, len(caller_books.find_cut_off(callers)))
        excused = frozenset(['killed'])
        self.assertEqual(1, len(caller_books.find_cut_off(callers, excused)))

    def test_a_request_without_an_answer_is_found(self):
        waits = {'event': 'asked', 'id': 'x'}
        asked = {'event': 'asked', 'id': 'c'}
        gave_up = build_call([{'outcome': 'run'}, {'outcome': 'given-up'}])
        had_one = build_call([{'outcome': 'given-up'}, {'outcome': 'run'}])
        for events, found in (
            ([waits], 1),
            ([asked, gave_up], 1),
            ([asked, had_one], 0),
        ):
            self.assertEqual(found, len(caller_books.find_unanswered(events)))

    def test_a_refused_request_that_was_run_is_found(self):
        refused = [{'outcome': 'not-run'}]
        for call, run in (
            (build_call(refused), book_types.PlainRun('', 'r')),
            (build_call(refused, 'k'), book_types.PlainRun('k', 'other')),
        ):
            found = caller_books.find_refused_but_run(
                build_books([], callers=[call], plain=[run])
            )
            self.assertEqual(1, len(found))

    def test_a_key_may_run_under_a_later_try(self):
        call = build_call(
            [{'outcome': 'not-run', 'request_id': 'r1'}, {'outcome': 'run'}],
            'k',
        )
        found = caller_books.find_refused_but_run(
            build_books(
                [], callers=[call], plain=[book_types.PlainRun('k', 'r')]
            )
        )
        self.assertEqual([], found)

    def test_a_key_that_ran_twice_is_found(self):
        runs = [book_types.PlainRun('k', 'a'), book_types.PlainRun('k', 'b')]
        self.assertEqual(['k'], caller_books.find_keys_run_twice(runs))

    def test_an_answer_to_another_request_is_found(self):
        call = build_call([{'began': True, 'whole': True, 'right': False}])
        self.assertEqual(1, len(caller_books.find_wrong([call])))
