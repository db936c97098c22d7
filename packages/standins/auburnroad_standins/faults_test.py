"""Tests of the faults that every kind of stand-in knows."""

from unittest import mock

from auburnroad_standins import faults
from auburnroad_standins import testing


class FreezeTest(testing.StandinTestCase):
    async def test_freeze_is_answered_and_then_blocks_the_loop(self):
        address = await self.start('host_list')
        with mock.patch.object(faults.time, 'sleep', autospec=True) as sleep:
            await self.command(address, 'freeze', seconds=7)
            await self.wait_until(lambda: sleep.called)
        sleep.assert_called_once_with(7)


class CountdownTest(testing.StandinTestCase):
    def test_strikes_as_often_as_it_was_set(self):
        countdown = faults.Countdown()
        self.assertFalse(countdown.strike())
        countdown.set(2)
        struck = [countdown.strike() for _ in range(3)]
        self.assertEqual(struck, [True, True, False])
