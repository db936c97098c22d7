"""Estimates the demand of models from the batches in the log.

The newest batch of each model stands for the next ones: trainers submit steps
of similar size and length.
"""

import typing

import msgspec

from auburnroad_gateway.batches import fold
from auburnroad_gateway.batches import owned_batches


class Demand(msgspec.Struct, frozen=True):
    """Demand of the models of one service.

    Attributes:
      work: Expected output tokens of the next batch by model; a model without
        a batch has the mean of the others. All are 1 if there is only one
        model or no batch of any.
      text_tokens: Mean expected output tokens of an item by model, only of
        models with a batch.
    """

    work: dict[str, float]
    text_tokens: dict[str, float] = {}


class Workload:
    """Work of the batches that a gateway runs, for decisions on weights."""

    __slots__ = ('_fold', '_owned')

    def __init__(
        self, batches: fold.Fold, owned: dict[str, owned_batches.OwnedBatch]
    ):
        """Describe the work.

        Args:
          batches: All batches in the log.
          owned: Batches that the gateway runs, by id; may change.
        """
        self._fold = batches
        self._owned = owned

    def estimate_demand(self, models: tuple[str, ...]) -> Demand:
        """Estimate the work and text lengths of the models of a service."""
        return estimate_demand(self._fold.batches.values(), models)

    def count_waiting_for_older(self, model: str, version: int) -> int:
        """Count the waiting items that also accept older weights.

        Args:
          model: Name of the model.
          version: Weight version.

        Returns:
          Number of items of the model that wait for a slot and accept a
          version below the given one.
        """
        return sum(
            len(owned.waiting)
            for owned in self._owned.values()
            if owned.state.submission.model == model
            and owned.state.submission.minimum_version < version
        )


def estimate_demand(
    states: typing.Iterable[fold.BatchState], models: tuple[str, ...]
) -> Demand:
    """Estimate the demand of the models of one service.

    Args:
      states: Batches in the order of their submission.
      models: Models of the service.
    """
    if len(models) <= 1:
        return Demand(dict.fromkeys(models, 1.0))
    newest = _find_newest_lengths(states, models)
    known = {model: float(sum(lengths)) for model, lengths in newest.items()}
    mean = sum(known.values()) / len(known) if known else 1.0
    return Demand(
        {model: known.get(model, mean) for model in models},
        {
            model: sum(lengths) / len(lengths)
            for model, lengths in newest.items()
        },
    )


def _find_newest_lengths(states, models) -> dict[str, list[int]]:
    """Find the expected lengths of the items of each model's newest batch."""
    known: dict[str, list[int]] = {}
    for state in reversed(list(states)):
        submission = state.submission
        if submission.model in models and submission.model not in known:
            known[submission.model] = [
                item.length_hint or 1 for item in submission.items
            ]
        if len(known) == len(models):
            break
    return known
