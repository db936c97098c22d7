"""The verdict of a run, drawn from the books of users and targets.

What the trainers took, what the callers were told and what the targets ran is
compared here; nothing that the system says of itself is read. All functions
are pure, from events to figures.
"""

import collections
import math

import msgspec

from auburnroad_e2e import book_types
from auburnroad_e2e import caller_books


class Figures(msgspec.Struct):
    """What a run comes to; the keys are those of the demo's last line."""

    steps: int = 0
    samples_wanted: int = 0
    samples_delivered: int = 0
    samples_lost: int = 0
    samples_duplicated: int = 0
    samples_too_stale: int = 0
    samples_misattributed: int = 0
    answers_cut_off: int = 0
    trainer_idle_ratio: float = 0.0
    staleness_mean: float = 0.0


def build_figures(books: book_types.Books) -> Figures:
    """Compare the books.

    Args:
      books: All books of one run.

    Returns:
      The figures.
    """
    figures = Figures()
    staleness = []
    for trainer in books.trainers:
        _count_samples(trainer, figures)
        staleness.extend(list_staleness(trainer))
    figures.samples_misattributed = len(
        find_misattributed(books.trainers, books.engine_runs)
    )
    figures.answers_cut_off = len(
        caller_books.find_cut_off(books.callers)
    ) + len(caller_books.find_unanswered(books.callers))
    figures.trainer_idle_ratio = round(compute_idle_ratio(books.trainers), 4)
    if staleness:
        mean = sum(staleness) / len(staleness)
        figures.staleness_mean = round(mean, 4)
    return figures


def list_problems(
    books: book_types.Books, excused: frozenset[str] = frozenset()
) -> list[str]:
    """List every promise that the books show to be broken.

    Args:
      books: All books of one run.
      excused: Addresses of entries that were killed on purpose, whose open
        connections could not but break.

    Returns:
      A text for each, naming the promise.
    """
    found = {
        'too few samples': _find_missing(books.trainers),
        'delivered twice': _find_duplicates(books.trainers),
        'too stale': _find_too_stale(books.trainers),
        'misattributed': find_misattributed(books.trainers, books.engine_runs),
        'not the same bytes': _find_different_bytes(books.trainers),
        'not sealed': find_unsealed(books),
        'cut off': caller_books.find_cut_off(books.callers, excused),
        'no answer': caller_books.find_unanswered(books.callers),
        'wrong answer': caller_books.find_wrong(books.callers),
        'run twice': caller_books.find_keys_run_twice(books.plain_runs),
        'refused but run': caller_books.find_refused_but_run(books),
    }
    return [
        f'{promise}: {text}'
        for promise, texts in found.items()
        for text in texts
    ]


def _find_missing(trainers) -> list[str]:
    return [
        f'{trainer.name}/{taken["step"]} lacks {missing}'
        for trainer in trainers
        for taken in trainer.select('taken')
        if (missing := _count_missing(trainer, taken))
    ]


def _find_duplicates(trainers) -> list[str]:
    found = []
    for trainer in trainers:
        seen = collections.Counter(
            _sample_key(sample)
            for taken in trainer.select('taken')
            for sample in taken['samples']
        )
        found.extend(
            f'{trainer.name}/{key}' for key, n in seen.items() if n > 1
        )
    return found


def _find_too_stale(trainers) -> list[str]:
    return [
        f'{trainer.name}: a sample is {age} versions old'
        for trainer in trainers
        for age in list_staleness(trainer)
        if age > trainer.staleness_bound
    ]


def find_unsealed(books: book_types.Books) -> list[str]:
    """Find steps whose bytes aren't those that the log service has sealed.

    Args:
      books: All books of one run.

    Returns:
      A text for each; none when the log's books can't be read.
    """
    if books.seals is None:
        return []
    known = {(s.trainer, s.step, s.generation, s.digest) for s in books.seals}
    return [
        f'{trainer.name}/{taken["step"]}'
        for trainer in books.trainers
        for taken in trainer.select('taken')
        if (
            trainer.name,
            taken['step'],
            taken['generation'],
            taken['digest'],
        )
        not in known
    ]


def find_cut_questions(
    trainers: list[book_types.TrainerBooks], excused: frozenset[str]
) -> list[str]:
    """Find questions of trainers whose connection broke.

    Args:
      trainers: Books of the trainers.
      excused: Addresses of entries that were killed on purpose.

    Returns:
      A text for each.
    """
    return [
        f'{trainer.name} at {event["entry"]}: {event["target"]}'
        for trainer in trainers
        for event in trainer.select('failed')
        if event['kind'] == 'BrokenError' and event['entry'] not in excused
    ]


def _find_different_bytes(trainers) -> list[str]:
    return [
        event['target']
        for trainer in trainers
        for event in trainer.select('asked-twice')
        if not event['same']
    ]


def _count_samples(trainer: book_types.TrainerBooks, figures: Figures) -> None:
    seen = collections.Counter()
    size = trainer.samples_per_group
    for taken in trainer.select('taken'):
        figures.steps += 1
        figures.samples_wanted += _count_submitted(trainer, taken) * size
        figures.samples_lost += _count_missing(trainer, taken)
        seen.update(_sample_key(sample) for sample in taken['samples'])
    figures.samples_delivered += len(seen)
    figures.samples_duplicated += sum(seen.values()) - len(seen)
    bound = trainer.staleness_bound
    late = [age for age in list_staleness(trainer) if age > bound]
    figures.samples_too_stale += len(late)


def _count_submitted(trainer: book_types.TrainerBooks, taken) -> int:
    """Count the groups that were submitted for a step that was taken."""
    key = (taken['step'], taken['generation'])
    return max(
        (
            len(event['groups'])
            for event in trainer.select('submitted')
            if (event['step'], event['generation']) == key
        ),
        default=0,
    )


def _count_missing(
    trainer: book_types.TrainerBooks, taken: book_types.Event
) -> int:
    """Count what a step lacks: whole groups, and samples of its groups."""
    size = trainer.samples_per_group
    groups = collections.Counter(
        (sample['step'], sample['group']) for sample in taken['samples']
    )
    missing = max(0, trainer.groups_wanted - len(groups)) * size
    return missing + sum(max(0, size - count) for count in groups.values())


def _sample_key(sample: book_types.Event) -> tuple[int, str, int]:
    return sample['step'], sample['group'], sample['index']


def list_staleness(trainer: book_types.TrainerBooks) -> list[int]:
    """List how many versions each sample was behind at hand-over.

    Args:
      trainer: The trainer's books.

    Returns:
      A number for each sample taken.
    """
    return [
        taken['version'] - min(span[0] for span in sample['spans'])
        for taken in trainer.select('taken')
        for sample in taken['samples']
        if sample['spans']
    ]


def find_misattributed(
    trainers: list[book_types.TrainerBooks], runs: list[book_types.EngineRun]
) -> list[str]:
    """Find samples whose text or versions are not what the engines did.

    Args:
      trainers: Books of the trainers.
      runs: Books of all engines.

    Returns:
      A text for each such sample.
    """
    index = index_spans(runs)
    found = []
    for trainer in trainers:
        for taken in trainer.select('taken'):
            for sample in taken['samples']:
                problem = _judge_sample(sample, index)
                if problem:
                    key = '/'.join(map(str, _sample_key(sample)))
                    found.append(f'{trainer.name}/{key}: {problem}')
    return found


def index_spans(
    runs: list[book_types.EngineRun],
) -> dict[str, list[book_types.Span]]:
    """Index what the engines did for each attempt.

    Args:
      runs: Books of all engines.

    Returns:
      Spans by request id.
    """
    index: dict[str, list[book_types.Span]] = {}
    for run in runs:
        index.setdefault(run.request_id, []).extend(run.spans)
    return index


def _judge_sample(sample: book_types.Event, index) -> str:
    if not sample['text_right']:
        return 'the text is not the answer to its prompt'
    if not sample['spans']:
        return 'no token has a version'
    produced = index.get(sample['request_id'], [])
    for version, start, end in sample['spans']:
        for token in range(start, end):
            known = {v for v, first, last in produced if first <= token < last}
            if version not in known:
                return (
                    f'token {token} of {sample["request_id"]} is said to be of'
                    f' version {version}, the engines say {sorted(known)}'
                )
    return ''


def compute_idle_ratio(trainers: list[book_types.TrainerBooks]) -> float:
    """Compute which part of the trainers' time went by in waiting.

    Args:
      trainers: Books of the trainers.

    Returns:
      Waiting time by the time from the first question to the last training.
    """
    idle = 0
    total = 0
    for trainer in trainers:
        taken = trainer.select('taken')
        if not taken:
            continue
        idle += sum(event['at_ms'] - event['asked_ms'] for event in taken)
        ends = [event['at_ms'] for event in trainer.select('trained')]
        total += max(ends, default=0) - taken[0]['asked_ms']
    return idle / total if total > 0 else 0.0


def compute_groups_wanted(groups: int, fraction: float) -> int:
    """Compute how many groups a step must hold.

    Args:
      groups: Groups that were submitted for it.
      fraction: Share that is waited for.

    Returns:
      The number of groups, at least 1.
    """
    return max(1, math.ceil(groups * fraction))
