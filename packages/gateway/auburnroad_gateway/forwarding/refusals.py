"""Builds the gateway's own error responses.

A 503 guarantees that the request has not run and will not run. A 502 or a 504
guarantees nothing: the request may have run.
"""

from auburnroad_core.http import messages

# Short enough for a retry to meet the caller's latency target, long enough for
# a replica slot to become free.
RETRY_AFTER_SECONDS = 0.1
# Used while an external service is unavailable.
RETRY_AFTER_OUTAGE_SECONDS = 0.5


class OwnResponse(messages.Response):
    """An error response that no replica has made.

    Attributes:
      code: Error code for logs and callers.
    """

    code: str = ''


def build_refusal(code: str, retry_seconds: float) -> OwnResponse:
    """Build a 503 response for a request that has not run and will not run.

    Args:
      code: Error code for logs and callers.
      retry_seconds: Value of the Retry-After header.

    Returns:
      The response.
    """
    headers = {'retry-after': f'{retry_seconds:.2f}'}
    return _build(503, code, headers)


def build_error(status: int, code: str) -> OwnResponse:
    """Build an error response other than a refusal.

    Args:
      status: Status code, neither 503 nor 429.
      code: Error code for logs and callers.

    Returns:
      The response.
    """
    return _build(status, code, {})


def _build(status: int, code: str, headers: dict[str, str]) -> OwnResponse:
    built = messages.build_json_response(
        status, {'error': {'code': code}}, headers
    )
    return OwnResponse(status, built.headers, built.body, code=code)
