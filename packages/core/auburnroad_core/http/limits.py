"""Limits of an HTTP server, and the refusal of requests that exceed them."""

import msgspec

from auburnroad_core.http import messages

# Time after which a request is worth sending again whose limits aren't known.
RETRY_AFTER_SECONDS = 0.5


class HttpLimits(msgspec.Struct, frozen=True):
    """Size and time limits above which a request is rejected.

    Attributes:
      header_bytes: Maximum size of the request line and headers together.
      body_bytes: Maximum size of the body.
      header_seconds: Maximum time to receive the request line and headers,
        from their first byte.
      idle_seconds: Maximum time that a connection may be idle, and maximum
        time without a further byte of a body.
    """

    header_bytes: int = 32768
    body_bytes: int = 16 * 1024 * 1024
    header_seconds: float = 10.0
    idle_seconds: float = 300.0


class RefusedError(Exception):
    """A request that is rejected without a call of the handler."""

    def __init__(self, status: int, code: str, message: str):
        super().__init__(message)
        self.status = status
        self.code = code

    def build_response(self) -> messages.Response:
        """Build the error response, which states that nothing was run."""
        error = {'code': self.code, 'message': str(self)}
        headers = {'auburnroad-outcome': 'not-run', 'connection': 'close'}
        if self.status == 503:
            headers['retry-after'] = f'{RETRY_AFTER_SECONDS:.2f}'
        return messages.build_json_response(
            self.status, {'error': error}, headers
        )


class LimitsUnreadError(RefusedError):
    """A request over limits that may not be in force any more."""

    def __init__(self):
        super().__init__(
            503, 'limits_unread', 'the limits in force are not known'
        )


def ignore_refusal(status: int, code: str) -> None:
    """Do nothing about a refusal."""


async def confirm_fixed() -> bool:
    """Take limits that nobody changes for those in force."""
    return True
