"""Tests of trainers' owners while entries die, pause and resume."""

import json
import unittest

import msgspec

from auburnroad_core.http import messages
from auburnroad_core.log import records
from auburnroad_core.log import trainer_fold
from auburnroad_core.platform import log_service
from auburnroad_core.settings import deployment
from auburnroad_core import types
from auburnroad_daemon.connection import peer_link
from auburnroad_daemon.request import dispatch
from auburnroad_daemon.version import ownership

DEPLOYMENT = deployment.Deployment(
    'd',
    ['a', 'b'],
    [deployment.Service('llm', 'model')],
    [
        deployment.Trainer(
            't1', 'llm', 'llm', groups_per_step=2, samples_per_group=2
        )
    ],
)


class Log:
    """The trainers' log stream in memory; rejects appends while it is down."""

    def __init__(self):
        self.entries = []
        self.down = False

    def append(self, record):
        offset = len(self.entries)
        data = msgspec.Raw(msgspec.json.encode(record))
        self.entries.append(records.Entry(offset, f'id{offset}', data))
        return offset


class Reader:
    """Log reader of one daemon; keeps its old state while it is frozen."""

    def __init__(self, log):
        self.log = log
        self.frozen = False
        self.state = trainer_fold.State()

    def find(self, trainer):
        if not self.frozen:
            for entry in self.log.entries[self.state.applied + 1 :]:
                trainer_fold.fold(self.state, entry)
        return self.state.find_trainer(trainer)

    async def append(self, record):
        if self.log.down:
            raise log_service.LogUnavailableError('down')
        self.frozen = False
        return self.log.append(record)


class Dispatcher:
    """Answers every sample call at once, at a version set by the test."""

    def __init__(self):
        self.version = 1
        self.calls = []
        self.events = []

    def record_event(self, key, event, detail=''):
        self.events.append((key, event))

    async def run(self, call):
        self.calls.append(call.submit.request_id)
        spans = [types.VersionSpan(self.version, 0, 2)]
        return dispatch.Result(
            types.Outcome.RUN,
            call.submit.request_id,
            1,
            200,
            text='ab',
            spans=spans,
        )


class Link:
    """Link to another entry in the same process."""

    leaving = False

    def __init__(self, entry, sender):
        self.entry = entry
        self.sender = sender

    @property
    def name(self):
        return self.entry.name

    @property
    def incarnation(self):
        return 'i'

    @property
    def connected(self):
        return self.entry.alive

    @property
    def lost(self):
        return not self.entry.alive

    def send(self, message):
        answer = self.entry.owners.copy_store.update(message)
        if answer is not None:
            self.sender.owners.handle_acknowledgement(answer)

    async def ask(self, build):
        message = build('q')
        if not self.entry.alive:
            raise peer_link.PeerLostError('dead')
        if isinstance(message, ownership.wire.Forward):
            return await self.entry.owners.handle_forwarded(message)
        return self.entry.owners.build_copy_answer(message)


class Entry:
    """An entry's ownership and its links to the other entries."""

    def __init__(self, name, log):
        self.name = name
        self.alive = True
        self.links = []
        self.is_configuration_read = True
        self.reader = Reader(log)
        self.dispatcher = Dispatcher()
        self.owners = ownership.Ownership(
            name,
            'i',
            self.reader,
            self,
            self.dispatcher,
            lambda service: 8,
            lambda model, version: None,
            self.confirm_configuration,
        )

    async def confirm_configuration(self):
        return self.is_configuration_read

    def find(self, name):
        found = [link for link in self.links if link.name == name]
        return found[0] if found else None

    def choose_holder(self):
        alive = [link for link in self.links if link.connected]
        return alive[0] if alive else None

    async def call(self, method, path, body=None):
        request = messages.Request(
            method,
            f'/v1/trainers/t1{path}',
            {'prefer': 'wait=5'},
            msgspec.json.encode(body) if body is not None else b'',
        )
        response = await self.owners.handle(request)
        return response.status, json.loads(response.body)


class OwnershipTest(unittest.IsolatedAsyncioTestCase):
    """Each step is delivered exactly once, whichever entry owns the trainer.

    Two entries may consider themselves the owner when one was paused, and
    contents may be lost when owner and holder die together.
    """

    async def asyncSetUp(self):
        self.log = Log()
        self.entries = [Entry(f'e{i}', self.log) for i in range(3)]
        for entry in self.entries:
            entry.links = [
                Link(other, entry)
                for other in self.entries
                if other is not entry
            ]
            await entry.owners.set_deployment(DEPLOYMENT)

    async def asyncTearDown(self):
        for entry in self.entries:
            await entry.owners.drain()

    async def submit(self, entry, step, generation=0, version=1):
        body = {
            'version': version,
            'generation': generation,
            'groups': [{'name': f'g{i}', 'prompt': f'p{i}'} for i in range(2)],
        }
        return await entry.call('PUT', f'/steps/{step}/groups', body)

    async def fetch(self, entry, step, generation=0, version=1):
        return await entry.call(
            'GET', f'/steps/{step}?version={version}&generation={generation}'
        )

    # Guards against 404 for a trainer that has just been added.
    async def test_unknown_trainer_is_denied_by_a_recent_configuration(self):
        entry = self.entries[0]
        request = messages.Request('GET', '/v1/trainers/t9', {}, b'')
        for is_read, status in ((True, 404), (False, 503)):
            entry.is_configuration_read = is_read
            response = await entry.owners.handle(request)
            self.assertEqual(status, response.status)

    async def test_repeated_fetch_at_any_entry_returns_same_step(self):
        await self.submit(self.entries[0], 0)
        status, first = await self.fetch(self.entries[0], 0)
        self.assertEqual(200, status)
        for entry in self.entries:
            self.assertEqual((200, first), await self.fetch(entry, 0))

    async def test_holder_delivers_same_step_after_owner_dies(self):
        await self.submit(self.entries[0], 0)
        _, first = await self.fetch(self.entries[0], 0)
        self.entries[0].alive = False
        self.assertEqual((200, first), await self.fetch(self.entries[1], 0))

    async def test_contents_lost_with_both_copies_are_not_rebuilt(self):
        await self.submit(self.entries[0], 0)
        await self.fetch(self.entries[0], 0)
        self.entries[0].alive = self.entries[1].alive = False
        status, answer = await self.fetch(self.entries[2], 0)
        self.assertEqual(409, status)
        self.assertEqual('sealed_contents_lost', answer['error']['code'])
        self.assertEqual(
            (200, {'generation': 1}),
            await self.entries[2].call(
                'POST', '/steps/0/void', {'generation': 0}
            ),
        )
        await self.submit(self.entries[2], 0, generation=1)
        status, again = await self.fetch(self.entries[2], 0, generation=1)
        self.assertEqual(200, status)
        self.assertEqual(1, again['generation'])

    async def test_resumed_owner_delivers_step_of_its_successor(self):
        await self.submit(self.entries[0], 0)
        await self.fetch(self.entries[0], 0)
        await self.submit(self.entries[0], 1)
        self.entries[0].alive = False
        self.entries[0].reader.frozen = True
        _, delivered = await self.fetch(self.entries[1], 1, version=2)
        self.entries[0].alive = True
        status, answer = await self.fetch(self.entries[0], 1, version=2)
        self.assertEqual((200, delivered), (status, answer))

    async def test_drained_owner_refuses_and_next_owner_delivers(self):
        await self.submit(self.entries[0], 0)
        await self.entries[0].owners.drain()
        status, answer = await self.fetch(self.entries[0], 0)
        self.assertEqual((503, 'leaving'), (status, answer['error']['code']))
        status, _ = await self.fetch(self.entries[1], 0)
        self.assertEqual(200, status)

    async def test_step_is_not_delivered_while_log_is_down(self):
        await self.submit(self.entries[0], 0)
        self.log.down = True
        status, answer = await self.fetch(self.entries[0], 0)
        self.assertEqual(503, status)
        self.assertEqual('log_unavailable', answer['error']['code'])
        self.log.down = False
        status, _ = await self.fetch(self.entries[0], 0)
        self.assertEqual(200, status)

    async def test_step_is_not_voided_while_log_is_down(self):
        await self.submit(self.entries[0], 0)
        _, first = await self.fetch(self.entries[0], 0)
        self.log.down = True
        void = ('POST', '/steps/0/void', {'generation': 0})
        status, answer = await self.entries[0].call(*void)
        self.assertEqual(503, status)
        self.assertEqual('log_unavailable', answer['error']['code'])
        self.assertEqual((200, first), await self.fetch(self.entries[1], 0))
        self.log.down = False
        status, _ = await self.entries[0].call(*void)
        self.assertEqual(200, status)

    async def test_stale_sealed_step_is_not_delivered(self):
        await self.submit(self.entries[0], 0)
        await self.fetch(self.entries[0], 0)
        status, answer = await self.fetch(self.entries[0], 0, version=4)
        self.assertEqual(409, status)
        self.assertEqual('sealed_step_stale', answer['error']['code'])

    async def test_stale_samples_are_generated_again(self):
        entry = self.entries[0]
        await self.submit(entry, 0)
        await self.submit(entry, 1)
        await self.fetch(entry, 0)
        entry.dispatcher.version = 4
        status, step = await self.fetch(entry, 1, version=4)
        self.assertEqual(200, status)
        versions = {
            span[0]
            for group in step['groups']
            for sample in group['samples']
            for span in sample['spans']
        }
        self.assertEqual({4}, versions)

    async def test_sample_events_are_recorded(self):
        await self.submit(self.entries[0], 0)
        await self.fetch(self.entries[0], 0)
        events = self.entries[0].dispatcher.events
        self.assertIn(('t1/0/g0/0', 'request'), events)
        self.assertIn(('t1/0/g0/0', 'whole'), events)

    async def test_lower_version_is_refused(self):
        entry = self.entries[0]
        await entry.call('PUT', '/version', {'version': 3})
        status, answer = await entry.call('PUT', '/version', {'version': 2})
        self.assertEqual(409, status)
        self.assertEqual('version_went_back', answer['error']['code'])

    async def test_invalid_input_error_names_field(self):
        status, answer = await self.entries[0].call(
            'PUT', '/version', {'version': 'x'}
        )
        self.assertEqual(400, status)
        self.assertEqual('version', answer['error']['field'])
        status, answer = await self.entries[0].call('GET', '/steps/0')
        self.assertEqual((400, 'version'), (status, answer['error']['field']))
