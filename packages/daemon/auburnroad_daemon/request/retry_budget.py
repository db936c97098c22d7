"""A budget of retries that shrinks when retries do not help.

Every first attempt earns a fraction of a retry, and every retry spends one.
Under overload, where most attempts fail, retries are thus at most that
fraction of the first attempts, and the load that they add stays bounded.
"""

RESERVE_RETRIES = 10.0


class RetryBudget:
    """Retries that one entry may still make for one service."""

    __slots__ = ('_balance', '_earned_by_request')

    def __init__(self, earned_by_request: float):
        self._earned_by_request = earned_by_request
        self._balance = RESERVE_RETRIES

    @property
    def balance(self) -> float:
        """Retries that may be made now."""
        return self._balance

    def record_request(self) -> None:
        """Earn for a first attempt."""
        self._balance = min(
            RESERVE_RETRIES, self._balance + self._earned_by_request
        )

    def spend(self) -> bool:
        """Take one retry from the budget.

        Returns:
          False when there is none left.
        """
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
