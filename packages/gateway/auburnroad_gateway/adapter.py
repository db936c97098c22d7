"""What the gateway needs from the adapter of the platform that it runs on.

The adapter translates between messages of the platform and the types of
auburnroad_gateway.model; it decides nothing.
"""

import typing

from auburnroad_core.http import messages
from auburnroad_gateway.log import service
from auburnroad_gateway.model import batch
from auburnroad_gateway.model import call
from auburnroad_gateway.model import configuration
from auburnroad_gateway.model import registration


class InvalidMessageError(ValueError):
    """A message that can't be decoded; the text says what is wrong."""


class Adapter(typing.Protocol):
    """Names, formats and calls of one platform.

    Attributes:
      operator_topic: Keyed topic that operators and trainers write to.
      replica_topic: Keyed topic of the replicas' registrations.
    """

    operator_topic: str
    replica_topic: str

    def open_log(self) -> service.LogService:
        """Open the log service that the settings name."""

    def decode_operator_record(
        self, record: service.KeyedRecord
    ) -> configuration.Configuration | tuple[str, int] | None:
        """Decode a configuration, or a model and its named version.

        Returns:
          None for a record that is neither.

        Raises:
          InvalidMessageError: If its bytes can't be read.
        """

    def decode_registration(
        self, record: service.KeyedRecord
    ) -> registration.Registration | None:
        """Decode a replica's entry; None if it names no replica to use."""

    def decode_call(self, headers: dict[str, str]) -> call.CallHead:
        """Decode the head of a caller's request."""

    def build_attempt_headers(
        self,
        headers: dict[str, str],
        replica_id: str,
        patience_ms: int | None,
        last_event_id: int | None,
    ) -> dict[str, str]:
        """Build the headers for one attempt at a replica."""

    def build_item_headers(
        self, item: batch.Item, host: str
    ) -> dict[str, str]:
        """Build the headers that every attempt of an item has."""

    def decode_answer(self, headers: dict[str, str]) -> call.AnswerHead:
        """Decode the head of a replica's answer."""

    def split_event_version(self, data: str) -> tuple[int | None, str]:
        """Split a changed weight version from an event's data."""

    def decode_submission(self, request: messages.Request) -> batch.Submission:
        """Decode a submitted batch.

        Raises:
          InvalidMessageError: If it isn't one.
        """

    def decode_batch_call(
        self, request: messages.Request
    ) -> call.BatchCall | None:
        """Decode a call on an existing batch; None if it is another call."""

    def build_results_page(
        self,
        total: int,
        next_position: int,
        results: list[tuple[str, str, str, list[int]]],
    ) -> messages.Response:
        """Build the answer to a read from id, outcome, text and versions."""

    def build_report_call(self) -> messages.Request:
        """Build the call that asks a replica for its state."""

    def decode_report(self, body: bytes) -> call.Report:
        """Decode a replica's state.

        Raises:
          InvalidMessageError: If it isn't one.
        """

    def build_order_call(
        self, order: call.VersionOrder, replica_id: str
    ) -> messages.Request:
        """Build the call that gives an order to a replica."""
