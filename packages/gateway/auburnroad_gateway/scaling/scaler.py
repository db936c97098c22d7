"""Orders numbers of replicas while this gateway holds the duty.

The platform's API cannot be asked which orders it got. The newest order for a
service in a failure domain is sent until it is answered, or until another one
takes its place; nothing is queued. A call without an answer may be carried out
later, after newer ones: the registered replicas then show a number that was
not ordered, and the decision corrects it like any other.
"""

import asyncio
import time
import typing

from auburnroad_core import clock
from auburnroad_gateway import adapter as adapters
from auburnroad_gateway.configuration import holder as configurations
from auburnroad_gateway.directory import directory
from auburnroad_gateway.directory import placement
from auburnroad_gateway.duties import platform_calls
from auburnroad_gateway.model import configuration
from auburnroad_gateway.model import settings as gateway_settings
from auburnroad_gateway.scaling import decision
from auburnroad_gateway.scaling import inputs as scaling_inputs
from auburnroad_gateway.scaling import paces as shared_paces
from auburnroad_gateway.telemetry import events
from auburnroad_gateway.telemetry import metrics
from auburnroad_gateway.weights import duty

DECIDE_INTERVAL_SECONDS = 1.0
# Pause before it is checked again whether an order may be sent.
SEND_INTERVAL_SECONDS = 0.1


class Scaler:
    """Decides and sends orders for all services with bounds."""

    __slots__ = (
        '_settings',
        '_adapter',
        '_configuration',
        '_directory',
        '_inputs',
        '_paces',
        '_duties',
        '_caller',
        '_is_current',
        '_fence',
        '_started_at',
        '_states',
        '_unsent',
        '_answered',
        '_tasks',
    )

    def __init__(
        self,
        settings: gateway_settings.Settings,
        adapter: adapters.Adapter,
        holder: configurations.ConfigurationHolder,
        replicas: directory.Directory,
        inputs: scaling_inputs.InputsBuilder,
        paces: shared_paces.SharedPaces,
        duties: duty.Duties,
        caller: platform_calls.DutyCaller,
        is_current: typing.Callable[[], bool],
    ):
        """Create a scaler.

        Args:
          settings: Settings of the gateway.
          adapter: Builds the calls.
          holder: Holder of the current configuration.
          replicas: Registered replicas.
          inputs: Builds the inputs of the decisions.
          paces: Paces that the gateways share.
          duties: Holders of the duties.
          caller: Sends the calls.
          is_current: Tells whether replicas and batches have been read up
            to now.
        """
        self._settings = settings
        self._adapter = adapter
        self._configuration = holder
        self._directory = replicas
        self._inputs = inputs
        self._paces = paces
        self._duties = duties
        self._caller = caller
        self._is_current = is_current
        self._fence = 0
        self._started_at = 0.0
        self._states: dict[str, decision.ServiceState] = {}
        # Newest order that was not answered, and the task that sends it, by
        # service and failure domain.
        self._unsent: dict[tuple[str, str], decision.Order] = {}
        self._tasks: dict[tuple[str, str], asyncio.Task] = {}
        # Orders that were answered since the last decision.
        self._answered: list[decision.Order] = []

    def apply_settings(self, settings: gateway_settings.Settings) -> None:
        """Use changed settings from now on."""
        self._settings = settings

    async def run(self) -> None:
        """Decide and order until cancelled."""
        try:
            while True:
                await asyncio.sleep(DECIDE_INTERVAL_SECONDS)
                self.check(time.monotonic(), clock.time_now_ms())
        finally:
            self._stop_sending()

    def check(self, now: float, now_ms: int) -> None:
        """Decide for all services, if this gateway may act.

        Args:
          now: Monotonic time in seconds.
          now_ms: The same time in Unix milliseconds.
        """
        services = self._list_scaled()
        self._forget_outdated({one.name: one.scaling for one in services})
        if not services or not self._is_current():
            return
        for service in services:
            pace_ms = placement.find_median_pace(
                self._directory.list_ready(service.name), now
            )
            self._paces.note(service.name, pace_ms, now_ms)
        if not self._duties.is_holder(
            duty.SCALE_KEY, clock.read_boot_clock_seconds()
        ):
            return
        self._note_fence(self._duties.find_fence(duty.SCALE_KEY), now)
        for service in services:
            self._order(service, now, now_ms)
        self._answered.clear()

    def _list_scaled(self) -> list[configuration.Service]:
        """List the services whose numbers of replicas are ordered."""
        current = self._configuration.current
        if current is None or not self._settings.cloud.has_duty(
            gateway_settings.AUTOSCALE
        ):
            return []
        return [
            service
            for service in current.services.values()
            if service.scaling is not None
        ]

    def _note_fence(self, fence: int, now: float) -> None:
        """Start anew with each claim of the duty."""
        if fence != self._fence:
            self._fence = fence
            self._started_at = now
            self._states.clear()
            self._stop_sending()

    def _forget_outdated(
        self, bounds: dict[str, configuration.Scaling]
    ) -> None:
        """Forget services without bounds, and orders above their maximum.

        Args:
          bounds: Bounds by service, of all services that have some.
        """
        for name in self._states.keys() - bounds.keys():
            del self._states[name]
        for subject, order in list(self._unsent.items()):
            scaling = bounds.get(order.service)
            if scaling is None or order.count > scaling.maximum:
                del self._unsent[subject]
                if scaling is not None:
                    # It counts as given otherwise.
                    self._states[order.service].ordered.pop(order.domain, None)

    def _order(
        self, service: configuration.Service, now: float, now_ms: int
    ) -> None:
        state = self._states.get(service.name)
        if state is None:
            state = decision.ServiceState(self._started_at)
            self._states[service.name] = state
        # The effect of an order cannot be late before it was sent.
        for order in (*self._unsent.values(), *self._answered):
            if order.service == service.name:
                state.note_sent(order, now)
        inputs = self._inputs.build(service, now, now_ms)
        for order in decision.decide(inputs, state, now):
            self._write(order, inputs, now)
            subject = (order.service, order.domain)
            self._unsent[subject] = order
            if subject not in self._tasks:
                self._tasks[subject] = asyncio.ensure_future(
                    self._send_newest(subject)
                )

    async def _send_newest(self, subject: tuple[str, str]) -> None:
        """Send the newest order of a subject until it is answered."""
        try:
            while subject in self._unsent:
                order = self._unsent[subject]
                if not await self._send(order):
                    await asyncio.sleep(SEND_INTERVAL_SECONDS)
                elif self._unsent.get(subject) is order:
                    del self._unsent[subject]
                    self._answered.append(order)
        finally:
            if self._tasks.get(subject) is asyncio.current_task():
                del self._tasks[subject]

    async def _send(self, order: decision.Order) -> bool:
        """Send an order if it was decided since the last claim of the duty."""
        if self._duties.find_fence(duty.SCALE_KEY) != self._fence:
            return False
        return await self._caller.send(
            duty.SCALE_KEY,
            lambda holder, fence: self._adapter.build_scale_call(
                order.service, order.domain, order.count, holder, fence
            ),
            f'{order.service}/{order.domain}',
        )

    def _stop_sending(self) -> None:
        self._unsent.clear()
        self._answered.clear()
        for task in self._tasks.values():
            task.cancel()
        self._tasks.clear()

    def _write(
        self, order: decision.Order, inputs: decision.ServiceInputs, now
    ) -> None:
        ready = inputs.domains[order.domain].ready
        change = 'same'
        if order.count != ready:
            change = 'more' if order.count > ready else 'fewer'
        metrics.SCALE_ORDERS.labels(change).inc()
        events.write(
            'scale_ordered',
            service=order.service,
            domain=order.domain,
            replicas=order.count,
            fence=self._fence,
            ready={
                name: domain.ready for name, domain in inputs.domains.items()
            },
            running_texts={
                name: domain.running_texts
                for name, domain in inputs.domains.items()
            },
            slots=inputs.slots,
            items=len(inputs.work),
            slots_for_items=round(
                decision.estimate_work_slots(inputs, now), 1
            ),
            waiting_callers=inputs.waiting_callers,
            plain_load=round(inputs.plain_load, 2),
        )
