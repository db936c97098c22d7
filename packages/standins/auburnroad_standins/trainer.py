"""A trainer: submits groups, takes whole steps and publishes new weights.

It keeps the next step submitted ahead, asks its question again at another
entry when one fails, and does what docs/API.md says for each refusal. Its
books say what it submitted and what it took, for the verdict of a run.
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

ANSWER_MARGIN_SECONDS = 1.5
STORE_TIMEOUT_SECONDS = 10.0
PAUSE_SECONDS = 0.05
WEIGHT_BYTES = 65536

REFUSALS = registry.Registry('refusal')


class Trainer:
    """One trainer's state between its questions."""

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
            options.wait_seconds + ANSWER_MARGIN_SECONDS,
        )
        self._generations: dict[int, int] = {}
        self._prompts: dict[tuple[int, str], str] = {}

    async def run(self) -> None:
        """Take steps until there are enough of them."""
        watch = asyncio.create_task(self._entries.run())
        try:
            await self._run()
        finally:
            watch.cancel()

    def generation(self, step: int) -> int:
        """Tell under which generation a step stands."""
        return self._generations.get(step, 0)

    async def submit(self, step: int) -> None:
        """Submit the groups of a step; a repetition changes nothing.

        Args:
          step: Number of the step.
        """
        groups = trainer_options.build_groups(self.options, step)
        for group in groups:
            self._prompts[step, group.name] = group.prompt
        generation = self.generation(step)
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
        response = await self._ask('PUT', f'steps/{step}/groups', body)
        _check_taken_in(response)

    async def give_up(self, step: int) -> None:
        """Void a sealed step that was not taken, and submit it anew.

        Args:
          step: Number of the step.
        """
        body = {'generation': self.generation(step)}
        response = await self._ask('POST', f'steps/{step}/void', body)
        answer = msgspec.json.decode(response.body)
        if 'generation' not in answer:
            raise entry_pool.UnknownAnswerError(
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
        past = record_file.read_records(self.options.books_file)
        taken = [r['step'] for r in past if r['event'] == 'taken']
        self.version = max(
            (r['version'] for r in past if r['event'] == 'version'),
            default=0,
        )
        self._remember(past)
        first = max(taken, default=0) + 1
        await self._publish(max(1, self.version))
        await self._take_steps(first)
        self.books.write('finished', trainer=self.options.name)

    def _remember(self, past: list[dict]) -> None:
        """Take over what the books say, after a restart."""
        for record in past:
            if record['event'] == 'voided':
                self._generations[record['step']] = record['generation']

    async def _take_steps(self, first: int) -> None:
        step = first
        last = first + self.options.steps - 1 if self.options.steps else None
        await self.submit(step)
        while not self.stopping and (last is None or step <= last):
            if last is None or step < last:
                await self.submit(step + 1)
            await self._take(step)
            await asyncio.sleep(self.options.train_ms / clock.MS_PER_SECOND)
            self.books.write('trained', step=step, version=self.version)
            for _ in range(self.options.versions_per_step):
                await self._publish(self.version + 1)
            step += 1

    async def _take(self, step: int) -> None:
        asked_ms = clock.time_now_ms()
        wait = {'prefer': f'wait={self.options.wait_seconds:g}'}
        while True:
            target = (
                f'steps/{step}?version={self.version}'
                f'&generation={self.generation(step)}'
            )
            response = await self._ask('GET', target, None, wait)
            if response.status == 200:
                break
            code = entry_pool.error_code(response)
            handle = REFUSALS.get(code)
            await handle(self, step, response)
        self._write_taken(step, asked_ms, response)
        if self.options.ask_twice:
            await self._ask_twice(target, response)

    async def _ask_twice(self, target, response) -> None:
        self._entries.rotate()
        again = await self._ask('GET', target)
        same = again.status == 200 and again.body == response.body
        self.books.write('asked-twice', target=target, same=same)

    def _write_taken(self, step, asked_ms, response) -> None:
        contents = msgspec.json.decode(response.body)
        samples = [
            self._describe(contents, group, sample)
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

    def _describe(self, contents, group, sample) -> dict:
        """Judge one sample by what its engine ought to have said."""
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
        """Store the weights of a version, then tell that they are there."""
        target = f'/weights/{self.options.model}/{version}'
        weights = random.Random(target).randbytes(WEIGHT_BYTES)
        request = messages.Request('PUT', target, {}, weights)
        while not await self._store(request):
            await asyncio.sleep(PAUSE_SECONDS)
        self.version = version
        self.books.write('version', version=version)
        response = await self._ask('PUT', 'version', {'version': version})
        _check_taken_in(response)

    async def _store(self, request) -> bool:
        address = self.options.weight_store
        try:
            response = await self._client.fetch(
                address, request, STORE_TIMEOUT_SECONDS
            )
        except client.HttpError:
            return False
        return response.status < 300

    async def _ask(
        self, method, path, value=None, headers=None
    ) -> messages.Response:
        request = client.json_request(
            method, f'/v1/trainers/{self.options.name}/{path}', value, headers
        )
        return await self._entries.ask(request)


def compute_digest(body: bytes) -> str:
    """Compute the digest of a step's contents from the bytes that came.

    Args:
      body: The step as JSON, whose last member is the digest that is claimed.

    Returns:
      Hexadecimal xxh3_128 of the body without that member.
    """
    contents, _, _ = body.rpartition(b',"digest":"')
    return xxhash.xxh3_128_hexdigest(contents + b'}')


def _check_taken_in(response: messages.Response) -> None:
    """Raise on a conflict that a trainer that keeps to the rules can't meet.

    Raises:
      UnknownAnswerError: If there is one.
    """
    if response.status >= 300:
        raise entry_pool.UnknownAnswerError(repr(response.body))


@REFUSALS.register('unknown_step')
async def submit_again(trainer: Trainer, step: int, response) -> None:
    """Submit a step that no entry holds any more."""
    await trainer.submit(step)


@REFUSALS.register('step_not_ready')
async def come_back(trainer: Trainer, step: int, response) -> None:
    """Ask again when the entry says."""
    await asyncio.sleep(entry_pool.retry_after_seconds(response))


@REFUSALS.register('sealed_contents_lost')
@REFUSALS.register('sealed_step_stale')
async def void_step(trainer: Trainer, step: int, response) -> None:
    """Give a step up that was sealed and never came here."""
    trainer.books.write(
        'lost', step=step, code=entry_pool.error_code(response)
    )
    await trainer.give_up(step)


async def _run(options: trainer_options.Options) -> None:
    trainer = Trainer(options)

    def stop():
        trainer.stopping = True

    stopping.on_sigterm(stop)
    await trainer.run()


def start(name, model, entries, weight_store, books_file, **flags) -> None:
    """Run one trainer.

    Args:
      name: Trainer's name.
      model: Model whose weights it publishes.
      entries: Addresses of the entries, joined by commas.
      weight_store: Address of the weight store.
      books_file: Path of its books.
      flags: Further members of Options.
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
