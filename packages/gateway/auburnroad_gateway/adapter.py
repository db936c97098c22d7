"""Interface that the gateway requires of the adapter to a platform.

The adapter translates between messages of the platform and the types of
auburnroad_gateway.model; it makes no decisions.
"""

import typing

from auburnroad_core.http import messages
from auburnroad_gateway.log import service
from auburnroad_gateway.model import batch
from auburnroad_gateway.model import call
from auburnroad_gateway.model import configuration
from auburnroad_gateway.model import registration


class InvalidMessageError(ValueError):
    """A message that can't be decoded; the error text states the cause."""


class Adapter(typing.Protocol):
    """Topic names, message formats and calls of one platform.

    Attributes:
      operator_topic: Keyed topic of the records of operators and trainers.
      replica_topic: Keyed topic of the registrations of replicas.
    """

    operator_topic: str
    replica_topic: str

    def open_log(self) -> service.LogService:
        """Open the log service at the address in the settings."""

    def decode_operator_record(
        self, record: service.KeyedRecord
    ) -> configuration.Configuration | tuple[str, int] | None:
        """Decode a record of an operator or a trainer.

        Returns:
          A configuration, or a model and its announced weight version; None
          for any other record.

        Raises:
          InvalidMessageError: The record can't be decoded.
        """

    def decode_registration(
        self, record: service.KeyedRecord
    ) -> registration.Registration:
        """Decode the registration of a replica.

        Raises:
          InvalidMessageError: The record is not a valid registration.
        """

    def decode_call(self, headers: dict[str, str]) -> call.CallHead:
        """Decode the head of a caller's request."""

    def build_attempt_headers(
        self,
        headers: dict[str, str],
        replica_id: str,
        remaining_ms: int | None,
        last_event_id: int | None,
        account: str | None,
    ) -> dict[str, str]:
        """Build the headers of one attempt at a replica.

        Any key and any name of an account in the given headers are dropped,
        unless the deployment has no accounts.

        Args:
          headers: Headers of the caller's request, or of the item.
          replica_id: Id of the replica.
          remaining_ms: Remaining time of the caller in milliseconds; None if
            not stated.
          last_event_id: Id of the event after which a stream is resumed; None
            for a new request.
          account: Name of the account that the replica is told; empty for a
            request without an account, None if the deployment has no accounts.
        """

    def has_version_condition(self, headers: dict[str, str]) -> bool:
        """Tell whether a request may run on one weight version only.

        Args:
          headers: Headers of an attempt at a replica.
        """

    def build_item_headers(
        self, item: batch.Item, host: str
    ) -> dict[str, str]:
        """Build the headers common to all attempts of an item."""

    def build_reward_headers(self, reward: call.RewardCall) -> dict[str, str]:
        """Build the headers common to all attempts of a reward call."""

    def decode_response_head(self, headers: dict[str, str]) -> call.AnswerHead:
        """Decode the head of a replica's answer."""

    def split_event_version(self, data: str) -> tuple[int | None, str]:
        """Split an event's data into a changed weight version and the rest.

        Returns:
          The new weight version (None if unchanged) and the remaining data.
        """

    def decode_submission(self, request: messages.Request) -> batch.Submission:
        """Decode a submitted batch.

        Raises:
          InvalidMessageError: The request isn't a valid submission.
        """

    def decode_batch_call(
        self, request: messages.Request
    ) -> call.BatchCall | None:
        """Decode a call on an existing batch; None for any other call."""

    def build_results_page(
        self,
        total: int,
        next_position: int,
        results: list[batch.PageEntry],
    ) -> messages.Response:
        """Build the answer to a read of results.

        Args:
          total: Number of items of the batch.
          next_position: Position at which the next read continues.
          results: Results of the page, in order.
        """

    def build_report_call(self) -> messages.Request:
        """Build the request for the state of a replica."""

    def decode_report(self, body: bytes) -> call.Report:
        """Decode the state of a replica.

        Raises:
          InvalidMessageError: The body isn't a valid state report.
        """

    def build_order_call(
        self, order: call.VersionOrder, replica_id: str
    ) -> messages.Request:
        """Build the request that sends an order to a replica."""

    def build_usage_call(
        self, window: int, counts: dict[str, int], holder: str, fence: int
    ) -> messages.Request:
        """Build the call that reports the usage in a window.

        Args:
          window: Number of the window.
          counts: Number of requests by name of account.
          holder: Name of the host that holds the duty.
          fence: Fencing token of the holder.
        """

    def build_scale_call(
        self,
        service: str,
        failure_domain: str,
        replicas: int,
        holder: str,
        fence: int,
    ) -> messages.Request:
        """Build the call that orders a number of replicas.

        Args:
          service: Name of the service.
          failure_domain: Failure domain of the replicas.
          replicas: Number of replicas of the service in the failure domain.
          holder: Name of the host that holds the duty.
          fence: Fencing token of the holder.
        """
