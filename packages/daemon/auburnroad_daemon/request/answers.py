"""Builds the HTTP answers of an entry: refusals, and headers that tell all.

Every refusal says whether the request was run and when to come back.
"""

import math
import re

import msgspec

from auburnroad_core import clock
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
    """A request that can't be run as it stands."""

    def __init__(
        self, code: str, message: str, field: str = '', status: int = 400
    ):
        super().__init__(message)
        self.code = code
        self.field = field
        self.status = status


def parse_body(body: bytes, shape: type):
    """Parse a JSON body, strictly.

    Args:
      body: The body in bytes.
      shape: Type that it must have.

    Returns:
      The typed value.

    Raises:
      BadRequestError: If it is no JSON or a field is wrong; the error names
        the field.
    """
    try:
        return msgspec.json.decode(body, type=shape)
    except msgspec.ValidationError as error:
        text, _, path = str(error).partition(' - at `$.')
        missing = re.search(r'required field `(\w+)`', text)
        field = path.rstrip('`') or (missing.group(1) if missing else '')
        raise BadRequestError('bad_field', text, field) from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise BadRequestError('bad_json', str(error)) from error


def parse_deadline(request: messages.Request, default_ms: int) -> int:
    """Read the caller's deadline.

    Args:
      request: The request.
      default_ms: Deadline in Unix milliseconds when none is given.

    Returns:
      The deadline in Unix milliseconds.

    Raises:
      BadRequestError: If the header is no whole number.
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
    """Write version spans the way that the header shows them."""
    return ','.join(f'{s.version}:{s.start}-{s.end}' for s in spans)


def build_retry_headers(retry_at_ms: int, now_ms: int) -> dict[str, str]:
    """Build the header that says when to come back.

    Args:
      retry_at_ms: Unix milliseconds, zero for never.
      now_ms: Unix milliseconds.

    Returns:
      Headers; empty when coming back is of no use.
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
    """Build the answer to a request that is refused or given up.

    Args:
      status: Status code.
      code: Reason as a name for programs.
      message: Reason for people.
      outcome: Whether the request was run.
      retry_at_ms: Unix milliseconds at which to come back, zero for never.
      field: Field of the request that is wrong, or empty.
      headers: Further headers by lower-case name.

    Returns:
      The response.
    """
    metrics.REFUSALS.labels(code).inc()
    error = {'code': code, 'message': message}
    if field:
        error['field'] = field
    return messages.json_response(
        status,
        {'error': error},
        {
            OUTCOME_HEADER: str(outcome),
            **build_retry_headers(retry_at_ms, clock.time_now_ms()),
            **(headers or {}),
        },
    )


def refuse_bad_request(error: BadRequestError) -> messages.Response:
    """Answer a request that can't be run as it stands."""
    return build_refusal(
        error.status, error.code, str(error), field=error.field
    )
