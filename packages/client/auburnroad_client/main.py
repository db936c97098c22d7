"""Entry point of the console script auburnroad.

Fire parses the command and its flags; the command runs only after all of them
were accepted. Errors are shown without a traceback and end with the exit
codes of exit_codes.py.
"""

import asyncio
import contextlib
import getpass
import os
import sys
import typing

import fire

from auburnroad_client import arguments
from auburnroad_client.commands import accounts as account_commands
from auburnroad_client.commands import answers as answer_commands
from auburnroad_client.commands import hosts
from auburnroad_client.commands import inspection
from auburnroad_client.commands import logs as log_commands
from auburnroad_client.commands import publishing
from auburnroad_client.commands import routes as route_commands
from auburnroad_client.commands import waiting
from auburnroad_client import exit_codes
from auburnroad_client import options as client_options
from auburnroad_client import output
from auburnroad_client import plan
from auburnroad_core import errors

PROGRAM_NAME = 'auburnroad'
HELP_FLAGS = ('--help', '-h')
INTERRUPTED_EXIT_CODE = 130
APPEND_TIMEOUT_SECONDS = 30.0
WAIT_TIMEOUT_SECONDS = 60.0


class Commands:
    """Operate a deployment of auburnroad.

    A deployment is created from the answers to a questionnaire and changed by
    editing the answers. Usual order: create, check, diff, publish, wait.

    Flags of every command:
      --json                 print one JSON document for programs
      --answers FILE         answers file with the addresses; by default
                             ./answers.jsonc if it exists
      --log_service IP:PORT  address of the log service
      --entry IP:PORT,...    HTTP addresses of entries to query

    Exit codes: 0 done, 1 failed, 2 bad usage or answers, 3 conflict with
    another operator, 4 platform or daemons unavailable and nothing changed,
    5 timed out waiting, 6 outcome unknown, 7 not found.
    """

    __slots__ = ('_options',)

    def __init__(
        self,
        json: str = '',
        log_service: str = '',
        entry: str = '',
        answers: str = '',
    ):
        self._options = client_options.build_options(
            json == 'True', log_service, entry, answers
        )

    def create(self, out: str, again: str = ''):
        """Create the files of a deployment from a questionnaire.

        Asks at the terminal, or uses --answers FILE unchanged. Writes
        answers.jsonc, deployment.json and settings/HOST.jsonc for each host.

        Args:
          out: Directory for the files.
          again: Answers file with the defaults of the questions.
        """
        return plan.Plan(answer_commands.create, self._options, out, again)

    def check(self, file: str):
        """Check an answers file and show every mistake at once.

        Args:
          file: Path of the answers file.
        """
        return plan.Plan(answer_commands.check, self._options, file)

    def diff(self, file: str):
        """Show what an answers file would change.

        Compares with the revision in force and changes nothing.

        Args:
          file: Path of the answers file.
        """
        return plan.Plan(answer_commands.diff, self._options, file)

    def answers(self, out: str = ''):
        """Show the answers in force, for editing and publishing.

        Args:
          out: Path of the file to write; standard output if omitted.
        """
        return plan.Plan(answer_commands.fetch_answers, self._options, out)

    def publish(
        self,
        file: str,
        author: str = '',
        base: str = '',
        timeout_seconds: str = str(APPEND_TIMEOUT_SECONDS),
    ):
        """Publish the configuration that an answers file generates.

        Reports success only after the record was read back as effective.

        Args:
          file: Path of the answers file.
          author: Your name for the audit trail; the login name if omitted.
          base: Revision that your answers are based on, as shown by diff; the
            revision in force if omitted.
          timeout_seconds: Seconds after which the command stops retrying.
        """
        return plan.Plan(
            publishing.publish,
            self._options,
            file,
            author or getpass.getuser(),
            arguments.parse_number('base', base, int) if base else None,
            arguments.parse_number('timeout_seconds', timeout_seconds, float),
        )

    def wait(
        self,
        revision: str,
        timeout_seconds: str = str(WAIT_TIMEOUT_SECONDS),
        skip_silent: str = '',
    ):
        """Wait until a revision is in force on all daemons.

        Args:
          revision: Number of the revision; a higher revision counts too.
          timeout_seconds: Longest wait in seconds.
          skip_silent: Ignore daemons that don't answer.
        """
        return plan.Plan(
            waiting.wait,
            self._options,
            arguments.parse_number('revision', revision, int),
            arguments.parse_number('timeout_seconds', timeout_seconds, float),
            skip_silent == 'True',
        )

    def status(self):
        """Show daemons, hosts, replicas, trainers and versions."""
        return plan.Plan(inspection.status, self._options)

    def audit(self, limit: str = '50'):
        """Show who changed what and when, and what is in force.

        Args:
          limit: Number of the latest changes to show, 0 for all.
        """
        return plan.Plan(
            inspection.audit,
            self._options,
            abs(arguments.parse_number('limit', limit, int)),
        )

    def drain(
        self,
        host: str,
        author: str = '',
        timeout_seconds: str = str(APPEND_TIMEOUT_SECONDS),
    ):
        """Stop new work on a target host; running work finishes.

        Args:
          host: Target host's name.
          author: Your name for the audit trail; the login name if omitted.
          timeout_seconds: Seconds after which the command stops retrying.
        """
        return self._build_order_plan(host, True, author, timeout_seconds)

    def undrain(
        self,
        host: str,
        author: str = '',
        timeout_seconds: str = str(APPEND_TIMEOUT_SECONDS),
    ):
        """Let a drained host accept work again.

        Args:
          host: Host's name.
          author: Your name for the audit trail; the login name if omitted.
          timeout_seconds: Seconds after which the command stops retrying.
        """
        return self._build_order_plan(host, False, author, timeout_seconds)

    def explain(self, id: str, logs: str = ''):
        """Show the events of one sample or request.

        Args:
          id: Request id: from the auburnroad-request-id header of an answer,
            or the request_id of a sample that a trainer received. With --logs
            also the id of a batch, item or replica, or a host's name.
          logs: Comma-separated log files or directories of gateways, to read
            instead of querying daemons.
        """
        if logs:
            return plan.Plan(
                log_commands.explain,
                self._options,
                str(id),
                log_commands.split_paths(logs),
            )
        return plan.Plan(inspection.explain, self._options, id)

    def summarize(self, logs: str, from_ms=0, until_ms=0, plot: str = ''):
        """Count failures in the logs of gateways by cause.

        Args:
          logs: Comma-separated log files or directories.
          from_ms: Unix milliseconds; earlier lines are ignored.
          until_ms: Unix milliseconds; later lines are ignored, 0 for no limit.
          plot: File for a plot of failures over time (.png, .svg).
        """
        return plan.Plan(
            log_commands.summarize,
            self._options,
            log_commands.split_paths(logs),
            arguments.parse_number('from_ms', from_ms, int),
            arguments.parse_number('until_ms', until_ms, int),
            plot,
        )

    def steps(self, logs: str):
        """Show where the time of training steps went, from gateways' logs.

        Args:
          logs: Comma-separated log files or directories.
        """
        return plan.Plan(
            log_commands.show_steps,
            self._options,
            log_commands.split_paths(logs),
        )

    def routes(
        self,
        file: str,
        host: str = '',
        service: str = '',
        problems: bool = False,
    ):
        """Show the routes in a configuration record, grouped.

        Args:
          file: File with the operators' configuration record.
          host: Show only routes of this host.
          service: Show only routes to this service.
          problems: Show only routes that are duplicates, change nothing or
            lack a service.
        """
        return plan.Plan(
            route_commands.show_routes,
            self._options,
            file,
            host,
            service,
            problems,
        )

    def route_changes(self, old: str, new: str):
        """Show what a configuration record changes for which callers.

        Args:
          old: File with the earlier configuration record.
          new: File with the later configuration record.
        """
        return plan.Plan(route_commands.show_changes, self._options, old, new)

    def accounts(self, file: str):
        """Show the accounts in a configuration record, without their keys.

        Args:
          file: File with the operators' configuration record.
        """
        return plan.Plan(account_commands.show_accounts, self._options, file)

    def _build_order_plan(self, host, draining, author, timeout_seconds):
        return plan.Plan(
            hosts.order,
            self._options,
            host,
            draining,
            author or getpass.getuser(),
            arguments.parse_number('timeout_seconds', timeout_seconds, float),
        )


def _parse_command(given: list[str]) -> plan.Plan | None:
    """Parse the arguments with Fire, which may show help instead."""
    words = [word for word in given if word not in HELP_FLAGS]
    if words == ['help']:
        words = []
    asks_help = len(words) < len(given)
    if asks_help and words:
        words += ['--', '--help']
    help_stream = sys.stdout if asks_help else sys.stderr
    with contextlib.redirect_stderr(help_stream):
        command = fire.Fire(Commands, words, PROGRAM_NAME, _hide_plan)
    return command if isinstance(command, plan.Plan) else None


def _hide_plan(result: typing.Any) -> typing.Any:
    return None if isinstance(result, plan.Plan) else result


def run(words: list[str]) -> int:
    """Run one command.

    Args:
      words: Arguments after the program's name.

    Returns:
      The exit code.
    """
    as_json = '--json' in words
    try:
        command = _parse_command(arguments.normalize(words))
        if command is not None:
            report = asyncio.run(plan.execute(command))
            output.print_report(report, as_json)
    except fire.core.FireExit as error:
        return error.code
    except (errors.AuburnroadError, errors.InvalidInputError) as error:
        failure = output.build_failure(error)
        output.print_failure(failure, as_json)
        return failure.exit_code
    return exit_codes.ExitCode.OK


def main() -> int:
    """Run the command of this process.

    Returns:
      The exit code.
    """
    # Fire would otherwise show help in a pager.
    os.environ.setdefault('PAGER', 'cat')
    try:
        return run(sys.argv[1:])
    except KeyboardInterrupt:
        output.print_progress(
            'interrupted; auburnroad audit shows whether a change took effect'
        )
        return INTERRUPTED_EXIT_CODE
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return exit_codes.ExitCode.FAILED


if __name__ == '__main__':
    sys.exit(main())
