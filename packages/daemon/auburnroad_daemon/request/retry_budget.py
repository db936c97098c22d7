"""Retry budget that bounds the load added by retries.

Each first attempt adds a fraction of a retry to the budget, and each retry
subtracts one. Under overload, where most attempts fail, the number of retries
is therefore limited to that fraction of the first attempts.
"""

MAX_BALANCE_RETRIES = 10.0


class RetryBudget:
    """Retry budget of one entry for one service and request class."""

    __slots__ = ('_balance', '_retries_per_request')

    def __init__(self, retries_per_request: float):
        self._retries_per_request = retries_per_request
        self._balance = MAX_BALANCE_RETRIES

    @property
    def balance(self) -> float:
        """Number of retries that are available now."""
        return self._balance

    def record_request(self) -> None:
        """Add the retry fraction that a first attempt earns."""
        self._balance = min(
            MAX_BALANCE_RETRIES, self._balance + self._retries_per_request
        )

    def spend(self) -> bool:
        """Subtract one retry from the budget if at least one is available.

        Returns:
          True if the retry is allowed, False if the budget is exhausted.
        """
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
