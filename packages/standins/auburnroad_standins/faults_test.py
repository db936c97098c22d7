"""Tests of the faults that all kinds of stand-ins share."""

from unittest import mock

from auburnroad_standins import faults
from auburnroad_standins import testing


class FreezeTest(testing.StandinTestCase):
    async def test_freeze_is_answered_before_it_blocks_the_loop(self):
        address = await self.start('host_list')
        with mock.patch.object(faults.time, 'sleep', autospec=True) as sleep:
            await self.command(address, 'freeze', seconds=7)
            await self.wait_until(lambda: sleep.called)
        sleep.assert_called_once_with(7)


class CountdownTest(testing.StandinTestCase):
    def test_fault_affects_as_many_calls_as_set(self):
        countdown = faults.Countdown()
        self.assertFalse(countdown.consume())
        countdown.set(2)
        affected = [countdown.consume() for _ in range(3)]
        self.assertEqual(affected, [True, True, False])
