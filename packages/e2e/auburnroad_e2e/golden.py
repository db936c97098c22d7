"""Compares whole sessions with their golden files.

    python -m auburnroad_e2e.golden [NAME...] [--update]

The sessions run one after the other on one deployment. A difference is shown
line by line; --update writes the files anew, to be read before a commit.
"""

import asyncio
import difflib
import pathlib
import sys
import tempfile

import fire

from auburnroad_e2e import cluster as clusters
from auburnroad_e2e import known_red
from auburnroad_e2e.launch import commands
from auburnroad_e2e.launch import shape
from auburnroad_e2e.sessions import caller
from auburnroad_e2e.sessions import operator
from auburnroad_e2e.sessions import trainer
from auburnroad_e2e.sessions import transcript

DIRECTORY = known_red.ROOT / 'packages' / 'e2e' / 'golden'
DEPLOYMENT = 'kiadasi'
# The trainer publishes the weights that the caller's answers come from, and
# the operator's drain comes last.
ORDER = ('trainer', 'caller', 'operator')

# Importing a module registers its session.
MODULES = (caller, operator, trainer)


async def run_sessions(directory: pathlib.Path) -> dict[str, str]:
    """Run all sessions.

    Args:
      directory: Where logs go.

    Returns:
      The normalised transcript of each.
    """
    answers = shape.shrink(shape.load_answers(DEPLOYMENT))
    cluster = clusters.Cluster(answers, directory, commands.Options())
    texts = {}
    try:
        await cluster.start()
        for name in ORDER:
            session = transcript.Transcript(cluster)
            await transcript.SESSIONS.get(name)(session)
            texts[name] = session.text
    finally:
        await cluster.close()
    return texts


def compare(name: str, text: str) -> bool:
    """Compare a session with its golden file and show the difference.

    Args:
      name: Session's name.
      text: Its transcript.

    Returns:
      Whether they are the same.
    """
    path = _build_path(name)
    golden = path.read_text(encoding='utf-8') if path.exists() else ''
    difference = list(
        difflib.unified_diff(
            golden.splitlines(),
            text.splitlines(),
            f'{name}.golden',
            'this run',
            lineterm='',
        )
    )
    print(f'{"FAIL" if difference else "pass"} session of the {name}')
    for line in difference:
        print(line)
    return not difference


def _build_path(name: str) -> pathlib.Path:
    return DIRECTORY / f'{name}.golden'


def main(*names: str, update: bool = False) -> None:
    """Run the sessions and compare them.

    Args:
      names: Sessions to compare; all when left out.
      update: Whether to write the files anew.
    """
    with tempfile.TemporaryDirectory(prefix='auburnroad-golden-') as directory:
        texts = asyncio.run(run_sessions(pathlib.Path(directory)))
    chosen = {n: t for n, t in texts.items() if not names or n in names}
    if update:
        for name, text in chosen.items():
            _build_path(name).write_text(text, encoding='utf-8')
        return
    same = [compare(name, text) for name, text in chosen.items()]
    print(f'golden: {sum(same)} passed, {len(same) - sum(same)} failed')
    if not all(same):
        sys.exit(1)


if __name__ == '__main__':
    fire.Fire(main)
