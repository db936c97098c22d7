"""Tests of the comparison of answers and configurations."""

import unittest

from auburnroad_client.questionnaire import compare


class CompareValuesTest(unittest.TestCase):
    """Members of lists are matched by name, not by position."""

    def test_members_are_matched_by_name(self):
        old = {'hosts': [{'name': 'a', 'ip': 1}, {'name': 'b', 'ip': 2}]}
        new = {'hosts': [{'name': 'b', 'ip': 3}, {'name': 'c', 'ip': 4}]}
        self.assertEqual(
            [
                compare.Change('hosts[a]', {'name': 'a', 'ip': 1}, None),
                compare.Change('hosts[b].ip', 2, 3),
                compare.Change('hosts[c]', None, {'name': 'c', 'ip': 4}),
            ],
            compare.compare_values(old, new),
        )

    def test_equal_values_have_no_changes(self):
        value = {'a': [1, 2], 'b': {'c': [{'name': 'x'}]}}
        self.assertEqual([], compare.compare_values(value, dict(value)))

    def test_tuple_equals_list_read_from_log(self):
        self.assertEqual(
            [], compare.compare_values({'m': ['GET']}, {'m': ('GET',)})
        )

    def test_change_is_formatted_as_one_line(self):
        changes = compare.compare_values(
            {'t': {'share': 1}}, {'t': {'share': 2}, 'h': [{'name': 'q'}]}
        )
        self.assertEqual(
            ['t.share: 1 -> 2', 'h: added q'],
            [str(change) for change in changes],
        )
