"""Answers files of the two example deployments."""

import pathlib

DIRECTORY = pathlib.Path(__file__).parent
NAMES = ('kiadasi', 'kehys')


def find_answers(name: str) -> str:
    """Find the answers file of a shipped deployment.

    Args:
      name: One of NAMES.

    Returns:
      Path of the file.
    """
    return str(DIRECTORY / f'{name}.jsonc')
