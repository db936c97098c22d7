"""Answers of the gateway's own: refusals and time-outs.

A 503 promises that the request has not run and never will. A 502 and a 504
promise nothing.
"""

from auburnroad_core.http import messages

# Soon enough for the caller's aim, late enough for a slot to become free.
RETRY_SOON_SECONDS = 0.1
# While something that others run is away.
RETRY_OUTAGE_SECONDS = 0.5


def refuse(code: str, retry_seconds: float) -> messages.Response:
    """Refuse a request that has not run and won't.

    Args:
      code: Why, for logs and callers.
      retry_seconds: When to come back.

    Returns:
      The answer.
    """
    headers = {'retry-after': f'{retry_seconds:.2f}'}
    return messages.json_response(503, {'error': {'code': code}}, headers)


def build_error(status: int, code: str) -> messages.Response:
    """Build another answer of the gateway's own.

    Args:
      status: Status code, neither 503 nor 429.
      code: Why, for logs and callers.

    Returns:
      The answer.
    """
    return messages.json_response(status, {'error': {'code': code}})
