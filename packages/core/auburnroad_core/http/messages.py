"""HTTP requests and responses as plain data, and functions to build them."""

import typing
import urllib.parse

import msgspec

JSON_TYPE = 'application/json'
SSE_TYPE = 'text/event-stream'


class Request(msgspec.Struct):
    """A request as a handler receives it.

    Attributes:
      method: Method in upper case.
      target: Path with its query, as sent.
      headers: Header values by lower-case name; values of a repeated header
        are joined by a comma.
      body: The complete body.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b''

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition('?')[0]

    @property
    def query(self) -> dict[str, str]:
        """Query parameters by name; the last value of a repeated parameter."""
        query = self.target.partition('?')[2]
        return dict(urllib.parse.parse_qsl(query))


class Response(msgspec.Struct):
    """A response as a handler returns it.

    Attributes:
      status: Status code.
      headers: Header values by lower-case name.
      body: The complete body; unused when there are chunks.
      chunks: Parts of the body as they become available, sent with chunked
        transfer encoding; None for a complete body.
    """

    status: int
    headers: dict[str, str] = {}
    body: bytes = b''
    chunks: typing.AsyncIterator[bytes] | None = None


def encode_headers(headers: dict[str, str]) -> list[tuple[bytes, bytes]]:
    """Encode headers; the inverse of the decoding of received headers.

    Args:
      headers: Header values by name.

    Returns:
      Names and values as bytes.
    """
    return [
        (name.encode('ascii'), value.encode('latin-1'))
        for name, value in headers.items()
    ]


def build_json_response(
    status: int, value: object, headers: dict[str, str] | None = None
) -> Response:
    """Build a response that carries JSON.

    Args:
      status: Status code.
      value: Any value that msgspec can encode.
      headers: Additional headers by lower-case name.

    Returns:
      The response.
    """
    merged = {'content-type': JSON_TYPE, **(headers or {})}
    return Response(status, merged, msgspec.json.encode(value))


def build_server_sent_event(data: bytes) -> bytes:
    """Build one server-sent event.

    Args:
      data: One line of text, usually JSON.

    Returns:
      The encoded event.
    """
    return b'data: ' + data + b'\n\n'


def build_request(head, body: bytes) -> Request:
    """Build a request from a head as h11 has parsed it.

    Args:
      head: An h11.Request; headers of the same name are joined by commas.
      body: The complete body.

    Returns:
      The request.
    """
    headers: dict[str, str] = {}
    for raw_name, raw_value in head.headers:
        name = raw_name.decode('ascii')
        value = raw_value.decode('latin-1')
        headers[name] = (
            f'{headers[name]},{value}' if name in headers else value
        )
    return Request(
        head.method.decode('ascii'),
        head.target.decode('latin-1'),
        headers,
        body,
    )
