"""Tests that all gateways fold the same records into the same state."""

import unittest
import zlib

import hypothesis
from hypothesis import strategies
import msgspec

from auburnroad_gateway.batches import fold
from auburnroad_gateway.batches import lineage
from auburnroad_gateway.batches import records
from auburnroad_gateway.model import batch
from auburnroad_gateway.model import registration

RECORD_BYTES = 2000


def build_submission(batch_id='b', items=3, account=''):
    return batch.Submission(
        batch_id,
        'h',
        '/p/',
        0,
        'm',
        1,
        1,
        [
            batch.Item(f'i{number}', '/p/x', {}, b'body', 10, 'g')
            for number in range(items)
        ],
        account,
    )


def rename_group(item, group):
    return msgspec.structs.replace(item, group=group)


def want_groups(submission, count):
    return msgspec.structs.replace(submission, groups_wanted=count)


def build_result(index, text='x', score=''):
    return batch.ItemResult(
        index,
        batch.Outcome.SUCCEEDED,
        records.pack_text(text),
        [1],
        score=score,
    )


def encode_submission(
    attempt='a1', owner='o1', record_bytes=RECORD_BYTES, account=''
):
    return records.build_submission_records(
        build_submission(account=account), attempt, owner, 0, record_bytes
    )


class FoldTest(unittest.TestCase):
    """A fold to which records are applied."""

    def setUp(self):
        self.fold = fold.Fold()
        self.offset = 0

    def apply(self, *encoded):
        for record in encoded:
            self.fold.apply(self.offset, record)
            self.offset += 1

    def submit(self):
        self.apply(*encode_submission())
        return self.fold.batches['b']

    def test_batch_exists_once_all_its_parts_are_read(self):
        parts = encode_submission(
            record_bytes=records.RECORD_OVERHEAD_BYTES + 20
        )
        self.assertGreater(len(parts), 2)
        self.apply(*parts[:-1])
        self.assertEqual({}, self.fold.batches)
        self.apply(parts[-1])
        self.assertEqual(build_submission(), self.fold.batches['b'].submission)

    def test_unreadable_submission_has_no_items(self):
        """Each look at the batches of all owners failed at it."""
        for data in (b'', b'x', zlib.compress(b'\x91' * 3000 + b'\x90')):
            part = records.SubmissionPart('odd', 'a', 0, 1, 'o', 1, data, 3)
            self.setUp()
            self.apply(records.encode(part))
            state = self.fold.batches['odd']
            self.assertEqual('', state.decode_submission().host)
            self.assertEqual([], state.submission.items)

    def test_record_of_an_item_that_does_not_exist_is_ignored(self):
        state = self.submit()
        for index in (-1, 3, 1 << 40):
            self.apply(
                records.encode(records.Results('b', [build_result(index)])),
                records.encode(
                    records.Progress('b', index, -1, 0, b'', [], 0)
                ),
            )
        self.assertEqual([], state.results)
        self.assertEqual({}, state.progress)

    def test_first_submission_of_a_batch_counts(self):
        self.submit()
        self.apply(*encode_submission('a2', 'o2'))
        self.assertEqual('o1', self.fold.batches['b'].owner)

    def test_first_result_of_an_item_counts(self):
        state = self.submit()
        for text in ('first', 'second'):
            self.apply(
                records.encode(records.Results('b', [build_result(0, text)]))
            )
        texts = [records.unpack_text(entry.text) for entry in state.results]
        self.assertEqual(['first'], texts)

    def test_claim_that_names_a_former_owner_is_ignored(self):
        state = self.submit()
        self.apply(records.encode(records.Claim('b', 'o2', 'o1')))
        self.apply(records.encode(records.Claim('b', 'o3', 'o1')))
        self.assertEqual('o2', state.owner)

    def test_result_after_the_end_is_ignored(self):
        state = self.submit()
        self.apply(records.encode(records.End('b')))
        self.apply(records.encode(records.Results('b', [build_result(0)])))
        self.assertEqual([], state.results)
        self.assertFalse(state.is_open)

    def save(self, piece, continues, after, last, **fields):
        """Save a piece of a text; pieces are named by writer and number."""
        values = {'versions': [1], 'failures': 0, **fields}
        record = records.Progress(
            'b',
            0,
            after,
            last,
            b'',
            piece=lineage.PieceId(*piece),
            continues=continues and lineage.PieceId(*continues),
            **values,
        )
        self.apply(records.encode(record))

    def test_only_consecutive_saved_texts_are_joined(self):
        state = self.submit()
        for piece, continues, after, last in (
            (('w', 0), None, -1, 4),
            (('w', 1), ('w', 0), 4, 7),
            (('v', 0), ('w', 0), 4, 9),
            (('v', 1), ('v', 0), 9, 12),
            (('w', 2), ('w', 1), 6, 8),
            (('w', 3), ('w', 1), 7, 8),
        ):
            self.save(piece, continues, after, last)
        self.assertEqual(
            [4, 7, 8], [part.last_event for part in state.progress[0]]
        )

    def test_saved_texts_of_two_releases_are_not_joined(self):
        """A former owner saves on while the next one has started anew."""
        state = self.submit()
        old, new = (registration.Release('s', name) for name in ('v1', 'v2'))
        for piece, continues, after, last, release in (
            (('w', 0), None, -1, 4, old),
            (('v', 0), None, -1, 4, new),
            (('w', 1), ('w', 0), 4, 7, old),
            (('v', 1), ('v', 0), 4, 8, new),
        ):
            self.save(piece, continues, after, last, release=release)
        self.assertEqual(
            [(4, new), (8, new)],
            [(part.last_event, part.release) for part in state.progress[0]],
        )

    def test_rest_of_a_text_of_other_versions_is_not_joined(self):
        """Guards against a result that names a version of a lost text.

        After a loss of all gateways several of them claimed a batch at once,
        and each saved a text of its own.
        """
        state = self.submit()
        for piece, continues, after, last, versions in (
            (('w', 0), None, -1, 0, [8]),
            (('v', 0), None, -1, 0, [7]),
            (('w', 1), ('w', 0), 0, 2, [7, 8]),
            (('v', 1), ('v', 0), 0, 1, [7]),
        ):
            self.save(piece, continues, after, last, versions=versions)
        self.assertEqual(
            [(0, [7]), (1, [7])],
            [(part.last_event, part.versions) for part in state.progress[0]],
        )

    def test_text_saved_after_the_complete_text_is_ignored(self):
        state = self.submit()
        whole = records.Progress('b', 0, -1, 5, b'', [1], 0, complete=True)
        for record in (
            whole,
            records.Progress('b', 0, -1, 3, b'', [1], 0),
            records.Progress('b', 0, 5, 6, b'', [1], 0),
        ):
            self.apply(records.encode(record))
        self.assertEqual([whole], state.progress[0])

    def test_undecodable_records_are_ignored(self):
        self.submit()
        self.apply(b'', b'\xff\x00', b'{"a": 1}')
        self.assertEqual(['b'], list(self.fold.batches))

    @hypothesis.settings(derandomize=True, max_examples=60)
    @hypothesis.given(
        strategies.lists(
            strategies.one_of(
                strategies.builds(
                    lambda index, text: records.Results(
                        'b', [build_result(index, text, f'score of {text}')]
                    ),
                    strategies.integers(0, 2),
                    strategies.sampled_from(['x', 'y']),
                ),
                strategies.builds(
                    lambda index, after, complete: records.Progress(
                        'b',
                        index,
                        after,
                        after + 2,
                        b'',
                        [1],
                        0,
                        None,
                        0,
                        complete,
                    ),
                    strategies.integers(0, 2),
                    strategies.sampled_from([-1, 1]),
                    strategies.booleans(),
                ),
                strategies.builds(
                    lambda owner, previous: records.Claim(
                        'b', owner, previous
                    ),
                    strategies.sampled_from(['o1', 'o2', 'o3']),
                    strategies.sampled_from(['o1', 'o2', 'o3']),
                ),
                strategies.just(records.End('b')),
            ),
            max_size=12,
        )
    )
    def test_positions_of_results_never_change(self, entries):
        """Results that a reader has received keep their positions.

        The text that a score was asked for is the one in the log, whichever
        texts of other owners follow.
        """
        subject = fold.Fold()
        for record in encode_submission():
            subject.apply(0, record)
        state = subject.batches['b']
        seen = []
        complete = {}
        for entry in entries:
            subject.apply(0, records.encode(entry))
            for index, saved in state.progress.items():
                if index in complete:
                    self.assertEqual(complete[index], saved)
                elif saved and saved[-1].complete:
                    complete[index] = list(saved)
            self.assertEqual(seen, state.results[: len(seen)])
            seen = list(state.results)
        for result in seen:
            text = records.unpack_text(result.text)
            self.assertEqual(f'score of {text}', result.score)
        indexes = [result.index for result in seen]
        self.assertEqual(len(set(indexes)), len(indexes))
