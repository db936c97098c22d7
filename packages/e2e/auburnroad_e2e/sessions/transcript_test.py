"""Tests of the normalisation of sessions."""

import unittest

from auburnroad_e2e.sessions import transcript


class NormaliseTest(unittest.TestCase):
    """What differs between two runs is replaced, and nothing else."""

    def test_replaces_ids_times_addresses_and_replicas(self):
        self.assertEqual(
            '<uuid> at <address>, <ms>, notes-portal-<n>\n[exit 0] 1:0-6',
            transcript.normalise(
                '01a23e44-b68e-7760-a3d1-d9ca27367377 at 127.3.4.5:7301, '
                '1796341064739, notes-portal-2  \n[exit 0] 1:0-6'
            ),
        )
