"""Parses HTTP requests to an entry and builds refusals and headers.

Each refusal states whether the request was run and when it may be retried.
"""

import math
import re

import msgspec

from auburnroad_core import clock
from auburnroad_core import decoding
from auburnroad_core.http import messages
from auburnroad_core import types
from auburnroad_daemon.process import entry_metrics as metrics

OUTCOME_HEADER = 'auburnroad-outcome'
ATTEMPTS_HEADER = 'auburnroad-attempts'
VERSIONS_HEADER = 'auburnroad-versions'
REQUEST_ID_HEADER = 'auburnroad-request-id'
DEADLINE_HEADER = 'auburnroad-deadline'
RETRY_AFTER_HEADER = 'retry-after'


class BadRequestError(Exception):
    """An invalid request."""

    def __init__(
        self, code: str, message: str, field: str = '', status: int = 400
    ):
        super().__init__(message)
        self.code = code
        self.field = field
        self.status = status


def parse_body(body: bytes, body_type: type):
    """Parse a JSON body and validate it against a type.

    Args:
      body: The encoded body.
      body_type: Type that the body must match.

    Returns:
      The parsed body, an instance of `body_type`.

    Raises:
      BadRequestError: If the body is not JSON or a field is invalid; the
        error contains the name of the field.
    """
    try:
        return decoding.decode_json(body, body_type)
    except msgspec.ValidationError as error:
        text, _, path = str(error).partition(' - at `$.')
        missing = re.search(r'required field `(\w+)`', text)
        field = path.rstrip('`') or (missing.group(1) if missing else '')
        raise BadRequestError('bad_field', text, field) from error
    except msgspec.DecodeError as error:
        raise BadRequestError('bad_json', str(error)) from error


def parse_deadline(request: messages.Request, default_ms: int) -> int:
    """Parse the deadline header of a request.

    Args:
      request: The request.
      default_ms: Deadline in Unix milliseconds if the header is missing.

    Returns:
      The deadline in Unix milliseconds.

    Raises:
      BadRequestError: If the header is not a non-negative integer.
    """
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return default_ms
    if not text.isdecimal():
        raise BadRequestError(
            'bad_field', 'not Unix milliseconds', DEADLINE_HEADER
        )
    return int(text)


def format_versions(spans: list[types.VersionSpan]) -> str:
    """Format version spans for the versions header."""
    return ','.join(f'{s.version}:{s.start}-{s.end}' for s in spans)


def build_retry_headers(retry_at_ms: int, now_ms: int) -> dict[str, str]:
    """Build the header with the delay before a retry.

    Args:
      retry_at_ms: Earliest time to retry in Unix milliseconds, zero for none.
      now_ms: Current time in Unix milliseconds.

    Returns:
      The headers; empty if there is no retry time.
    """
    if not retry_at_ms:
        return {}
    seconds = math.ceil(max(0, retry_at_ms - now_ms) / clock.MS_PER_SECOND)
    return {RETRY_AFTER_HEADER: str(seconds)}


def build_refusal(
    status: int,
    code: str,
    message: str,
    outcome: types.Outcome = types.Outcome.NOT_RUN,
    retry_at_ms: int = 0,
    field: str = '',
    headers: dict[str, str] | None = None,
) -> messages.Response:
    """Build the response to a request that was refused or has failed.

    Args:
      status: HTTP status code.
      code: Machine-readable reason.
      message: Human-readable reason.
      outcome: Whether the request was run.
      retry_at_ms: Earliest time to retry in Unix milliseconds, zero for none.
      field: Name of the invalid field or header, or empty.
      headers: Additional headers by lower-case name.

    Returns:
      The response.
    """
    metrics.REFUSALS.labels(code).inc()
    error = {'code': code, 'message': message}
    if field:
        error['field'] = field
    return messages.build_json_response(
        status,
        {'error': error},
        {
            OUTCOME_HEADER: str(outcome),
            **build_retry_headers(retry_at_ms, clock.time_now_ms()),
            **(headers or {}),
        },
    )


def refuse_bad_request(error: BadRequestError) -> messages.Response:
    """Build the response to an invalid request."""
    return build_refusal(
        error.status, error.code, str(error), field=error.field
    )
