"""Enforces access: reads the operators' topic before a final refusal.

Callers take status 401 as final. It is therefore sent for an unknown or
missing key only if the operators' topic has just been read to its end, since
the key may have been added, or the route opened, at this moment.
"""

from auburnroad_core.http import messages
from auburnroad_gateway.accounts import access
from auburnroad_gateway.accounts import registry
from auburnroad_gateway.configuration import currency as currencies
from auburnroad_gateway.configuration import holder as holders
from auburnroad_gateway.configuration import refusal_log as refusal_logs
from auburnroad_gateway.forwarding import refusals
from auburnroad_gateway.model import call
from auburnroad_gateway.model import configuration
from auburnroad_gateway.model import settings as gateway_settings
from auburnroad_gateway.telemetry import metrics

MISSING_KEY = 'missing'


class AccessControl:
    """Decides on the keys of requests.

    Attributes:
      settings: Settings of the gateway.
    """

    __slots__ = (
        'settings',
        '_configuration',
        '_currency',
        '_refusal_log',
    )

    def __init__(
        self,
        settings: gateway_settings.Settings,
        holder: holders.ConfigurationHolder,
        currency: currencies.Currency,
        refusal_log: refusal_logs.RefusalLog,
    ):
        self.settings = settings
        self._configuration = holder
        self._currency = currency
        self._refusal_log = refusal_log

    @property
    def has_accounts(self) -> bool:
        """Whether the configuration in force has accounts."""
        return self._configuration.registry.has_accounts

    async def check(
        self, host: str, path: str, head: call.CallHead
    ) -> tuple[configuration.Route | None, access.Access]:
        """Find the route of a request and decide on its key.

        Args:
          host: Value of the Host header.
          path: Path without the query.
          head: Head of the request.

        Returns:
          The route, None if there is none, and the decision. The decision is
          UNSURE if the log service can't be read.
        """
        route = self._configuration.match_route(host, path)
        if route is None:
            return None, access.Access(access.Decision.REFUSED)
        found = self._decide(route, head)
        if found.decision is access.Decision.UNSURE:
            await self._currency.read()
            # A new revision may have changed the route as well.
            route = self._configuration.match_route(host, path)
            if route is not None:
                found = self._decide(route, head)
        self._count(found, head)
        return route, found

    async def check_batch(self, head: call.CallHead) -> access.Access:
        """Decide on the key of a call on a batch that is not public.

        Args:
          head: Head of the call.

        Returns:
          The decision; without an account if the deployment has no accounts.
        """
        found = self._decide(None, head)
        if found.decision is access.Decision.UNSURE:
            await self._currency.read()
            found = self._decide(None, head)
        self._count(found, head)
        return found

    def note_foreign_batch(self) -> None:
        """Count a call on a batch of another account."""
        metrics.ACCESS.labels('foreign_batch').inc()

    def build_response(
        self, route_name: str, head: call.CallHead, found: access.Access
    ) -> messages.Response | None:
        """Build the response to a request that isn't allowed, and log it.

        Args:
          route_name: Name of the route, for logs.
          head: Head of the request.
          found: Decision on the request.

        Returns:
          The response; None if the request is allowed.
        """
        if found.decision is access.Decision.ALLOWED:
            return None
        if found.decision is access.Decision.UNSURE:
            self._write_event('key_unchecked', route_name, head)
            return refusals.build_refusal(
                'key_unchecked', refusals.RETRY_AFTER_OUTAGE_SECONDS
            )
        self._write_event('key_refused', route_name, head)
        code = 'key_missing' if head.key is None else 'key_unknown'
        return refusals.build_error(401, code)

    def _decide(self, route, head: call.CallHead) -> access.Access:
        bounds = self.settings.bounds
        return access.decide(
            route,
            head,
            self._configuration.registry,
            self._currency.is_recent,
            not bounds.strict_revocation
            or self._currency.age_seconds <= bounds.revocation_ms / 1000,
        )

    def _count(self, found: access.Access, head: call.CallHead) -> None:
        if not self.has_accounts:
            return
        outcome = found.decision.value
        if found.account is not None:
            outcome = 'account'
        elif found.decision is access.Decision.ALLOWED:
            outcome = 'public'
        elif found.decision is access.Decision.REFUSED and head.key is None:
            outcome = MISSING_KEY
        metrics.ACCESS.labels(outcome).inc()

    def _write_event(
        self, event: str, route_name: str, head: call.CallHead
    ) -> None:
        self._refusal_log.write(
            event,
            request=head.request_id,
            route=route_name,
            account='unknown',
            fingerprint=MISSING_KEY
            if head.key is None
            else registry.fingerprint(head.key),
        )
