"""Tests of the overview of a deployment."""

import unittest

import msgspec

from auburnroad_client import daemons
from auburnroad_client import overview


def build_reply(host, **members):
    """Build a daemon's answer to GET /status."""
    body = msgspec.json.encode({'daemon': host, **members})
    return daemons.Reply(daemons.Place('127.0.0.1:1', host), 200, body)


class BuildOverviewTest(unittest.TestCase):
    """Rows combine the status of daemons of different roles and versions."""

    def setUp(self):
        self.replies = [
            build_reply(
                'entry-a',
                role='entry',
                revision=3,
                hosts=[{'host': 't1', 'connected': False}],
                trainers=[{'trainer': 'drafter', 'version': 8}],
                versions={'m': 8},
            ),
            build_reply(
                'entry-b',
                role='entry',
                hosts=[
                    {
                        'host': 't1',
                        'connected': True,
                        'loads': [['llm', 8, 3, 1, 1]],
                    }
                ],
                versions={'m': 7},
            ),
            build_reply(
                't1',
                role='side',
                replicas=[{'name': 'r1', 'ready': True}],
                versions={'m': 6},
                unheard_of=1,
            ),
            daemons.Reply(daemons.Place('127.0.0.1:2', 't2', 'side')),
            build_reply('old'),
        ]

    def test_rows_are_merged_from_all_daemons(self):
        built = overview.build_overview(self.replies)
        self.assertEqual('no answer', built.daemons[3]['state'])
        self.assertEqual('1/2', built.hosts[0]['entries_connected'])
        self.assertEqual(3, built.hosts[0]['loads'][0]['running'])
        self.assertEqual('t1', built.replicas[0]['host'])
        self.assertEqual('entry-a', built.trainers[0]['owner'])
        self.assertEqual(
            [{'model': 'm', 'announced': 8, 'served': 6}], built.versions
        )

    def test_formatted_overview_has_all_tables(self):
        text = overview.format_overview(overview.build_overview(self.replies))
        for part in ('no answer', 'llm 3/8 running 1 waiting', 'r1'):
            self.assertIn(part, text)
