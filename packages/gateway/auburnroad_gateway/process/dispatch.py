"""Dispatches the requests of callers to the code that handles them.

The key of a request is checked before any other processing for its route. A
request is denied only by a configuration that was read recently.
"""

import time
import typing

from auburnroad_core.http import messages
from auburnroad_gateway import adapter as adapters

from auburnroad_gateway.accounts import access
from auburnroad_gateway.accounts import control
from auburnroad_gateway.batches import intake
from auburnroad_gateway.batches import reading
from auburnroad_gateway.configuration import currency as currencies
from auburnroad_gateway.configuration import holder as holders
from auburnroad_gateway.configuration import refusal_log as refusal_logs
from auburnroad_gateway.forwarding import fingerprint
from auburnroad_gateway.forwarding import refusals
from auburnroad_gateway.forwarding import requests
from auburnroad_gateway.forwarding import streams
from auburnroad_gateway.model import configuration
from auburnroad_gateway.process import stopping

# Statuses of 4xx after which callers return: nothing was run, and the request
# may be sent again.
REPEATABLE_STATUSES = (408, 421, 429)


class Dispatcher:
    """Finds the handler of each request of a caller."""

    __slots__ = (
        '_adapter',
        '_configuration',
        '_currency',
        '_access',
        '_reader',
        '_intake',
        '_forwarder',
        '_streams',
        '_refusal_log',
        '_may_outlast_stop',
    )

    def __init__(
        self,
        adapter: adapters.Adapter,
        holder: holders.ConfigurationHolder,
        currency: currencies.Currency,
        access_control: control.AccessControl,
        reader: reading.Reader,
        batch_intake: intake.Intake,
        forwarder: requests.Forwarder,
        stream_forwarder: streams.StreamForwarder,
        refusal_log: refusal_logs.RefusalLog,
        may_outlast_stop: typing.Callable[[stopping.RequestEnd], bool],
    ):
        """Initialize the dispatcher.

        Args:
          adapter: Decodes requests.
          holder: Holds the configuration in force.
          currency: Tells whether it may deny a request.
          access_control: Decides on the keys of requests.
          reader: Handles calls on existing batches.
          batch_intake: Handles submissions.
          forwarder: Handles requests whose response is not a stream.
          stream_forwarder: Handles requests whose response is a stream.
          refusal_log: Logs error responses that no replica has made.
          may_outlast_stop: Tells whether a request may still run when the
            process exits.
        """
        self._adapter = adapter
        self._configuration = holder
        self._currency = currency
        self._access = access_control
        self._reader = reader
        self._intake = batch_intake
        self._forwarder = forwarder
        self._streams = stream_forwarder
        self._refusal_log = refusal_log
        self._may_outlast_stop = may_outlast_stop

    async def handle(
        self, request: messages.Request
    ) -> tuple[str, messages.Response]:
        """Handle a request.

        Args:
          request: Request of a caller.

        Returns:
          The kind of the request, for metrics, and the response.
        """
        kind, response = await self._answer(request)
        if isinstance(response, refusals.OwnResponse):
            self._refusal_log.write_refused(
                response.status,
                response.code,
                request=self._adapter.decode_call(request.headers).request_id,
                target=request.headers.get('host', '') + request.path,
            )
        return kind, response

    async def _answer(
        self, request: messages.Request
    ) -> tuple[str, messages.Response]:
        """Answer a request, again if a newer revision may allow it."""
        while True:
            revision = self._find_revision()
            kind, response = await self._answer_once(request)
            if not _is_denial(response):
                return kind, response
            if not await self._currency.confirm():
                return 'unread', refusals.build_refusal(
                    'configuration_unread', refusals.RETRY_AFTER_OUTAGE_SECONDS
                )
            if self._find_revision() == revision:
                return kind, response

    def _find_revision(self) -> int | None:
        current = self._configuration.current
        return None if current is None else current.revision

    async def _answer_once(
        self, request: messages.Request
    ) -> tuple[str, messages.Response]:
        if self._configuration.current is None:
            return 'none', refusals.build_refusal(
                'not_configured', refusals.RETRY_AFTER_OUTAGE_SECONDS
            )
        batch_call = self._adapter.decode_batch_call(request)
        if batch_call is None:
            return await self._handle_routed(request)
        if self._may_outlast_stop(
            stopping.find_batch_call_end(time.monotonic())
        ):
            return 'leaving', _refuse_while_stopping()
        response = await self._reader.handle(
            batch_call, self._adapter.decode_call(request.headers)
        )
        return batch_call.verb.value, response

    async def _handle_routed(
        self, request: messages.Request
    ) -> tuple[str, messages.Response]:
        """Handle a request that a route has to match."""
        started = time.monotonic()
        head = self._adapter.decode_call(request.headers)
        route, found = await self._access.check(
            request.headers.get('host', ''), request.path, head
        )
        if route is None:
            return 'none', refusals.build_error(404, 'no_route')
        refusal = self._access.build_response(route.name, head, found)
        if refusal is not None:
            return 'no_access', refusal
        if self._may_outlast_stop(
            stopping.find_end(route, head, time.monotonic())
        ):
            return 'leaving', _refuse_while_stopping()
        account = self._find_account_name(found)
        if route.kind is configuration.RouteKind.BATCH:
            response = await self._intake.submit(route, request, account)
            return 'submit', response
        pending = requests.PendingRequest(
            request,
            head,
            route,
            started,
            fingerprint.build_fingerprint(request),
            account,
            access.find_priority(route, found.account),
        )
        return await self._forward(pending)

    def _find_account_name(self, found: access.Access) -> str | None:
        if found.account is not None:
            return found.account.name
        return '' if self._access.has_accounts else None

    async def _forward(
        self, pending: requests.PendingRequest
    ) -> tuple[str, messages.Response]:
        route = pending.route
        if route.kind is configuration.RouteKind.STREAM:
            response = await self._streams.forward(pending)
        else:
            response = await self._forwarder.forward(pending)
        return route.kind.value, response


def _refuse_while_stopping() -> messages.Response:
    return refusals.build_refusal('leaving', refusals.RETRY_AFTER_SECONDS)


def _is_denial(response: messages.Response) -> bool:
    """Tell whether a response of this gateway is final to the caller."""
    return (
        isinstance(response, refusals.OwnResponse)
        and response.status // 100 == 4
        and response.status not in REPEATABLE_STATUSES
    )
