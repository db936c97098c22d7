"""A deployment under test: policies are published straight to the log.

Streams and log go without the relays in between that scenarios cut, since a
measurement has no use for them.
"""

import asyncio
import pathlib
import uuid

import msgspec

from auburnroad_client.questionnaire import answers as answer_types
from auburnroad_client.questionnaire import generate
from auburnroad_core import clock
from auburnroad_core.http import client
from auburnroad_core.log import records
from auburnroad_core.platform import host_list
from auburnroad_core.platform import log_service
from auburnroad_core.settings import deployment
from auburnroad_e2e.bench import plan
from auburnroad_e2e import cluster
from auburnroad_e2e.launch import commands
from auburnroad_e2e.launch import shape

POLL_SECONDS = 0.05
IN_FORCE_SECONDS = 10.0
SECOND_TRAINER = 'second'


class BenchCluster(cluster.Cluster):
    """A deployment whose policies change while it runs."""

    __slots__ = ('deployment', '_revision')

    def __init__(self, session: plan.Session, directory: pathlib.Path):
        answers = build_answers(session)
        super().__init__(answers, directory, _build_options(session))
        self.daemons = generate.build_daemons(self.answers)
        self.hosts = [_build_host(settings) for settings in self.daemons]
        self.deployment = generate.build_deployment(self.answers)
        self._revision = -1

    async def publish(self) -> None:
        """Publish the deployment as it stands."""
        answers = msgspec.Raw(msgspec.json.encode(self.answers))
        record = records.Publish(
            self._revision,
            'bench',
            clock.time_now_ms(),
            'policies under test',
            msgspec.Raw(msgspec.json.encode(self.deployment)),
            answers,
        )
        service = log_service.HttpLogService(
            self.address(commands.LOG_SERVICE), self.http
        )
        data = msgspec.Raw(msgspec.json.encode(record))
        offsets = await service.append(
            records.CONFIGURATION_STREAM,
            [log_service.NewRecord(uuid.uuid4().hex, data)],
        )
        self._revision = offsets[0]

    async def change_policies(self, policies: deployment.Policies) -> None:
        """Publish other policies and wait until all daemons have them.

        Args:
          policies: The policies.
        """
        self.deployment = msgspec.structs.replace(
            self.deployment, policies=policies
        )
        await self.publish()
        async with asyncio.timeout(IN_FORCE_SECONDS):
            while not await self._is_in_force():
                await asyncio.sleep(POLL_SECONDS)

    def list_engines(self) -> list[str]:
        """List the engines of the trainers' service."""
        service = self.deployment.trainers[0].service
        return [
            replica.name
            for settings in self.daemons
            for replica in settings.replicas
            if replica.service == service
        ]

    async def wait_engines(self) -> None:
        """Wait until every replica takes work again."""
        sides = [d.name for d in self.daemons if d.role == 'side']
        async with asyncio.timeout(IN_FORCE_SECONDS):
            while not all([await self._is_whole(name) for name in sides]):
                await asyncio.sleep(POLL_SECONDS)

    async def _is_whole(self, name: str) -> bool:
        try:
            response = await self.get(name, '/status')
        except client.HttpError:
            return False
        status = msgspec.json.decode(response.body)
        return all(replica['ready'] for replica in status['replicas'])

    async def _start_relays(self) -> None:
        """Start none: all is reached without."""

    async def _is_in_force(self) -> bool:
        statuses = await asyncio.gather(
            *(self._read_revision(settings.name) for settings in self.daemons)
        )
        return all(revision >= self._revision for revision in statuses)

    async def _read_revision(self, name: str) -> int:
        try:
            response = await self.get(name, '/status')
        except client.HttpError:
            return -1
        return msgspec.json.decode(response.body)['revision']


def build_answers(session: plan.Session) -> answer_types.Answers:
    """Build the answers of the deployment under test.

    They are those that ship, with a time for samples that fits the small
    tokens, so that hedging by age comes at twice a sample's usual time.

    Args:
      session: The session.

    Returns:
      The answers.
    """
    answers = shape.load_answers(session.deployment)
    trainers = [
        msgspec.structs.replace(
            trainer, sample_seconds=compute_sample_seconds(session, answers)
        )
        for trainer in answers.trainers
    ]
    if session.second_trainer:
        second = msgspec.structs.replace(
            trainers[0],
            name=SECOND_TRAINER,
            model=f'{trainers[0].model}-{SECOND_TRAINER}',
        )
        trainers.append(second)
    services = [
        msgspec.structs.replace(
            service, waiting=session.queue or service.waiting
        )
        for service in answers.services
    ]
    return msgspec.structs.replace(
        answers, trainers=trainers, services=services
    )


def compute_sample_seconds(
    session: plan.Session, answers: answer_types.Answers
) -> int:
    """Compute the time that one attempt may take: 8 times the usual one."""
    load = session.load
    slots = next(s.slots for s in answers.services if s.kind == 'model')
    step_ms = load.token_ms * (1 + load.batch_slowdown * (slots - 1))
    usual_ms = load.sample_tokens * step_ms
    return max(3, round(8 * usual_ms / clock.MS_PER_SECOND))


def _build_options(session: plan.Session) -> commands.Options:
    load = session.load
    return commands.Options(
        {
            'token_ms': load.token_ms,
            'batch_slowdown': load.batch_slowdown,
            'prefill_token_ms': load.prefill_token_ms,
            'swap_ms': load.swap_ms,
            'seed': session.seed,
        }
    )


def _build_host(settings) -> host_list.Host:
    return host_list.Host(
        settings.host,
        settings.role,
        settings.stream_address,
        settings.failure_domain,
        host_list.HostState.LIVE,
    )
