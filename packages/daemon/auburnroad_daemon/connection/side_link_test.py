"""Tests of pending attempts when a side reconnects or restarts."""

import unittest

from auburnroad_core.platform import host_list
from auburnroad_core import types
from auburnroad_core.wire import messages
from auburnroad_daemon.connection import side_link
from auburnroad_daemon.request import entry_attempt


class FakeOwner:
    def handle_peer_message(self, stream, message):
        pass


class FakeStream:
    def __init__(self):
        self.sent = []

    def send(self, message):
        self.sent.append(message)


def build_hello(incarnation):
    return messages.Hello(
        'side-1', incarnation, 'side', 'h1', 'a', 1, ['svc'], False
    )


class ReconnectTest(unittest.IsolatedAsyncioTestCase):
    """A pending attempt is resumed or lost, and never reported as not run.

    The side may have run a request whose result was lost with the stream. A
    caller that gets 'not run' would repeat the request.
    """

    async def asyncSetUp(self):
        host = host_list.Host('h1', 'side', '127.0.0.1:1', 'a', 'live')
        self.link = side_link.SideLink(host, FakeOwner())
        self.link.handle_message(FakeStream(), build_hello('first'))
        submit = messages.Submit(
            'r1',
            'svc',
            types.RequestClass.INTERACTIVE,
            0,
            False,
            False,
            'POST',
            '/',
            {},
            b'',
        )
        self.attempt = entry_attempt.Attempt(submit, 'h1')
        self.link.submit(self.attempt)
        self.stream = FakeStream()

    async def test_reconnect_to_same_incarnation_resumes_attempt(self):
        self.link.handle_message(self.stream, build_hello('first'))
        self.assertFalse(self.attempt.ended)
        self.assertEqual([messages.Resume('r1', 0)], self.stream.sent)

    async def test_new_incarnation_ends_attempt_as_lost(self):
        self.link.handle_message(self.stream, build_hello('second'))
        self.assertTrue(self.attempt.ended)
        self.assertIsInstance(
            await self.attempt.next_event(), entry_attempt.Lost
        )

    async def test_attempt_unknown_to_side_is_lost(self):
        self.link.handle_message(self.stream, messages.UnknownRequest('r1'))
        self.assertTrue(self.attempt.ended)
        self.assertIsInstance(
            await self.attempt.next_event(), entry_attempt.Lost
        )
