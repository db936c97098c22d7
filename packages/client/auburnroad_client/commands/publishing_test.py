"""Tests of publish, drain and the audit trail under races and outages."""

import asyncio
import unittest

import msgspec

from auburnroad_client import audit_trail
from auburnroad_client.commands import hosts
from auburnroad_client.commands import publishing
from auburnroad_client.commands import waiting
from auburnroad_client import configuration
from auburnroad_client import daemons
from auburnroad_client import deployments
from auburnroad_client import exit_codes
from auburnroad_client.questionnaire import answer_checks
from auburnroad_core import clock
from auburnroad_core.log import configuration_fold
from auburnroad_core.platform import log_service
from auburnroad_e2e import memory_log


def read_shipped(name='kiadasi'):
    """Read one of the shipped answers files."""
    return answer_checks.read_answers(deployments.find_answers(name))


def change_share(answers, share):
    """Build answers that differ in one trainer's share."""
    trainer = msgspec.structs.replace(answers.trainers[0], share=share)
    return msgspec.structs.replace(answers, trainers=[trainer])


class MemoryLogTestCase(unittest.IsolatedAsyncioTestCase):
    """Base class with an in-memory log and a helper that publishes on it."""

    def setUp(self):
        self.log = memory_log.MemoryLog()
        self.answers = read_shipped()

    async def publish(self, answers, author='eszter', base=None, seconds=5):
        deadline_ms = clock.time_now_ms() + int(seconds * 1000)
        report = await publishing.publish_answers(
            self.log, answers, author, base, deadline_ms
        )
        return report.value

    def list_records(self):
        return self.log.list_entries(configuration.STREAM)


class PublishTest(MemoryLogTestCase):
    """A publication is reported as accepted only if it is in force.

    An append can lose its answer, stay pending, or lose a race against
    another operator; its answer alone does not show whether it took effect.
    """

    async def test_second_publication_is_based_on_the_first(self):
        first = await self.publish(self.answers)
        second = await self.publish(change_share(self.answers, 3))
        self.assertEqual((0, -1), (first.revision, first.base_revision))
        self.assertEqual((1, 0), (second.revision, second.base_revision))
        self.assertEqual(
            ['trainers[drafter].share: 1 -> 3'],
            [str(change) for change in second.changes],
        )
        state = await configuration.read_state(self.log)
        self.assertEqual(1, state.revision)
        self.assertEqual(
            change_share(self.answers, 3), configuration.parse_answers(state)
        )

    async def test_loser_of_a_race_is_shown_the_winning_change(self):
        await self.publish(self.answers)
        results = await asyncio.gather(
            self.publish(change_share(self.answers, 2), 'eszter', 0),
            self.publish(change_share(self.answers, 5), 'bence', 0),
            return_exceptions=True,
        )
        lost = [r for r in results if isinstance(r, Exception)]
        won = [r for r in results if not isinstance(r, Exception)]
        self.assertEqual([1, 1], [len(lost), len(won)])
        self.assertIsInstance(lost[0], exit_codes.ConflictError)
        shown = [str(change) for change in won[0].changes]
        for line in shown:
            self.assertIn(f'  {line}', lost[0].details)
        state = await configuration.read_state(self.log)
        self.assertEqual(won[0].revision, state.revision)

    async def test_outdated_base_is_refused_and_appends_nothing(self):
        await self.publish(self.answers)
        await self.publish(change_share(self.answers, 2))
        with self.assertRaises(exit_codes.ConflictError):
            await self.publish(change_share(self.answers, 3), base=0)
        self.assertEqual(2, len(self.list_records()))

    async def test_lost_append_answer_is_resolved_by_reading_back(self):
        self.log.lose_answers = 1
        published = await self.publish(self.answers)
        self.assertEqual(0, published.revision)
        self.assertEqual(0, self.list_records()[0].offset)

    async def test_outage_publishes_nothing(self):
        self.log.down = True
        with self.assertRaises(log_service.LogUnavailableError):
            await self.publish(self.answers)
        self.assertEqual([], self.list_records())

    async def test_pending_append_is_reported_as_unknown_outcome(self):
        self.log.hold_appends = 1000
        with self.assertRaises(exit_codes.OutcomeUnknownError) as caught:
            await self.publish(self.answers, seconds=0.3)
        self.assertTrue(caught.exception.details[0].startswith('record id'))

    async def test_log_of_another_deployment_is_refused(self):
        await self.publish(self.answers)
        with self.assertRaises(exit_codes.BadInputError):
            await self.publish(read_shipped('kehys'))


class OrderHostTest(MemoryLogTestCase):
    """Drain and undrain change only target hosts, once per state change."""

    async def order(self, host, draining):
        deadline_ms = clock.time_now_ms() + 5000
        return await hosts.order_host(
            self.log, host, draining, 'eszter', deadline_ms
        )

    async def test_repeated_drain_appends_nothing_and_undrain_ends_it(self):
        await self.publish(self.answers)
        drained = await self.order('target-a1', True)
        self.assertEqual((True, 1), (drained.changed, drained.revision))
        again = await self.order('target-a1', True)
        self.assertEqual((False, 1), (again.changed, again.revision))
        await self.order('target-a1', False)
        state = await configuration.read_state(self.log)
        self.assertEqual({}, state.draining)

    async def test_unknown_host_and_entry_host_are_refused(self):
        await self.publish(self.answers)
        for host in ('target-x', 'entry-a'):
            with self.assertRaises(exit_codes.BadInputError):
                await self.order(host, True)
        self.assertEqual(1, len(self.list_records()))


class ReadTrailTest(MemoryLogTestCase):
    """The audit trail shows each change with its author and its effect."""

    async def test_trail_shows_effects_and_changes(self):
        await self.publish(self.answers)
        await asyncio.gather(
            self.publish(change_share(self.answers, 2), 'eszter', 0),
            self.publish(change_share(self.answers, 5), 'bence', 0),
            return_exceptions=True,
        )
        deadline_ms = clock.time_now_ms() + 5000
        await hosts.order_host(
            self.log, 'target-b1', True, 'bence', deadline_ms
        )
        trail = await audit_trail.read_trail(self.log)
        self.assertEqual(
            [
                ('publish', 'superseded'),
                ('publish', 'in force'),
                ('publish', 'conflict'),
                ('drain', 'effective'),
            ],
            [(change.act, change.effect) for change in trail],
        )
        self.assertEqual(1, len(trail[1].changes))
        self.assertEqual('target-b1', trail[3].summary)

    async def test_trail_after_truncation_shows_revision_in_force(self):
        for share in (1, 2, 3):
            await self.publish(change_share(self.answers, share))
        state = await configuration.read_state(self.log)
        record = configuration_fold.build_checkpoint(state, 1, 1)
        raw = msgspec.Raw(msgspec.json.encode(record))
        new = log_service.NewRecord('checkpoint', raw)
        await self.log.append(configuration.STREAM, [new])
        await self.publish(change_share(self.answers, 4))
        self.log.truncate(configuration.STREAM, 2)
        trail = await audit_trail.read_trail(self.log)
        self.assertEqual(
            [(2, 'expired'), (4, 'in force')],
            [(change.revision, change.effect) for change in trail],
        )


class SplitOutdatedTest(unittest.TestCase):
    """Daemons on an older revision are listed apart from unreachable ones."""

    def test_outdated_and_silent_daemons_are_separated(self):
        place = daemons.Place('127.0.0.1:1', 'h')
        replies = [
            daemons.Reply(place, 200, b'{"revision": 7}'),
            daemons.Reply(place, 200, b'{"revision": 6, "new": 1}'),
            daemons.Reply(place, error='refused'),
            daemons.Reply(place, 200, b'{"revision": "six"}'),
        ]
        outdated, silent = waiting.split_outdated(replies, 7)
        self.assertEqual(['h (127.0.0.1:1) at 6'], outdated)
        self.assertEqual(2, len(silent))
