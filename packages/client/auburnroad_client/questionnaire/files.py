"""Builds and writes the files of a deployment.

These are the answers, the generated configuration for review, and one
settings file for the daemon of each host.
"""

import pathlib

import msgspec

from auburnroad_client.questionnaire import answers as answer_types
from auburnroad_client.questionnaire import generate
from auburnroad_client.questionnaire import render
from auburnroad_core.settings import daemon

ANSWERS_NAME = 'answers.jsonc'
DEPLOYMENT_NAME = 'deployment.json'
SETTINGS_DIRECTORY = 'settings'


def build_files(answers: answer_types.Answers) -> dict[str, str]:
    """Build the text of the generated files.

    Args:
      answers: Checked answers.

    Returns:
      Text by path, relative to the deployment's directory.
    """
    files = {DEPLOYMENT_NAME: _format(generate.build_deployment(answers))}
    for settings in generate.build_daemons(answers):
        path = f'{SETTINGS_DIRECTORY}/{settings.host}.jsonc'
        files[path] = _render_settings(settings)
    return files


def _format(value: msgspec.Struct) -> str:
    return msgspec.json.format(msgspec.json.encode(value)).decode() + '\n'


def _render_settings(settings: daemon.Daemon) -> str:
    heading = (
        f'// Settings of the {settings.role} on host {settings.host}, made'
        ' from the answers.\n// Change the answers, not this file.\n'
    )
    return heading + _format(settings)


def build_answers_file(answers: answer_types.Answers) -> str:
    """Build the text of an answers file.

    Args:
      answers: The answers.

    Returns:
      JSON with the questions as comments.
    """
    heading = f'Answers for the deployment {answers.deployment}.'
    return render.render_commented(answers, heading)


def write_files(directory: str, files: dict[str, str]) -> list[str]:
    """Write files below a directory, which is created if needed.

    Args:
      directory: Path of the deployment's directory.
      files: Text by relative path.

    Returns:
      Paths of the files, in order.

    Raises:
      OSError: If a file can't be written.
    """
    root = pathlib.Path(directory)
    for name, text in files.items():
        path = root / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text, encoding='utf-8')
    return [str(root / name) for name in files]
