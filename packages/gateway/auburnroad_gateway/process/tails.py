"""The tails of the keyed topics that each gateway follows."""

from auburnroad_gateway import adapter as adapters

from auburnroad_gateway.log import service
from auburnroad_gateway.log import tail
from auburnroad_gateway.members import facts
from auburnroad_gateway.members import membership
from auburnroad_gateway.model import settings as gateway_settings
from auburnroad_gateway.telemetry import metrics
from auburnroad_gateway.weights import duty

# Pauses between reads of a topic, so that frequent changes do not keep this
# process busy.
OPERATOR_PACE_SECONDS = 0.05
REPLICA_PACE_SECONDS = 0.1
MEMBER_PACE_SECONDS = 0.2


class KeyedTails:
    """Tails of the operators, replicas, members, duties and facts.

    A lost read of operators or replicas is noticed in time for the bound
    within which a change has to be known.

    Attributes:
      operators: Configuration and named weight versions.
      replicas: Registrations.
      members: Heartbeats of gateways.
      duties: Holders of duties.
      facts: Facts that gateways share.
    """

    __slots__ = ('operators', 'replicas', 'members', 'duties', 'facts')

    def __init__(
        self,
        log: service.LogService,
        adapter: adapters.Adapter,
        bounds: gateway_settings.Bounds,
        configuration,
        directory,
        membership_state,
        duties,
        shared_facts,
    ):
        """Create the tails.

        Args:
          log: Client of the log service.
          adapter: Names the topics of the platform.
          bounds: Time limits of the deployment.
          configuration: Applies records of operators.
          directory: Applies registrations.
          membership_state: Applies heartbeats.
          duties: Applies duty records.
          shared_facts: Applies facts.
        """
        self.operators = tail.KeyedTail(
            log,
            adapter.operator_topic,
            configuration.apply,
            OPERATOR_PACE_SECONDS,
            bounds.configuration_poll_ms,
        )
        self.replicas = tail.KeyedTail(
            log,
            adapter.replica_topic,
            directory.apply,
            REPLICA_PACE_SECONDS,
            bounds.drain_poll_ms,
        )
        self.members = tail.KeyedTail(
            log, membership.TOPIC, membership_state.apply, MEMBER_PACE_SECONDS
        )
        self.duties = tail.KeyedTail(
            log, duty.TOPIC, duties.apply, MEMBER_PACE_SECONDS
        )
        self.facts = tail.KeyedTail(
            log, facts.TOPIC, shared_facts.apply, MEMBER_PACE_SECONDS
        )
        for name in self.__slots__:
            metrics.watch_tail(name, getattr(self, name))

    def list_background_tasks(self) -> list:
        """List the coroutine functions that run until the process ends."""
        return [getattr(self, name).run for name in self.__slots__]

    def apply_bounds(self, bounds: gateway_settings.Bounds) -> None:
        """Apply changed time limits from the next reads on."""
        self.operators.poll_ms = bounds.configuration_poll_ms
        self.replicas.poll_ms = bounds.drain_poll_ms
