"""The configuration in force at a side; its revision only increases."""

from absl import logging

from auburnroad_core.log import configuration_fold
from auburnroad_core.settings import deployment
from auburnroad_core.wire import messages

NO_REVISION = -1


class SideConfiguration:
    """Holds the highest revision, as a document and as typed settings."""

    __slots__ = ('_revision', '_document', '_deployment')

    def __init__(self):
        self._revision = NO_REVISION
        self._document = b''
        self._deployment: deployment.Deployment | None = None

    @property
    def revision(self) -> int:
        """Highest applied revision, -1 for none."""
        return self._revision

    @property
    def deployment(self) -> deployment.Deployment | None:
        """The deployment in force, None before the first configuration."""
        return self._deployment

    def apply(self, message: messages.Configuration) -> bool:
        """Apply a configuration if its revision is higher.

        Args:
          message: A peer's configuration.

        Returns:
          True if the message put a new revision in force.
        """
        if message.revision <= self._revision:
            return False
        decoded = configuration_fold.parse_deployment(message.document)
        if decoded is None:
            logging.error('configuration %d is not valid', message.revision)
            return False
        self._revision = message.revision
        self._document = message.document
        self._deployment = decoded
        logging.info('configuration %d is in force', message.revision)
        return True

    def build_message(self) -> messages.Configuration:
        """Build the message with the configuration for a peer.

        Returns:
          The configuration in force.
        """
        return messages.Configuration(self._revision, self._document)
