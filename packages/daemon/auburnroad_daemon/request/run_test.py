"""Tests of a run on one replica."""

import unittest
from unittest import mock

from auburnroad_core import types
from auburnroad_core.wire import messages
from auburnroad_daemon.connection import engine
from auburnroad_daemon.request import run
from auburnroad_daemon.request import side_attempt as attempt


class RunCompletionTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a resumed completion that starts at its first token.

    An entry that retries a partially delivered answer sets `resume_at`; the
    side must pass it to the engine.
    """

    async def test_completion_resumes_after_delivered_tokens(self):
        completions = []

        async def complete(completion):
            completions.append(completion)
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
        self.assertEqual([engine.Completion('r', 'm', 'p', 2, 1)], completions)
        self.assertEqual('b', result.answer.text)
