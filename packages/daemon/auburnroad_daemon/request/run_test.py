"""Tests of one run on one replica."""

import unittest
from unittest import mock

from auburnroad_core import types
from auburnroad_core.wire import messages
from auburnroad_daemon.connection import engine
from auburnroad_daemon.request import run
from auburnroad_daemon.request import side_attempt as attempt


class RunCompletionTest(unittest.IsolatedAsyncioTestCase):
    """What an engine is asked for."""

    async def test_goes_on_where_an_earlier_attempt_ended(self):
        asked = []

        async def complete(completion):
            asked.append(completion)
            yield [engine.Tokens('b', 1, 7, 1, 'length')]

        replica = mock.Mock()
        replica.engine.complete = complete
        body = b'{"prompt": "p", "max_tokens": 2, "resume_at": 1}'
        submit = messages.Submit(
            'r',
            's',
            types.RequestClass.INTERACTIVE,
            0,
            True,
            False,
            'POST',
            '/v1/completions',
            {},
            body,
            'm',
        )
        result = await run.run_completion(
            attempt.Attempt(submit, None, 0), replica
        )
        self.assertEqual([engine.Completion('r', 'm', 'p', 2, 1)], asked)
        self.assertEqual('b', result.answer.text)
