"""Switches one mechanism off at a time and sees its check fail.

    python -m auburnroad_e2e.mutations [NAME...] [--jobs=N]

The files of packages/e2e/mutations hold the edits. Each is made in a scratch
copy of the packages, against which the named unit tests and scenarios run. A
check counts as seen failing only if it fails for the reason that the file
names, so that a crash or a busy machine proves nothing.
"""

import asyncio
import os
import pathlib
import shutil
import signal
import sys
import tempfile

import fire
import msgspec

from auburnroad_core import errors
from auburnroad_e2e import known_red
from auburnroad_e2e.launch import commands

DIRECTORY = known_red.ROOT / 'packages' / 'e2e' / 'mutations'
CHECK_SECONDS = 240.0
JOBS = 2
REASON_CHARACTERS = 160
PROGRAMS = ('auburnroadd', 'auburnroad')
# Directories that a scratch copy contains.
SOURCES = ('packages', 'platform')
KINDS = {
    'unit': 'auburnroad_e2e.unit',
    'scenario': 'auburnroad_e2e.scenarios',
}


class MutationError(errors.AuburnroadError):
    """An edit that can't be made, or a copy that isn't what runs."""


class Check(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What must fail under a mutation.

    Attributes:
      run: 'unit PATTERN' or 'scenario NAME'.
      sees: Text that stands in the reason of the failure.
    """

    run: str
    sees: str


class Edit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One edit of a module.

    Attributes:
      file: Path of the module under packages.
      old: Lines that stand there, exactly once.
      new: Lines that take their place.
    """

    file: str
    old: list[str]
    new: list[str]


class Mutation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One mechanism that is switched off.

    Attributes:
      name: Short name.
      promise: What the mechanism holds, as docs/PROMISES.md calls it.
      off: The fault that the edits make, in words.
      edits: One edit, or several where one mechanism backs another.
      checks: What must fail.
    """

    name: str
    promise: str
    off: str
    edits: list[Edit]
    checks: list[Check]


def load_mutations(names: tuple[str, ...]) -> list[Mutation]:
    """Read the mutations.

    Args:
      names: Names of mutations; all when empty.

    Returns:
      The mutations by file and place.

    Raises:
      MutationError: If a name is unknown.
    """
    known = []
    for path in sorted(DIRECTORY.glob('*.json')):
        known += msgspec.json.decode(path.read_bytes(), type=list[Mutation])
    unknown = set(names) - {mutation.name for mutation in known}
    if unknown:
        raise MutationError(f'unknown: {", ".join(sorted(unknown))}')
    return [one for one in known if not names or one.name in names]


def mutate(text: str, edit: Edit) -> str:
    """Make an edit.

    Args:
      text: Text of the module.
      edit: The edit.

    Returns:
      Text of the module without the mechanism.

    Raises:
      MutationError: If the old lines do not stand there exactly once.
    """
    old = ''.join(f'{line}\n' for line in edit.old)
    count = text.count(old)
    if count != 1:
        raise MutationError(
            f'the old lines stand {count} times in {edit.file}: {edit.old[0]}'
        )
    return text.replace(old, ''.join(f'{line}\n' for line in edit.new))


def find_reason(output: str, kind: str) -> str | None:
    """Find why a check failed.

    Args:
      output: What its runner printed.
      kind: 'unit' or 'scenario'.

    Returns:
      One line; None when no test of it failed.
    """
    lines = output.splitlines()
    if kind == 'scenario':
        failed = [line for line in lines if line.startswith('FAIL ')]
        return failed[0] if failed else None
    for number, line in enumerate(lines):
        if line.startswith(('FAIL: ', 'ERROR: ')):
            return f'{line}: {_find_error(lines[number:])}'
    return None


def _find_error(lines: list[str]) -> str:
    """Find the line of a traceback that names its error."""
    for line in lines[2:]:
        name = line.partition(':')[0]
        if name.endswith(('Error', 'Exception')) and ' ' not in name:
            return line
    return ''


def build_environment(copy: pathlib.Path) -> dict[str, str]:
    """Build the environment in which the copy comes before what is installed.

    Args:
      copy: The scratch copy's root.

    Returns:
      The environment.
    """
    sources = [*sorted((copy / 'packages').iterdir()), copy / 'platform']
    path = os.pathsep.join(map(str, sources))
    return {**os.environ, 'PYTHONPATH': path, 'PYTHONDONTWRITEBYTECODE': '1'}


def make_copy(mutation: Mutation, copy: pathlib.Path) -> None:
    """Copy all sources and make the edits in the copy.

    Args:
      mutation: The mutation.
      copy: The scratch copy's root.

    Raises:
      MutationError: If an edit can't be made.
    """
    for name in SOURCES:
        shutil.copytree(
            known_red.ROOT / name,
            copy / name,
            ignore=shutil.ignore_patterns('__pycache__', '*.egg-info'),
        )
    shutil.copy(known_red.PATH, copy)
    for edit in mutation.edits:
        path = copy / 'packages' / edit.file
        text = mutate(path.read_text(encoding='utf-8'), edit)
        compile(text, edit.file, 'exec')
        path.write_text(text, encoding='utf-8')


async def run_program(
    arguments: list[str], copy: pathlib.Path, **variables: str
) -> str:
    """Run a program against the copy, for a limited time.

    Args:
      arguments: Program and arguments.
      copy: The scratch copy's root.
      variables: Further variables of the environment.

    Returns:
      What it printed.
    """
    process = await asyncio.create_subprocess_exec(
        *arguments,
        cwd=copy,
        env={**build_environment(copy), **variables},
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
        start_new_session=True,
    )
    try:
        output, _ = await asyncio.wait_for(
            process.communicate(), CHECK_SECONDS
        )
    except TimeoutError:
        return ''
    finally:
        if process.returncode is None:
            os.killpg(process.pid, signal.SIGKILL)
            await process.wait()
    return output.decode('utf-8', 'replace')


async def check_copy(mutation: Mutation, copy: pathlib.Path) -> None:
    """Check that daemons and client import the copy, not what is installed.

    Args:
      mutation: The mutation.
      copy: The scratch copy's root.

    Raises:
      MutationError: If a package came from elsewhere.
    """
    for program in PROGRAMS:
        output = await run_program(
            [str(commands.BIN / program), '--help'], copy, PYTHONVERBOSE='1'
        )
        imported = [
            line
            for line in output.splitlines()
            if line.startswith('# code object from') and '/auburnroad_' in line
        ]
        wrong = [line for line in imported if str(copy) not in line]
        if wrong or not imported:
            raise MutationError(
                f'{mutation.name}: {program} does not run the copy: '
                f'{wrong[:1] or "no module of ours"}'
            )
    for edit in mutation.edits:
        # The path may lead to the platform's package, beside packages.
        start = edit.file.index('auburnroad_')
        name = edit.file[start:].removesuffix('.py').replace('/', '.')
        code = f'import {name} as m; print("from", m.__file__)'
        output = await run_program([sys.executable, '-c', code], copy)
        if f'from {copy}' not in output:
            raise MutationError(f'{mutation.name}: {output.strip()[-200:]}')


async def run_check(check: Check, copy: pathlib.Path) -> tuple[bool, str]:
    """Run a check against the copy.

    Args:
      check: The check.
      copy: The scratch copy's root.

    Returns:
      Whether it was seen failing for its reason, and what was seen.
    """
    kind, _, name = check.run.partition(' ')
    output = await run_program([sys.executable, '-m', KINDS[kind], name], copy)
    reason = find_reason(output, kind)
    if reason is None:
        tail = output.strip().splitlines()[-1:] or ['the time is up']
        return False, tail[0]
    return check.sees in reason, reason


async def run_mutation(mutation: Mutation, limit: asyncio.Semaphore) -> bool:
    """Run a mutation and print a line for each of its checks.

    Args:
      mutation: The mutation.
      limit: Lets only a few run at a time.

    Returns:
      Whether each of its checks was seen failing.
    """
    async with limit:
        with tempfile.TemporaryDirectory(prefix='auburnroad-off-') as text:
            copy = pathlib.Path(text).resolve()
            try:
                make_copy(mutation, copy)
                await check_copy(mutation, copy)
            except MutationError as error:
                print(f'BROKEN: {mutation.name}: {error}', flush=True)
                return False
            seen = [
                await _report(mutation, check, copy)
                for check in mutation.checks
            ]
    return all(seen)


async def _report(
    mutation: Mutation, check: Check, copy: pathlib.Path
) -> bool:
    seen, reason = await run_check(check, copy)
    word = 'seen failing' if seen else 'NOT seen failing'
    shown = reason[:REASON_CHARACTERS]
    print(f'{word}: {mutation.name}, {check.run}: {shown}', flush=True)
    return seen


async def run_all(mutations: list[Mutation], jobs: int) -> list[bool]:
    """Run mutations, a few at a time.

    Args:
      mutations: The mutations.
      jobs: How many run at a time.

    Returns:
      For each, whether each of its checks was seen failing.
    """
    limit = asyncio.Semaphore(jobs)
    return await asyncio.gather(
        *(run_mutation(mutation, limit) for mutation in mutations)
    )


def main(*names: str, jobs: int = JOBS) -> None:
    """Run mutations.

    Args:
      names: Names of mutations; all when left out.
      jobs: How many run at a time.
    """
    seen = asyncio.run(run_all(load_mutations(names), jobs))
    missed = len(seen) - sum(seen)
    print(f'mutations: {sum(seen)} seen failing, {missed} not')
    if missed or not seen:
        sys.exit(1)


if __name__ == '__main__':
    fire.Fire(main)
