"""The kinds of requests that callers make, and how each is judged.

A kind builds a request from its number and judges the answer against what
the target ought to have said, so that an answer to another request, or a part
of an answer, is seen.
"""

import typing

import msgspec

from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_core import registry
from auburnroad_standins import text

# The engines' stand-ins stop at no other reason.
WHOLE_REASON = 'length'

KINDS = registry.Registry('kind of request')


class Call(msgspec.Struct):
    """One request of a caller.

    Attributes:
      id: The caller's own id, also found in the request itself.
      model: Model for completions.
      service: Plain service for calls by path.
      max_tokens: Tokens of a completion.
      key: Idempotency key, empty when it may be repeated.
    """

    id: str
    model: str
    service: str
    max_tokens: int
    key: str = ''


class Verdict(msgspec.Struct):
    """What the caller saw of an answer that began.

    Attributes:
      whole: Whether the answer reached its end.
      right: Whether it is the answer to this very request.
      code: Error with which the answer ended, or empty.
    """

    whole: bool
    right: bool
    code: str = ''


class Kind(typing.Protocol):
    """How one kind of request is made and judged."""

    def build(self, call: Call) -> messages.Request:
        """Build the request."""

    def judge(self, call: Call, body: bytes) -> Verdict:
        """Judge the body of a good answer."""


def _completion(call: Call, stream: bool) -> messages.Request:
    value = {
        'model': call.model,
        'prompt': _prompt(call),
        'max_tokens': call.max_tokens,
        'stream': stream,
    }
    return client.json_request('POST', '/v1/completions', value)


def _prompt(call: Call) -> str:
    return f'a question by a caller {call.id}'


def _expected(call: Call) -> str:
    return text.expected_text(call.model, _prompt(call), 0, call.max_tokens)


@KINDS.register('completion')
class Completion:
    """A completion that is answered whole."""

    def build(self, call: Call) -> messages.Request:
        """Build the request."""
        return _completion(call, False)

    def judge(self, call: Call, body: bytes) -> Verdict:
        """Judge the body of a good answer."""
        try:
            choice = msgspec.json.decode(body)['choices'][0]
        except (msgspec.DecodeError, KeyError, IndexError):
            return Verdict(False, False)
        right = choice['text'] == _expected(call)
        return Verdict(choice['finish_reason'] == WHOLE_REASON, right)


@KINDS.register('stream')
class Stream:
    """A completion that is streamed by server-sent events."""

    def build(self, call: Call) -> messages.Request:
        """Build the request."""
        return _completion(call, True)

    def judge(self, call: Call, body: bytes) -> Verdict:
        """Judge the events of a good answer."""
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
        said = ''.join(choice['text'] for choice in choices)
        reason = choices[-1]['finish_reason'] if choices else None
        last = msgspec.json.decode(data[-2]) if choices else {}
        code = last.get('error', {}).get('code', '')
        return Verdict(reason == WHOLE_REASON, said == _expected(call), code)


@KINDS.register('get')
class Get:
    """A call of a plain service that may be repeated."""

    def build(self, call: Call) -> messages.Request:
        """Build the request."""
        target = f'/services/{call.service}/notes/{call.id}'
        return messages.Request('GET', target, {})

    def judge(self, call: Call, body: bytes) -> Verdict:
        """Judge the body of a good answer."""
        return _judge_echo(body, 'GET', call)


@KINDS.register('post')
class Post:
    """A call of a plain service that must not be repeated."""

    def build(self, call: Call) -> messages.Request:
        """Build the request."""
        target = f'/services/{call.service}/notes/{call.id}'
        headers = {'idempotency-key': call.key}
        return messages.Request('POST', target, headers, call.id.encode())

    def judge(self, call: Call, body: bytes) -> Verdict:
        """Judge the body of a good answer."""
        return _judge_echo(body, 'POST', call)


def _judge_echo(body: bytes, method: str, call: Call) -> Verdict:
    try:
        echo = msgspec.json.decode(body)
    except msgspec.DecodeError:
        return Verdict(False, False)
    right = echo.get('method') == method and echo.get('path') == (
        f'/notes/{call.id}'
    )
    return Verdict(True, right)
