"""Tests that an entry denies nothing by a configuration of unknown age."""

import unittest

from auburnroad_core.http import messages
from auburnroad_daemon.request import answers
from auburnroad_daemon.request import denials

OLD, NEW = 'old', 'new'


class HandleByCurrentTest(unittest.IsolatedAsyncioTestCase):
    """A model that only a newer configuration has."""

    def setUp(self):
        self.deployment = OLD
        self.handled = []

    async def handle(self, deployed):
        self.handled.append(deployed)
        if deployed == OLD:
            raise answers.BadRequestError('unknown_model', 'm', status=404)
        return messages.Response(200)

    async def answer(self, confirm):
        response = await denials.handle_by_current(
            self.handle, lambda: self.deployment, confirm
        )
        return response.status

    async def confirm_old(self):
        return True

    async def confirm_new(self):
        self.deployment = NEW
        return True

    async def fail(self):
        return False

    async def test_unknown_model_is_denied_by_a_recent_configuration(self):
        self.assertEqual(404, await self.answer(self.confirm_old))

    # Guards against 404 for a model that has just been added.
    async def test_model_of_a_newer_configuration_is_served(self):
        self.assertEqual(200, await self.answer(self.confirm_new))
        self.assertEqual([OLD, NEW], self.handled)

    async def test_unknown_model_is_refused_while_nothing_can_be_read(self):
        self.assertEqual(503, await self.answer(self.fail))

    async def test_known_model_is_served_without_a_read(self):
        self.deployment = NEW
        self.assertEqual(200, await self.answer(self.fail))

    async def test_invalid_body_is_denied_without_a_read(self):
        async def handle(deployed):
            raise answers.BadRequestError('invalid_body', 'b')

        response = await denials.handle_by_current(
            handle, lambda: self.deployment, self.fail
        )
        self.assertEqual(400, response.status)
