"""Tests of the decision which requests crash the replicas that run them."""

import unittest

from auburnroad_gateway.forwarding import crash_records

SETTLED = crash_records.SETTLE_SECONDS
FORGET_AT = 1000.0
FREE = crash_records.Verdict.FREE
SUSPECT = crash_records.Verdict.SUSPECT
REFUSED = crash_records.Verdict.REFUSED


class CrashRecordsTest(unittest.TestCase):
    """Crashes of replicas 'a', 'b', ... under requests 'f' and 'g'."""

    def setUp(self):
        self.records = crash_records.CrashRecords()

    def crash(self, fingerprint, incarnations, now=0.0, ended_at=None):
        ended_at = now if ended_at is None else ended_at
        return [
            self.records.note_crash(
                fingerprint,
                crash_records.Crash(incarnation, ended_at),
                now,
                FORGET_AT,
            )
            for incarnation in incarnations
        ]

    def find(self, fingerprint='f', now=SETTLED):
        return self.records.find_verdict(fingerprint, now)

    def test_unknown_request_is_free(self):
        self.assertIs(FREE, self.find())

    def test_request_after_one_crash_is_free(self):
        self.crash('f', 'a')
        self.assertIs(FREE, self.find())

    def test_request_after_two_crashes_is_suspect(self):
        self.crash('f', 'ab')
        self.assertIs(SUSPECT, self.find())

    def test_request_after_three_crashes_is_refused(self):
        self.crash('f', 'abc')
        self.assertIs(REFUSED, self.find())

    def test_one_crash_reported_three_times_counts_once(self):
        """Gateways read their own reports from the log, too."""
        self.assertEqual([True, False, False], self.crash('f', 'aaa'))
        self.assertIs(FREE, self.find())

    def test_late_reports_of_one_crash_count_once(self):
        """A report that waited for the log service arrives seconds later."""
        self.crash('f', 'a')
        self.assertEqual([False], self.crash('f', 'a', 0.5))
        self.assertEqual([False], self.crash('f', 'a', 9.0, ended_at=0.5))
        self.assertIs(FREE, self.find(now=9.0 + SETTLED))

    def test_crashes_of_a_replica_restarted_under_its_name_count_each(self):
        """Its new registration may not have been read by the second one."""
        self.assertEqual([True], self.crash('f', 'a', 0.0))
        self.assertEqual([True], self.crash('f', 'a', 1.6))
        self.assertIs(SUSPECT, self.find(now=1.6 + SETTLED))
        self.assertEqual([True], self.crash('f', 'a', 3.2))
        self.assertIs(REFUSED, self.find(now=3.2 + SETTLED))

    def test_crashes_of_two_causes_by_turns_do_not_explain_each_other(self):
        """Both requests ended a replica of one name, at different starts."""
        for now, fingerprint in enumerate('fgfgfg'):
            self.crash(fingerprint, 'a', 1.6 * now)
        self.assertIs(REFUSED, self.find('f', now=20.0))
        self.assertIs(REFUSED, self.find('g', now=20.0))

    def test_reports_of_one_end_under_two_requests_explain_each_other(self):
        """Gateways find the end of a replica up to 0.5 s apart."""
        for now in (0.0, 1.6, 3.2):
            self.crash('f', 'a', now)
            self.crash('g', 'a', now + 0.5)
        self.assertIs(SUSPECT, self.find('f', now=20.0))
        self.assertIs(SUSPECT, self.find('g', now=20.0))

    def test_request_is_not_refused_before_its_crashes_settle(self):
        """Reports of a request that ran beside it may be on their way."""
        self.crash('f', 'abc', now=5.0)
        self.assertIs(SUSPECT, self.find(now=5.0 + SETTLED / 2))
        self.assertIs(REFUSED, self.find(now=5.0 + SETTLED))

    def test_request_beside_the_cause_at_each_crash_is_not_refused(self):
        self.crash('f', 'abc')
        self.crash('g', 'abc')
        self.assertIs(SUSPECT, self.find('f'))
        self.assertIs(SUSPECT, self.find('g'))

    def test_request_that_crashes_one_more_alone_is_refused(self):
        self.crash('f', 'abcd')
        self.crash('g', 'abc')
        self.assertIs(REFUSED, self.find('f'))
        self.assertIs(SUSPECT, self.find('g'))

    def test_request_under_which_fewer_replicas_ended_excuses_nothing(self):
        self.crash('f', 'abc')
        self.crash('g', 'ab')
        self.assertIs(REFUSED, self.find('f'))

    def test_request_beside_several_causes_is_not_refused(self):
        """Each of its crashes had another cause."""
        self.crash('f', 'abc')
        self.crash('g', 'adef')
        self.crash('h', 'bcgh')
        self.assertIs(SUSPECT, self.find('f'))
        self.assertIs(REFUSED, self.find('g'))
        self.assertIs(REFUSED, self.find('h'))

    def test_requests_that_always_come_together_are_refused(self):
        self.crash('f', 'abcde')
        self.crash('g', 'abcde')
        self.assertIs(REFUSED, self.find('f'))
        self.assertIs(REFUSED, self.find('g'))

    def test_answer_clears_a_request(self):
        self.crash('f', 'abc')
        self.assertTrue(self.records.note_answer('f'))
        self.assertIs(FREE, self.find())

    def test_answer_to_a_request_without_crashes_is_no_news(self):
        self.assertFalse(self.records.note_answer('f'))

    def test_answered_request_is_never_suspected(self):
        """Replicas that are killed while it runs end by another cause."""
        self.records.note_answer('f')
        self.assertEqual([False] * 5, self.crash('f', 'abcde'))
        self.assertIs(FREE, self.find())

    def test_answer_of_the_other_request_leaves_the_cause(self):
        self.crash('f', 'abc')
        self.crash('g', 'abc')
        self.records.note_answer('g')
        self.assertIs(REFUSED, self.find('f'))

    def test_crashes_are_forgotten_at_their_deadline(self):
        self.crash('f', 'abc')
        self.assertEqual(FORGET_AT, self.records.find_forget_at('f'))
        self.assertIs(FREE, self.find(now=FORGET_AT))
        self.crash('g', 'a', now=FORGET_AT)
        self.assertEqual(0.0, self.records.find_forget_at('f'))

    def test_memory_is_bounded(self):
        for number in range(crash_records.MAX_RECORDED + 1):
            self.crash(str(number), 'abc')
        self.assertIs(FREE, self.find('0'))
        self.assertIs(SUSPECT, self.find('1'))
        for number in range(crash_records.MAX_ANSWERED + 1):
            self.records.note_answer(f'answered{number}')
        self.assertEqual([True], self.crash('answered0', 'a'))
        self.assertEqual([False], self.crash('answered1', 'a'))
