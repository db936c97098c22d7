"""Tests of the host list's lag."""

import unittest

from auburnroad_core.platform import host_list as platform
from auburnroad_standins import host_list
from auburnroad_standins import serving


def build_hosts(state: str) -> list[platform.Host]:
    return [
        platform.Host(
            'h', 'side', '127.0.0.1:1', 'a', platform.HostState(state)
        )
    ]


class HostListTest(unittest.TestCase):
    def setUp(self):
        self.hosts = host_list.HostList(host_list.HostListOptions(lag_ms=100))
        self.hosts.replace(build_hosts('live'), 1000)
        self.hosts.replace(build_hosts('leaving'), 2000)

    def read_state(self, now_ms: int) -> str:
        return self.hosts.read(now_ms)[0].state

    def test_change_is_read_after_the_lag(self):
        self.assertEqual(self.read_state(2099), 'live')
        self.assertEqual(self.read_state(2100), 'leaving')

    def test_first_list_is_read_at_once(self):
        self.assertEqual(self.read_state(1000), 'live')

    def test_lag_and_down_end_with_faults(self):
        self.hosts.lag_ms = 60_000
        self.assertEqual(self.read_state(2100), 'live')
        self.hosts.down = True
        with self.assertRaises(serving.RefusedError):
            self.read_state(2100)
        self.hosts.end_faults()
        self.assertEqual(self.read_state(2100), 'leaving')
