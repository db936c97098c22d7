"""Runs scenario scripts with real processes, a line each.

    python -m auburnroad_e2e.scenarios [NAME...] [--seed=N] [--parallel=N]

Scripts stand in packages/e2e/scenarios. The entries of KNOWN-RED.txt whose
test is 'scenario NAME' are run by name only.
"""

import asyncio
import pathlib
import shutil
import sys
import tempfile

import fire

from auburnroad_e2e import known_red
from auburnroad_e2e.scenario import run
from auburnroad_e2e.scenario import script

DIRECTORY = known_red.ROOT / 'packages' / 'e2e' / 'scenarios'
SEED = 20261203
PARALLEL = 3


def load_scripts(names: tuple[str, ...]) -> list[script.Script]:
    """Read and parse scripts.

    Args:
      names: Names of scripts; all when empty.

    Returns:
      The scripts by name.

    Raises:
      InvalidInputError: If one of them isn't in the language.
    """
    paths = sorted(DIRECTORY.glob('*.scenario'))
    return [
        script.parse_script(path.stem, path.read_text(encoding='utf-8'))
        for path in paths
        if not names or path.stem in names
    ]


async def run_one(
    scenario: script.Script, seed: int, limit: asyncio.Semaphore, keep: bool
) -> bool:
    """Run a scenario and print its line.

    Args:
      scenario: The scenario.
      seed: Seed of all choices.
      limit: Lets only a few run at a time.
      keep: Whether logs and books stay.

    Returns:
      Whether it passed.
    """
    async with limit:
        directory = pathlib.Path(
            tempfile.mkdtemp(prefix=f'auburnroad-{scenario.name}-')
        )
        outcome = await run.run_script(scenario, directory, seed)
    name = f'{scenario.name} ({outcome.seconds:.1f} s)'
    if outcome.recovery_ms:
        times = ', '.join(f'{ms / 1000:.1f}' for ms in outcome.recovery_ms)
        name += f' (next step after a kill: {times} s)'
    if outcome.passed:
        print(f'pass {name}: {scenario.title}', flush=True)
    else:
        print(f'FAIL {name}: {outcome.reason}', flush=True)
    if keep or not outcome.passed:
        print(f'     logs and books: {directory}', flush=True)
    else:
        shutil.rmtree(directory)
    return outcome.passed


async def run_all(
    scripts: list[script.Script], seed: int, parallel: int, keep: bool
) -> list[bool]:
    """Run scenarios, a few at a time.

    Args:
      scripts: The scenarios.
      seed: Seed of all choices.
      parallel: How many run at a time.
      keep: Whether logs and books stay.

    Returns:
      For each, whether it passed.
    """
    limit = asyncio.Semaphore(parallel)
    return await asyncio.gather(
        *(run_one(scenario, seed, limit, keep) for scenario in scripts)
    )


def main(
    *names: str, seed: int = SEED, parallel: int = PARALLEL, keep: bool = False
) -> None:
    """Run scenarios.

    Args:
      names: Names of scripts; all but the known red ones when left out.
      seed: Seed of all choices.
      parallel: How many run at a time.
      keep: Whether logs and books stay also when a scenario passes.
    """
    entries = known_red.read_entries()
    red = {entry.test for entry in entries}
    scripts = [
        scenario
        for scenario in load_scripts(names)
        if names or f'scenario {scenario.name}' not in red
    ]
    passed = asyncio.run(run_all(scripts, seed, parallel, keep))
    known_red.print_entries(
        [entry for entry in entries if entry.test.startswith('scenario ')]
    )
    failed = len(passed) - sum(passed)
    print(f'scenarios: {sum(passed)} passed, {failed} failed, seed {seed}')
    if failed or not passed:
        sys.exit(1)


if __name__ == '__main__':
    fire.Fire(main)
