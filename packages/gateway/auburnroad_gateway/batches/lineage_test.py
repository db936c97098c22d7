"""Tests that a text in the log is one chain of runs, whoever saved it.

Guards against a text that is joined from the runs of two gateways that both
believed to own its batch. Each generated event has a token of its own here,
and remembers the token that it was generated after.
"""

import itertools
import unittest

import hypothesis
from hypothesis import strategies

from auburnroad_gateway.batches import fold
from auburnroad_gateway.batches import fold_test
from auburnroad_gateway.batches import lineage
from auburnroad_gateway.batches import owned_batches
from auburnroad_gateway.batches import records
from auburnroad_gateway.batches import run as runs


class Writer:
    """A gateway that generates and saves the text of one item."""

    def __init__(self, log, name):
        self._log = log
        self._name = name
        self._starts = 0
        self.restart()

    def restart(self):
        """Lose all memory and what was not appended yet."""
        self._starts += 1
        self.incarnation = f'{self._name}{self._starts}'
        self._pieces = lineage.PieceCounter(self.incarnation)
        self.run = runs.ItemRun(self._log.item, 0)
        self._queue = []
        self._last = b''

    def load(self):
        """Go on after the text in the log, as an owner that takes over."""
        self.run = owned_batches.build_run(self._log.state, self._log.item, 0)

    def generate(self, count=1):
        for _ in range(count):
            token = f't{len(self._log.parents)}'
            text = self.run.text
            self._log.parents[token] = text.split('\n')[-1] if text else ''
            self.run.texts.append(token)
            self.run.last_event = owned_batches.count_events(self.run)

    def save(self):
        self._queue.append(
            records.encode(
                owned_batches.checkpoint_run(
                    'b', self.run, self._pieces.build_next()
                )
            )
        )

    def flush(self):
        """Append what was saved first."""
        if self._queue:
            self._last = self._queue.pop(0)
            self._log.append(self._last)

    def repeat(self):
        """Append the last record again, as after a lost answer."""
        if self._last:
            self._log.append(self._last)

    def claim(self):
        self._log.append(
            records.encode(
                records.Claim('b', self.incarnation, self._log.state.owner)
            )
        )

    def write(self, count=1):
        """Generate events, and save them in the log."""
        self.generate(count)
        self.save()
        self.flush()


class Log:
    """A log with one batch, and what each event was generated after."""

    def __init__(self):
        self._fold = fold.Fold()
        self._offset = 0
        self.parents = {}
        for record in fold_test.encode_submission(owner='owner1'):
            self.append(record)
        self.item = self.state.submission.items[0]

    @property
    def state(self):
        return self._fold.batches['b']

    @property
    def tokens(self):
        """Tokens of the saved text, in order."""
        run = owned_batches.build_run(self.state, self.item, 0)
        return run.text.split('\n') if run.text else []

    def append(self, record):
        self._fold.apply(self._offset, record)
        self._offset += 1

    def find_breaks(self):
        """List the tokens that were not generated after the one before."""
        tokens = self.tokens
        return [
            token
            for previous, token in zip(['', *tokens], tokens, strict=False)
            if self.parents[token] != previous
        ]


class ChainTest(unittest.TestCase):
    """An owner and another gateway save texts of one item."""

    def setUp(self):
        self.log = Log()
        self.owner = Writer(self.log, 'owner')
        self.other = Writer(self.log, 'other')

    def test_rest_is_not_joined_to_the_beginning_of_another_run(self):
        """Events met, and versions and software were the same."""
        self.other.write(5)
        self.owner.write(5)
        self.other.write(3)
        self.assertEqual(self.owner.run.texts, self.log.tokens)

    def test_owner_replaces_the_text_of_another_gateway(self):
        self.other.write(5)
        self.owner.write(2)
        self.assertEqual(self.owner.run.texts, self.log.tokens)

    def test_text_of_another_gateway_does_not_replace_the_owners(self):
        """A woken former owner took the text that the owner saves away."""
        self.owner.write(2)
        self.other.write(9)
        self.owner.write(2)
        self.assertEqual(self.owner.run.texts, self.log.tokens)

    def test_next_owner_resumes_the_text_of_the_former_one(self):
        self.owner.write(3)
        self.other.claim()
        self.other.load()
        self.other.write(2)
        self.assertEqual(5, len(self.log.tokens))
        self.assertEqual([], self.log.find_breaks())

    def test_owners_text_replaces_a_rest_that_was_saved_late(self):
        """Nothing that the owner saved afterwards was in the log."""
        self.owner.write(3)
        self.other.claim()
        self.other.load()
        self.owner.write(2)
        self.other.write(4)
        self.other.write(1)
        self.assertEqual(8, len(self.log.tokens))
        self.assertEqual([], self.log.find_breaks())

    def test_repeated_append_changes_nothing(self):
        self.owner.write(2)
        self.owner.repeat()
        self.owner.write(2)
        self.owner.repeat()
        self.assertEqual(self.owner.run.texts, self.log.tokens)

    def test_text_of_a_gateway_without_ids_is_saved_anew(self):
        """Gateways of two versions run side by side during an upgrade."""
        text = records.pack_text('t0')
        self.log.parents['t0'] = ''
        for after, last in ((-1, 0), (0, 1)):
            self.log.append(
                records.encode(
                    records.Progress('b', 0, after, last, text, [1], 0)
                )
            )
        self.assertEqual(['t0'], self.log.tokens)
        self.owner.load()
        self.owner.write(2)
        self.owner.write(1)
        self.assertEqual(4, len(self.log.tokens))
        self.assertEqual([], self.log.find_breaks())

    def test_gateway_without_ids_reads_pieces(self):
        """Fields that an older gateway doesn't know follow those it knows."""
        self.owner.generate()
        piece = lineage.PieceId('w', 0)
        record = owned_batches.checkpoint_run('b', self.owner.run, piece)
        self.assertEqual(
            ('piece', 'continues', 'further_locations'),
            record.__struct_fields__[-3:],
        )


class AllOrdersTest(unittest.TestCase):
    """Two gateways with three saves each, in each order of their records."""

    def test_no_order_joins_two_runs(self):
        count = 0
        for order in set(itertools.permutations('aaabbb')):
            for owner, load_at in itertools.product(('a', 'b'), range(7)):
                count += 1
                with self.subTest(order=order, owner=owner, load_at=load_at):
                    self.play(order, owner, load_at)
        self.assertEqual(20 * 2 * 7, count)

    def play(self, order, owner, load_at):
        log = Log()
        writers = {name: Writer(log, name) for name in 'ab'}
        writers[owner].claim()
        for number, name in enumerate(order):
            if number == load_at:
                writers['b'].load()
            writers[name].write(2)
            self.assertEqual([], log.find_breaks())


class AnyOrderTest(unittest.TestCase):
    """Three gateways whose saves, claims and restarts come in any order."""

    @hypothesis.settings(derandomize=True, max_examples=200)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 2),
                strategies.sampled_from(
                    (
                        'generate',
                        'save',
                        'flush',
                        'repeat',
                        'write',
                        'claim',
                        'load',
                        'restart',
                    )
                ),
            ),
            max_size=40,
        )
    )
    def test_saved_text_is_one_chain(self, steps):
        log = Log()
        writers = [Writer(log, name) for name in ('owner', 'b', 'c')]
        for number, step in steps:
            getattr(writers[number], step)()
            self.assertEqual([], log.find_breaks())
