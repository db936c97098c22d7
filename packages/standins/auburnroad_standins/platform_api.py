"""Stand-in of the platform's API for usage reports and numbers of replicas.

It keeps a book of all calls and checks it as the platform would: tokens,
holders in turn, changed reports and the rate of calls.
"""

import asyncio
import time

import msgspec

from auburnroad_core.http import messages
from auburnroad_core.http import server

USAGE_PATH = '/usage'
SCALE_PATH = '/scale'


class Call(msgspec.Struct, frozen=True):
    """A call as it was received.

    Attributes:
      at: Monotonic time in seconds.
      path: Path, which names the duty.
      subject: What the call is about.
      holder: Name of the host that sent it.
      fence: Its token.
      value: What is reported or ordered.
      status: Status of the answer; 0 if it was not answered.
    """

    at: float
    path: str
    subject: str
    holder: str
    fence: int
    value: object
    status: int


class PlatformApi:
    """Serves calls of duties and keeps the books.

    Attributes:
      fencing: Whether a lower token than seen before is answered with 409.
      silent: Whether calls get no answer and have no effect.
      lose_answers: Number of next calls that have their effect and get no
        answer.
      status: Status of all answers; 0 to answer as usual.
      calls: All calls in order.
      reports: Counts of each window by name of account, as first reported.
      reported_at: Monotonic time in seconds of each window's first report.
      orders: Last number of replicas ordered, by service and failure domain.
    """

    __slots__ = (
        'fencing',
        'silent',
        'lose_answers',
        'status',
        'calls',
        'reports',
        'reported_at',
        'orders',
        '_highest',
        '_server',
    )

    def __init__(self, fencing: bool = True):
        self.fencing = fencing
        self.silent = False
        self.lose_answers = 0
        self.status = 0
        self.calls: list[Call] = []
        self.reports: dict[int, dict[str, int]] = {}
        self.reported_at: dict[int, float] = {}
        self.orders: dict[tuple[str, str], int] = {}
        self._highest: dict[tuple[str, str], int] = {}
        self._server = server.HttpServer(self._handle)

    async def listen(self, ip: str = '127.0.0.1') -> str:
        """Listen on a free port.

        Returns:
          The bound address as 'IP:port'.
        """
        host, port = await self._server.start(ip, 0)
        return f'{host}:{port}'

    async def close(self) -> None:
        """Close the listener."""
        await self._server.close()

    async def _handle(self, request: messages.Request) -> messages.Response:
        body = msgspec.json.decode(request.body)
        subject, value = _split_body(request.path, body)
        status = self._answer(request, subject, value)
        self.calls.append(
            Call(
                time.monotonic(),
                request.path,
                subject,
                request.headers['duty-holder'],
                int(request.headers['fence-token']),
                value,
                status,
            )
        )
        if not status:
            await asyncio.Event().wait()
        return messages.Response(status)

    def _answer(self, request, subject: str, value) -> int:
        """Carry out a call; return the status, 0 for no answer."""
        if self.silent:
            return 0
        if self.status:
            return self.status
        fence = int(request.headers['fence-token'])
        key = (request.path, subject if request.path == SCALE_PATH else '')
        if self.fencing and fence < self._highest.get(key, 0):
            return 409
        self._highest[key] = max(fence, self._highest.get(key, 0))
        if request.path == USAGE_PATH:
            self.reports.setdefault(int(subject), value)
            self.reported_at.setdefault(int(subject), time.monotonic())
        else:
            service, _, domain = subject.partition('/')
            self.orders[service, domain] = value
        if self.lose_answers:
            self.lose_answers -= 1
            return 0
        return 200


def _split_body(path: str, body: dict) -> tuple[str, object]:
    """Split the body of a call into its subject and its value."""
    if path == USAGE_PATH:
        return str(body['window']), body['counts']
    return f'{body["service"]}/{body["zone"]}', body['groupCount']


def find_violations(calls: list[Call], lease_seconds: float) -> list[str]:
    """Check the rules for the callers of an API.

    Args:
      calls: All calls in order.
      lease_seconds: Time within which holders must not take turns, and after
        which a refused token must not be seen again.

    Returns:
      A sentence for each violation.
    """
    found = []
    for path in (USAGE_PATH, SCALE_PATH):
        of_duty = [call for call in calls if call.path == path]
        found += _find_shared_tokens(of_duty)
        found += _find_lower_tokens(of_duty)
        found += _find_turns(of_duty, lease_seconds)
        found += _find_calls_after_refusal(of_duty, lease_seconds)
    found += _find_changed_reports(calls)
    return found


def _find_shared_tokens(calls: list[Call]) -> list[str]:
    holders: dict[int, str] = {}
    return [
        f'token {call.fence} of {call.path} was used by'
        f' {holders[call.fence]} and {call.holder}'
        for call in calls
        if holders.setdefault(call.fence, call.holder) != call.holder
    ]


def _find_lower_tokens(calls: list[Call]) -> list[str]:
    found = []
    highest = 0
    for call in calls:
        if call.fence < highest:
            found.append(
                f'{call.holder} sent token {call.fence} to {call.path}'
                f' after {highest}'
            )
        highest = max(highest, call.fence)
    return found


def _find_turns(calls: list[Call], lease_seconds: float) -> list[str]:
    """Find holders in the order A, B, A within the lease."""
    found = []
    last_at: dict[str, float] = {}
    previous = ''
    for call in calls:
        if call.holder != previous and call.holder in last_at:
            seconds = call.at - last_at[call.holder]
            if seconds < lease_seconds:
                found.append(
                    f'{call.holder} called {call.path} again after'
                    f' {seconds:.2f} s, with {previous} in between'
                )
        last_at[call.holder] = call.at
        previous = call.holder
    return found


def _find_calls_after_refusal(
    calls: list[Call], lease_seconds: float
) -> list[str]:
    found = []
    refused_at: dict[tuple[str, int], float] = {}
    for call in calls:
        key = (call.holder, call.fence)
        if call.status == 409:
            refused_at.setdefault(key, call.at)
        if key in refused_at and call.at - refused_at[key] > lease_seconds:
            found.append(
                f'{call.holder} sent token {call.fence} to {call.path}'
                ' after its refusal'
            )
    return found


def _find_changed_reports(calls: list[Call]) -> list[str]:
    found = []
    first: dict[str, object] = {}
    for call in calls:
        if call.path == USAGE_PATH:
            before = first.setdefault(call.subject, call.value)
            if before != call.value:
                found.append(
                    f'window {call.subject} was reported as {before} and as'
                    f' {call.value}'
                )
    return found
