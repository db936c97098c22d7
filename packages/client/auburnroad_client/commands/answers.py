"""Commands create, check, diff and answers, which handle answers files."""

import sys

import msgspec

from auburnroad_client import configuration
from auburnroad_client import exit_codes
from auburnroad_client import options as client_options
from auburnroad_client import output
from auburnroad_client import pack
from auburnroad_client.questionnaire import answer_checks
from auburnroad_client.questionnaire import answers as answer_types
from auburnroad_client.questionnaire import ask
from auburnroad_client.questionnaire import compare
from auburnroad_client.questionnaire import files
from auburnroad_client.questionnaire import generate
from auburnroad_client import session

Options = client_options.Options


class CreateResult(msgspec.Struct):
    """Result of create.

    Attributes:
      deployment: Name of the deployment.
      files: Paths of the files written.
    """

    deployment: str
    files: list[str]


class CheckResult(msgspec.Struct):
    """Result of check.

    Attributes:
      deployment: Name of the deployment.
      entries: Number of entry hosts.
      sides: Number of target hosts.
      replicas: Number of replicas on all target hosts.
      trainers: Number of trainers.
    """

    deployment: str
    entries: int
    sides: int
    replicas: int
    trainers: int


class DiffResult(msgspec.Struct):
    """Result of diff.

    Attributes:
      base_revision: Revision in force that the answers were compared with;
        -1 for none.
      answers: Answers that differ.
      configuration: Fields of the published configuration that differ.
      settings: Hosts whose settings differ; their daemons have to be
        restarted.
    """

    base_revision: int
    answers: list[compare.Change]
    configuration: list[compare.Change]
    settings: list[str]


async def create(options: Options, out: str, again: str) -> output.Report:
    """Write the files of a deployment, after the questionnaire if needed.

    Args:
      options: Flags of the command; if they name an answers file, no question
        is asked.
      out: Directory for the files.
      again: Answers file with the defaults of the questions, or empty.

    Returns:
      The files written.

    Raises:
      InvalidInputError: If an answers file has mistakes.
      BadInputError: If the input ends before the last question.
      CommandError: If the files can't be written.
    """
    if options.answers:
        answers = answer_checks.read_answers(options.answers)
    else:
        defaults = answer_checks.read_answers(again) if again else None
        answers = ask.ask_answers(ask.Terminal(), defaults)
    texts = {files.ANSWERS_NAME: files.build_answers_file(answers)}
    texts.update(files.build_files(answers))
    if options.answers:
        # Keep the operator's comments, which a generated file would drop.
        with open(options.answers, encoding='utf-8') as file:
            texts[files.ANSWERS_NAME] = file.read()
    try:
        paths = files.write_files(out, texts)
    except OSError as error:
        raise exit_codes.CommandError(
            f'the files cannot be written: {error}',
            'choose another directory with --out',
        ) from error
    text = '\n'.join([*paths, f'next: auburnroad publish {paths[0]}'])
    return output.Report(CreateResult(answers.deployment, paths), text)


async def check(options: Options, file: str) -> output.Report:
    """Check an answers file and report every mistake.

    Args:
      options: Flags of the command.
      file: Path of the answers file.

    Returns:
      Numbers of entry hosts, target hosts, replicas and trainers.

    Raises:
      InvalidInputError: With every mistake of the file.
    """
    answers = answer_checks.read_answers(file)
    hosts = answers.places.target_hosts
    checked = CheckResult(
        answers.deployment,
        len(answers.places.entry_hosts),
        len(hosts),
        sum(len(host.replicas) for host in hosts),
        len(answers.trainers),
    )
    text = (
        f'{file} has no mistakes: deployment {checked.deployment},'
        f' entry hosts {checked.entries}, target hosts {checked.sides},'
        f' replicas {checked.replicas}, trainers {checked.trainers}'
    )
    return output.Report(checked, text)


async def diff(options: Options, file: str) -> output.Report:
    """Show what publishing an answers file would change.

    Args:
      options: Flags of the command.
      file: Path of the answers file.

    Returns:
      Changes against the revision in force.

    Raises:
      InvalidInputError: With every mistake of the file.
      LogUnavailableError: If the log service can't be read.
    """
    answers = answer_checks.read_answers(file)
    async with session.open_log(options, answers) as log:
        state = await configuration.read_state(log)
    difference = build_difference(state, answers)
    return output.Report(difference, _format_difference(difference))


def build_difference(
    state: configuration.State, answers: answer_types.Answers
) -> DiffResult:
    """Compare answers with the configuration in force.

    Args:
      state: State of the configuration stream.
      answers: Checked answers.

    Returns:
      The changes.
    """
    old_deployment = msgspec.json.decode(state.deployment)
    old_answers = _unpack_answers(state)
    known = configuration.parse_answers(state)
    old_settings = {} if known is None else _index_settings(known)
    new_settings = _index_settings(answers)
    hosts = [
        *old_settings,
        *(h for h in new_settings if h not in old_settings),
    ]
    return DiffResult(
        state.revision,
        compare.compare_values(old_answers or {}, answers),
        compare.compare_values(
            old_deployment or {}, generate.build_deployment(answers)
        ),
        [h for h in hosts if old_settings.get(h) != new_settings.get(h)],
    )


def _unpack_answers(state: configuration.State):
    try:
        return pack.unpack_answers(state.answers)
    except pack.PackError as error:
        raise exit_codes.CommandError(
            f'the answers in force cannot be read: {error}',
            'check whether another client version published them',
        ) from error


def _index_settings(answers):
    return {
        settings.host: settings for settings in generate.build_daemons(answers)
    }


def _format_difference(difference: DiffResult) -> str:
    if not difference.answers:
        return f'no change against revision {difference.base_revision}'
    base = difference.base_revision
    lines = [
        f'against revision {base}:' if base >= 0 else 'nothing is in force:',
        *[f'  {change}' for change in difference.answers],
        'in the configuration:',
        *[f'  {change}' for change in difference.configuration],
    ]
    if difference.settings:
        lines.append(
            'hosts with new settings, whose daemons must be restarted:'
        )
        lines.append('  ' + ', '.join(difference.settings))
    lines.append(f'publish with --base {base} to change just this revision')
    return '\n'.join(lines)


async def fetch_answers(options: Options, out: str) -> output.Report:
    """Fetch the answers in force, for editing and publishing.

    Args:
      options: Flags of the command.
      out: Path of the file to write, or empty for standard output.

    Returns:
      The answers.

    Raises:
      LogUnavailableError: If the log service can't be read.
      NotFoundError: If nothing is in force, or this client can't read it.
      CommandError: If the file can't be written.
    """
    async with session.open_log(options) as log:
        state = await configuration.read_state(log)
    answers = configuration.parse_answers(state)
    if answers is None:
        raise exit_codes.NotFoundError(
            'no answers in force that this client can read'
        )
    text = (
        f'// Revision {state.revision} by {state.author}.\n'
        + files.build_answers_file(answers)
    )
    value = {'revision': state.revision, 'answers': answers}
    if not out:
        return output.Report(value, text.rstrip('\n'))
    try:
        with open(out, 'w', encoding='utf-8') as file:
            file.write(text)
    except OSError as error:
        raise exit_codes.CommandError(str(error)) from error
    print(f'revision {state.revision}', file=sys.stderr)
    return output.Report(value, out)
