"""Builds the components that order numbers of replicas."""

import typing

from auburnroad_core import clock
from auburnroad_gateway import adapter as adapters
from auburnroad_gateway.batches import journal
from auburnroad_gateway.configuration import holder as configurations
from auburnroad_gateway.directory import directory
from auburnroad_gateway.duties import platform_calls
from auburnroad_gateway.members import facts
from auburnroad_gateway.model import settings as gateway_settings
from auburnroad_gateway.scaling import inputs
from auburnroad_gateway.scaling import paces as shared_paces
from auburnroad_gateway.scaling import scaler
from auburnroad_gateway.weights import duty

# Maximum age of the registrations and batches of a decision. Without new
# records, what a tail knows is up to two waiting reads old.
INPUTS_MAX_AGE_SECONDS = 4.0


def build_scaler(
    settings: gateway_settings.Settings,
    adapter: adapters.Adapter,
    holder: configurations.ConfigurationHolder,
    replicas: directory.Directory,
    replica_tail,
    batches: journal.Journal,
    shared_facts: facts.SharedFacts,
    duties: duty.Duties,
    caller: platform_calls.DutyCaller,
    count_callers: typing.Callable[[str], int] = lambda service: 0,
) -> scaler.Scaler:
    """Build the scaler of a gateway.

    Args:
      settings: Settings of the gateway.
      adapter: Adapter of the platform.
      holder: Holder of the current configuration.
      replicas: Registered replicas.
      replica_tail: Tail of the registrations.
      batches: Journal of all batches.
      shared_facts: Facts that the gateways share.
      duties: Holders of the duties.
      caller: Sends the calls of duties.
      count_callers: Counts the single requests that wait for a slot of a
        service.
    """
    paces = shared_paces.SharedPaces(shared_facts)
    return scaler.Scaler(
        settings,
        adapter,
        holder,
        replicas,
        inputs.InputsBuilder(
            settings.failure_domain,
            holder,
            replicas,
            batches.fold,
            paces,
            count_callers,
        ),
        paces,
        duties,
        caller,
        lambda: _are_current(replica_tail, batches),
    )


def _are_current(replica_tail, batches: journal.Journal) -> bool:
    """Tell whether registrations and batches have been read up to now.

    One partition may be late or unavailable alone, while the duty is held.
    """
    complete_at = min(replica_tail.complete_at, batches.complete_at)
    age_seconds = clock.read_boot_clock_seconds() - complete_at
    return age_seconds <= INPUTS_MAX_AGE_SECONDS
