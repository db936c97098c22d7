"""Trainer stand-in: submits groups, fetches steps and publishes weights.

It submits the next step in advance, retries a failed request at another
entry, and handles each refusal as docs/API.md describes. It records the
submitted and received steps in its books, from which a run is checked.
"""

import asyncio
import random
import sys

import fire
import msgspec
import xxhash

from auburnroad_core import clock
from auburnroad_core.http import client
from auburnroad_core.http import messages
from auburnroad_core import registry
from auburnroad_standins import entry_pool
from auburnroad_standins import record_file
from auburnroad_standins import stopping
from auburnroad_standins import text
from auburnroad_standins import trainer_options

RESPONSE_MARGIN_SECONDS = 1.5
STORE_TIMEOUT_SECONDS = 10.0
RETRY_SECONDS = 0.05
WEIGHT_BYTES = 65536

REFUSALS = registry.Registry('refusal')


class Trainer:
    """State of one trainer.

    Attributes:
      options: Options of the trainer.
      books: File of its events.
      version: Newest weight version that it published; 0 for none.
      stopping: Whether it stops after the current step.
    """

    __slots__ = (
        'options',
        'books',
        'version',
        'stopping',
        '_client',
        '_entries',
        '_generations',
        '_prompts',
    )

    def __init__(self, options: trainer_options.Options):
        self.options = options
        self.books = record_file.RecordFile(options.books_file)
        self.version = 0
        self.stopping = False
        self._client = client.HttpClient()
        self._entries = entry_pool.EntryPool(
            options.entries,
            self.books,
            options.wait_seconds + RESPONSE_MARGIN_SECONDS,
        )
        self._generations: dict[int, int] = {}
        self._prompts: dict[tuple[int, str], str] = {}

    async def run(self) -> None:
        """Train the configured number of steps, or until SIGTERM."""
        readiness_task = asyncio.create_task(self._entries.run())
        try:
            await self._run()
        finally:
            readiness_task.cancel()

    def find_generation(self, step: int) -> int:
        """Return a step's generation, which increases with each void."""
        return self._generations.get(step, 0)

    async def submit(self, step: int) -> None:
        """Submit the groups of a step; a repeated submission has no effect.

        Args:
          step: Number of the step.
        """
        groups = trainer_options.build_groups(self.options, step)
        for group in groups:
            self._prompts[step, group.name] = group.prompt
        generation = self.find_generation(step)
        self.books.write(
            'submitted',
            trainer=self.options.name,
            step=step,
            generation=generation,
            version=self.version,
            samples=self.options.samples,
            groups=[group.name for group in groups],
        )
        body = {
            'version': self.version,
            'generation': generation,
            'groups': groups,
        }
        response = await self._send('PUT', f'steps/{step}/groups', body)
        _check_accepted(response)

    async def void(self, step: int) -> None:
        """Void a sealed step that was not received, and submit it again.

        Args:
          step: Number of the step.
        """
        body = {'generation': self.find_generation(step)}
        response = await self._send('POST', f'steps/{step}/void', body)
        answer = msgspec.json.decode(response.body)
        if 'generation' not in answer:
            raise entry_pool.UnexpectedResponseError(
                f'void of step {step}: {response.body!r}'
            )
        self._generations[step] = answer['generation']
        self.books.write(
            'voided',
            trainer=self.options.name,
            step=step,
            generation=answer['generation'],
        )
        await self.submit(step)

    async def _run(self) -> None:
        earlier_events = record_file.read_records(self.options.books_file)
        taken = [r['step'] for r in earlier_events if r['event'] == 'taken']
        self.version = max(
            (r['version'] for r in earlier_events if r['event'] == 'version'),
            default=0,
        )
        self._restore_generations(earlier_events)
        first = max(taken, default=0) + 1
        await self._publish(max(1, self.version))
        await self._train_steps(first)
        self.books.write('finished', trainer=self.options.name)

    def _restore_generations(self, earlier_events: list[dict]) -> None:
        """Restore the generations of voided steps after a restart."""
        for record in earlier_events:
            if record['event'] == 'voided':
                self._generations[record['step']] = record['generation']

    async def _train_steps(self, first: int) -> None:
        step = first
        last = first + self.options.steps - 1 if self.options.steps else None
        await self.submit(step)
        while not self.stopping and (last is None or step <= last):
            if last is None or step < last:
                await self.submit(step + 1)
            await self._fetch_step(step)
            await asyncio.sleep(self.options.train_ms / clock.MS_PER_SECOND)
            self.books.write('trained', step=step, version=self.version)
            for _ in range(self.options.versions_per_step):
                await self._publish(self.version + 1)
            step += 1

    async def _fetch_step(self, step: int) -> None:
        asked_ms = clock.time_now_ms()
        wait = {'prefer': f'wait={self.options.wait_seconds:g}'}
        while True:
            target = (
                f'steps/{step}?version={self.version}'
                f'&generation={self.find_generation(step)}'
            )
            response = await self._send('GET', target, None, wait)
            if response.status == 200:
                break
            code = entry_pool.parse_error_code(response)
            handle = REFUSALS.get(code)
            await handle(self, step, response)
        self._record_step(step, asked_ms, response)
        if self.options.ask_twice:
            await self._compare_second_read(target, response)

    async def _compare_second_read(self, target, response) -> None:
        self._entries.rotate()
        second = await self._send('GET', target)
        same = second.status == 200 and second.body == response.body
        self.books.write('asked-twice', target=target, same=same)

    def _record_step(self, step, asked_ms, response) -> None:
        contents = msgspec.json.decode(response.body)
        samples = [
            self._build_sample_record(contents, group, sample)
            for group in contents['groups']
            for sample in group['samples']
        ]
        self.books.write(
            'taken',
            trainer=self.options.name,
            step=step,
            generation=contents['generation'],
            version=self.version,
            asked_ms=asked_ms,
            digest=compute_digest(response.body),
            entry=self._entries.current,
            samples=samples,
        )

    def _build_sample_record(self, contents, group, sample) -> dict:
        """Check the text of a sample and build the sample's record."""
        key = (group['step'], group['name'])
        if key not in self._prompts:
            for known in trainer_options.build_groups(
                self.options, group['step']
            ):
                self._prompts[group['step'], known.name] = known.prompt
        expected = text.expected_text(
            self.options.model,
            self._prompts.get(key, ''),
            0,
            self.options.max_tokens,
        )
        return {
            'step': group['step'],
            'group': group['name'],
            'index': sample['index'],
            'spans': sample['spans'],
            'attempt': sample['attempt'],
            'replica': sample['replica'],
            'request_id': sample['request_id'],
            'text_digest': xxhash.xxh3_128_hexdigest(sample['text'].encode()),
            'text_right': sample['text'] == expected,
        }

    async def _publish(self, version: int) -> None:
        """Store the weights of a version, then announce the version."""
        target = f'/weights/{self.options.model}/{version}'
        weights = random.Random(target).randbytes(WEIGHT_BYTES)
        request = messages.Request('PUT', target, {}, weights)
        while not await self._store(request):
            await asyncio.sleep(RETRY_SECONDS)
        self.version = version
        self.books.write('version', version=version)
        response = await self._send('PUT', 'version', {'version': version})
        _check_accepted(response)

    async def _store(self, request) -> bool:
        address = self.options.weight_store
        try:
            response = await self._client.fetch(
                address, request, STORE_TIMEOUT_SECONDS
            )
        except client.HttpError:
            return False
        return response.status < 300

    async def _send(
        self, method, path, value=None, headers=None
    ) -> messages.Response:
        request = client.build_json_request(
            method, f'/v1/trainers/{self.options.name}/{path}', value, headers
        )
        return await self._entries.send(request)


def compute_digest(body: bytes) -> str:
    """Compute the digest of a step's contents from the received body.

    Args:
      body: The step as JSON; its last member is the digest from the entry.

    Returns:
      Hexadecimal xxh3_128 of the body without that member.
    """
    contents, _, _ = body.rpartition(b',"digest":"')
    return xxhash.xxh3_128_hexdigest(contents + b'}')


def _check_accepted(response: messages.Response) -> None:
    """Raise an error unless the entry accepted the request.

    Raises:
      UnexpectedResponseError: If the response is a conflict or another final
        refusal, which a trainer that follows the protocol never gets.
    """
    if response.status >= 300:
        raise entry_pool.UnexpectedResponseError(repr(response.body))


@REFUSALS.register('unknown_step')
async def resubmit_step(trainer: Trainer, step: int, response) -> None:
    """Resubmit a step that is unknown to the entries."""
    await trainer.submit(step)


@REFUSALS.register('step_not_ready')
async def wait_before_retry(trainer: Trainer, step: int, response) -> None:
    """Wait for the entry's 'retry-after' time."""
    await asyncio.sleep(entry_pool.parse_retry_after(response))


@REFUSALS.register('sealed_contents_lost')
@REFUSALS.register('sealed_step_stale')
async def void_lost_step(trainer: Trainer, step: int, response) -> None:
    """Void and resubmit a sealed step whose contents are lost or stale."""
    trainer.books.write(
        'lost', step=step, code=entry_pool.parse_error_code(response)
    )
    await trainer.void(step)


async def _run(options: trainer_options.Options) -> None:
    trainer = Trainer(options)

    def stop():
        trainer.stopping = True

    stopping.on_sigterm(stop)
    await trainer.run()


def start(name, model, entries, weight_store, books_file, **flags) -> None:
    """Run one trainer.

    Args:
      name: Name of the trainer.
      model: Model whose weights it publishes.
      entries: Addresses of the entries, separated by commas.
      weight_store: Address of the weight store.
      books_file: Path of the file for its books.
      flags: Other attributes of trainer_options.Options.
    """
    options = trainer_options.Options(
        name=name,
        model=model,
        entries=tuple(entries.split(',')),
        weight_store=weight_store,
        books_file=books_file,
        **flags,
    )
    asyncio.run(_run(options))


if __name__ == '__main__':
    sys.exit(fire.Fire(start))
