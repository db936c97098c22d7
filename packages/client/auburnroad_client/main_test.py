"""Tests of the command line: every exit code, JSON, and mistyped flags."""

import contextlib
import io
import pathlib
import tempfile
import unittest
from unittest import mock

import msgspec

from auburnroad_client import deployments
from auburnroad_client import main
from auburnroad_client import session
from auburnroad_e2e import memory_log

ANSWERS = deployments.find_answers('kiadasi')
NOBODY = '--entry=127.0.0.1:1'


class RunTest(unittest.TestCase):
    """A log in memory takes the place of the log service."""

    def setUp(self):
        self.log = memory_log.MemoryLog()

        @contextlib.asynccontextmanager
        async def open_log(options, answers=None):
            yield self.log

        patcher = mock.patch.object(session, 'open_log', open_log)
        patcher.start()
        self.addCleanup(patcher.stop)

    def run_command(self, *arguments):
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = main.run(list(arguments))
        return code, out.getvalue(), err.getvalue()

    def run_json(self, *arguments):
        code, out, _ = self.run_command(*arguments, '--json')
        return code, msgspec.json.decode(out)

    def test_0_publish_diff_answers_and_audit(self):
        code, value = self.run_json('publish', ANSWERS, '--author=eszter')
        self.assertEqual((0, 0), (code, value['revision']))
        code, value = self.run_json('diff', ANSWERS)
        self.assertEqual((0, []), (code, value['answers']))
        code, value = self.run_json('answers')
        self.assertEqual('kiadasi', value['answers']['deployment'])
        code, value = self.run_json('audit')
        self.assertEqual('in force', value[0]['effect'])
        self.assertEqual('eszter', value[0]['author'])

    def test_2_a_mistyped_flag_runs_nothing(self):
        code, _, err = self.run_command('publish', ANSWERS, '--auther=x')
        self.assertEqual(2, code)
        self.assertIn('--auther', err)
        self.assertEqual(0, self.log.appends)

    def test_2_unknown_commands_and_bad_addresses(self):
        self.assertEqual(2, self.run_command('statu')[0])
        self.assertEqual(2, self.run_command('status', '--entry=here')[0])
        self.assertEqual(2, self.run_command('wait', 'soon')[0])

    def test_2_mistakes_come_with_their_places(self):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / 'a.jsonc'
            path.write_text('{"deployment": 7,\n "extra": 1}')
            code, value = self.run_json('check', str(path))
        self.assertEqual((2, 'bad_input'), (code, value['error']['code']))
        lines = [
            mistake['source']['line'] for mistake in value['error']['mistakes']
        ]
        self.assertIn(2, lines)

    def test_3_conflict(self):
        self.run_command('publish', ANSWERS)
        code, _, err = self.run_command('publish', ANSWERS, '--base=-1')
        self.assertEqual(3, code)
        self.assertIn('revision 0 by', err)
        self.assertIn('--base 0', err)

    def test_4_platform_unavailable(self):
        self.log.down = True
        self.assertEqual(4, self.run_command('publish', ANSWERS)[0])
        self.assertEqual(4, self.run_command('status', NOBODY)[0])

    def test_5_timed_out(self):
        code, _, err = self.run_command(
            'wait', '0', NOBODY, '--timeout_seconds=0.01'
        )
        self.assertEqual(5, code)
        self.assertIn('no answer', err)

    def test_6_outcome_unknown(self):
        self.log.hold_appends = 1000
        code, _, err = self.run_command(
            'publish', ANSWERS, '--timeout_seconds=0.2'
        )
        self.assertEqual(6, code)
        self.assertIn('audit', err)

    def test_7_not_found(self):
        self.assertEqual(7, self.run_command('answers')[0])

    def test_create_writes_what_check_accepts(self):
        with tempfile.TemporaryDirectory() as directory:
            code, value = self.run_json(
                'create', f'--answers={ANSWERS}', f'--out={directory}'
            )
            self.assertEqual(0, code)
            self.assertEqual(8, len(value['files']))
            self.assertEqual(
                0, self.run_command('check', value['files'][0])[0]
            )

    def test_help_at_each_level(self):
        code, out, _ = self.run_command('--help')
        self.assertEqual(0, code)
        for name in ('create', 'publish', 'audit', 'explain'):
            self.assertIn(name, out)
            code, text, _ = self.run_command(name, '--help')
            self.assertEqual(0, code)
            self.assertIn(f'auburnroad {name}', text)
