"""Kinds of requests that callers send, and the checks of their responses.

A kind builds a request from a call and compares the response with the
expected response, to detect responses to other requests and incomplete
responses.
"""

import typing

import msgspec

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_core import registry
from auburnroad_standins import text

# The only finish reason of a complete answer of the engine stand-in.
COMPLETE_REASON = 'length'

KINDS = registry.Registry('kind of request')


class Call(msgspec.Struct):
    """One request of a caller.

    Attributes:
      id: Id that the caller assigns; the prompt or path contains the id.
      model: Model for completions.
      service: Plain service for calls by path.
      max_tokens: Number of tokens in a completion.
      key: Idempotency key; empty for requests that are safe to repeat.
    """

    id: str
    model: str
    service: str
    max_tokens: int
    key: str = ''


class Verdict(msgspec.Struct):
    """Result of the check of a successful response.

    Attributes:
      whole: Whether the response is complete.
      right: Whether the response is correct for this request.
      code: Error code at the end of the response; empty without an error.
    """

    whole: bool
    right: bool
    code: str = ''


class Kind(typing.Protocol):
    """Builds the requests of one kind and checks the responses."""

    def build(self, call: Call) -> messages.Request:
        """Build the request."""

    def check(self, call: Call, body: bytes) -> Verdict:
        """Check the body of a successful response."""


def _build_completion(call: Call, stream: bool) -> messages.Request:
    value = {
        'model': call.model,
        'prompt': _build_prompt(call),
        'max_tokens': call.max_tokens,
        'stream': stream,
    }
    return client.build_json_request('POST', '/v1/completions', value)


def _build_prompt(call: Call) -> str:
    return f'a question by a caller {call.id}'


def _build_expected_text(call: Call) -> str:
    return text.expected_text(
        call.model, _build_prompt(call), 0, call.max_tokens
    )


@KINDS.register('completion')
class Completion:
    """A completion with a single JSON response."""

    def build(self, call: Call) -> messages.Request:
        """Build the request."""
        return _build_completion(call, False)

    def check(self, call: Call, body: bytes) -> Verdict:
        """Check the body of a successful response."""
        try:
            choice = msgspec.json.decode(body)['choices'][0]
        except (msgspec.DecodeError, KeyError, IndexError):
            return Verdict(False, False)
        right = choice['text'] == _build_expected_text(call)
        return Verdict(choice['finish_reason'] == COMPLETE_REASON, right)


@KINDS.register('stream')
class Stream:
    """A completion with a response of server-sent events."""

    def build(self, call: Call) -> messages.Request:
        """Build the request."""
        return _build_completion(call, True)

    def check(self, call: Call, body: bytes) -> Verdict:
        """Check the events of a successful response."""
        data = [
            line.removeprefix(b'data: ')
            for line in body.split(b'\n\n')
            if line.startswith(b'data: ')
        ]
        if not data or data[-1].strip() != b'[DONE]':
            return Verdict(False, False)
        choices = [
            msgspec.json.decode(event)['choices'][0] for event in data[:-1]
        ]
        received = ''.join(choice['text'] for choice in choices)
        reason = choices[-1]['finish_reason'] if choices else None
        last = msgspec.json.decode(data[-2]) if choices else {}
        code = last.get('error', {}).get('code', '')
        return Verdict(
            reason == COMPLETE_REASON,
            received == _build_expected_text(call),
            code,
        )


@KINDS.register('get')
class Get:
    """A GET request to a plain service, which is safe to repeat."""

    def build(self, call: Call) -> messages.Request:
        """Build the request."""
        target = f'/services/{call.service}/notes/{call.id}'
        return messages.Request('GET', target, {})

    def check(self, call: Call, body: bytes) -> Verdict:
        """Check the body of a successful response."""
        return _check_echo(body, 'GET', call)


@KINDS.register('post')
class Post:
    """A POST request to a plain service, which must not be run twice."""

    def build(self, call: Call) -> messages.Request:
        """Build the request."""
        target = f'/services/{call.service}/notes/{call.id}'
        headers = {'idempotency-key': call.key}
        return messages.Request('POST', target, headers, call.id.encode())

    def check(self, call: Call, body: bytes) -> Verdict:
        """Check the body of a successful response."""
        return _check_echo(body, 'POST', call)


def _check_echo(body: bytes, method: str, call: Call) -> Verdict:
    try:
        echo = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return Verdict(False, False)
    right = echo.get('method') == method and echo.get('path') == (
        f'/notes/{call.id}'
    )
    return Verdict(True, right)
