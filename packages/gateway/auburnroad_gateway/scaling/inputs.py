"""Collects what the numbers of replicas depend on.

The holder of the duty seldom runs the batches itself. It takes the work from
the log, which all gateways read: the items without a result of all open
batches, with the events of their saved texts.
"""

import math
import typing

from auburnroad_gateway.batches import fold
from auburnroad_gateway.batches import item_placement
from auburnroad_gateway.batches import owned_batches
from auburnroad_gateway.batches import slot_search
from auburnroad_gateway.configuration import holder as configurations
from auburnroad_gateway.directory import directory
from auburnroad_gateway.model import configuration
from auburnroad_gateway.scaling import decision
from auburnroad_gateway.scaling import paces as shared_paces

MS_PER_SECOND = 1000


class _BatchItems:
    """What is kept of a submission.

    Attributes:
      host: Value of the Host header.
      path: Path of the submission.
      length_hints: Expected output tokens by item index.
    """

    __slots__ = ('host', 'path', 'length_hints')

    def __init__(self, state: fold.BatchState):
        submission = state.decode_submission()
        self.host = submission.host
        self.path = submission.path
        self.length_hints = [item.length_hint for item in submission.items]


class InputsBuilder:
    """Builds the inputs of the decision from the state of this gateway."""

    __slots__ = (
        '_failure_domain',
        '_configuration',
        '_directory',
        '_fold',
        '_paces',
        '_count_callers',
        '_batches',
        '_domains',
    )

    def __init__(
        self,
        failure_domain: str,
        holder: configurations.ConfigurationHolder,
        replicas: directory.Directory,
        batches: fold.Fold,
        paces: shared_paces.SharedPaces,
        count_callers: typing.Callable[[str], int] = lambda service: 0,
    ):
        """Initialize the builder.

        Args:
          failure_domain: Failure domain of this gateway.
          holder: Holder of the current configuration.
          replicas: Registered replicas.
          batches: State of all batches.
          paces: Measured paces.
          count_callers: Counts the single requests that wait for a slot of a
            service, at all gateways.
        """
        self._configuration = holder
        self._failure_domain = failure_domain
        self._directory = replicas
        self._fold = batches
        self._paces = paces
        self._count_callers = count_callers
        self._batches: dict[str, _BatchItems] = {}
        # Also those whose last replica was lost.
        self._domains: set[str] = {failure_domain}

    def build(
        self, service: configuration.Service, now: float, now_ms: int
    ) -> decision.ServiceInputs:
        """Build the inputs for a service with bounds.

        Args:
          service: The service.
          now: Monotonic time in seconds, also of the inputs.
          now_ms: The same time in Unix milliseconds.
        """
        work = tuple(self._list_work(service, now, now_ms))
        ready = self._directory.list_ready(service.name)
        slots = sum(target.registration.slots for target in ready)
        # Items that no slot runs wait.
        running_items = min(len(work), slots)
        load = sum(max(0, target.count_load(now)) for target in ready)
        return decision.ServiceInputs(
            service.name,
            service.scaling,
            self._build_domains(ready, running_items, now),
            work,
            self._count_callers(service.name),
            max(0, load - running_items) / slots if slots else 0.0,
        )

    def _build_domains(
        self, ready, running_items: int, now: float
    ) -> dict[str, decision.DomainInputs]:
        self._domains |= self._directory.list_failure_domains()
        total = sum(target.registration.slots for target in ready)
        domains = {}
        for name in self._domains:
            targets = [
                target
                for target in ready
                if target.registration.failure_domain == name
            ]
            slots = sum(target.registration.slots for target in targets)
            texts = 0
            if running_items:
                # Only the gateway that runs the items knows where they run.
                load = sum(target.count_load(now) for target in targets)
                share = math.ceil(running_items * slots / total)
                texts = min(slots, max(load, share))
            domains[name] = decision.DomainInputs(len(targets), slots, texts)
        return domains

    def _list_work(
        self, service: configuration.Service, now: float, now_ms: int
    ) -> typing.Iterator[decision.Work]:
        pace_ms = (
            self._paces.find(service.name, now_ms)
            or slot_search.DEFAULT_PACE_MS
        )
        self._batches = {
            state.id: self._batches.get(state.id) or _BatchItems(state)
            for state in self._fold.batches.values()
            if state.is_open
        }
        for batch_id, items in self._batches.items():
            route = self._configuration.match_route(items.host, items.path)
            if route is None or service.name not in route.services:
                continue
            state = self._fold.batches[batch_id]
            due_ms = state.submitted_ms + route.due_ms
            due_at = now + (due_ms - now_ms) / MS_PER_SECOND
            for index, hint in enumerate(items.length_hints):
                if index in state.finished:
                    continue
                if service.name != item_placement.choose_service(
                    route, batch_id, index
                ):
                    continue
                saved = state.progress.get(index)
                if saved and saved[-1].complete:
                    # Only its score is missing, which takes no slot.
                    continue
                left = owned_batches.predict_events_left(
                    hint // service.tokens_per_event,
                    saved[-1].last_event + 1 if saved else 0,
                )
                yield decision.Work(due_at, left * pace_ms / MS_PER_SECOND)
