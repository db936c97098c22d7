"""Runs every unit test of the workspace, but for those of KNOWN-RED.txt.

Tests stand beside what they test, as '<module>_test.py'. The closing line
counts what passed and what failed.
"""

import faulthandler
import random
import sys
import unittest

import hypothesis

from auburnroad_e2e import known_red

SEED = 20261203
# A run that hangs ends with the stacks of all threads: some ten times what it
# takes on a machine that is busy with other work.
HANG_SECONDS = 1800


def iterate_tests(suite):
    """Flatten a suite.

    Args:
      suite: A test suite.

    Yields:
      Its test cases.
    """
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from iterate_tests(test)
        else:
            yield test


def load_tests(pattern: str) -> list[unittest.TestCase]:
    """Find the tests of all packages.

    Args:
      pattern: Only tests whose id contains it; empty for all.

    Returns:
      The test cases.
    """
    cases = []
    packages = sorted((known_red.ROOT / 'packages').iterdir())
    for package in (*packages, known_red.ROOT / 'platform'):
        suite = unittest.TestLoader().discover(
            str(package / f'auburnroad_{package.name}'),
            pattern='*_test.py',
            top_level_dir=str(package),
        )
        cases.extend(iterate_tests(suite))
    return [case for case in cases if pattern in case.id()]


def make_repeatable() -> None:
    """Let no test depend on chance, on earlier runs or on the machine's load.

    Tests of properties take the same examples each time, and neither an
    example's time nor the time to build one decides.
    """
    random.seed(SEED)
    hypothesis.settings.register_profile(
        'repeatable',
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=[hypothesis.HealthCheck.too_slow],
    )
    hypothesis.settings.load_profile('repeatable')


def main() -> int:
    """Run the tests.

    Returns:
      Zero when nothing failed.
    """
    make_repeatable()
    faulthandler.dump_traceback_later(HANG_SECONDS, exit=True)
    pattern = sys.argv[1] if len(sys.argv) > 1 else ''
    entries = known_red.read_entries()
    red = {entry.test for entry in entries}
    cases = [case for case in load_tests(pattern) if case.id() not in red]
    runner = unittest.TextTestRunner(buffer=True, verbosity=2)
    result = runner.run(unittest.TestSuite(cases))
    known_red.print_entries(entries)
    failed = len(result.failures) + len(result.errors)
    print(f'unit: {result.testsRun - failed} passed, {failed} failed')
    return 1 if failed or not result.testsRun else 0


if __name__ == '__main__':
    sys.exit(main())
