"""Tests that each promise of the soak is seen to be broken."""

import types
import unittest

import msgspec

from auburnroad_e2e.soak import callers
from auburnroad_e2e.soak import faults
from auburnroad_e2e.soak import promises
from auburnroad_e2e.soak import stalls
from auburnroad_e2e.soak import stream_reader
from auburnroad_e2e.soak import world as worlds
from auburnroad_standins import platform_calls
from auburnroad_standins import platform_replica

ITEM = 'item'
ROUTE = '/added2/'


class StubWorld:
    """The books of a run in which nothing was wrong."""

    is_calm = worlds.World.is_calm

    def __init__(self):
        self.books = platform_replica.Books()
        self.disturbances = []
        self.routes_added = [(ROUTE, 0.0)]
        self.keys = []
        self.caller_key = ''
        self.crashing_sends = {}
        self.loop_trace = stalls.LoopTrace()
        self.process_ends = []
        self.plain = []
        self.engines = []
        self.peak_mb = 50.0
        self.log_text = '{"event":"started"}'
        self.gateways = [
            types.SimpleNamespace(
                name='g',
                starts=1,
                process=types.SimpleNamespace(running=True),
                find_peak_mb=lambda: self.peak_mb,
                read_log=lambda: self.log_text,
            )
        ]


def build_unread(at=50.0):
    """Build an attempt at a gateway that doesn't know the added route."""
    attempt = build_attempt('added', 503, False, at, path=f'{ROUTE}x')
    return msgspec.structs.replace(attempt, refused_as=promises.UNREAD_CODE)


def build_attempt(kind='plain', status=200, whole=True, at=50.0, path='/x'):
    return callers.Attempt(
        kind, path, 'q', 'g', 1, at, at + 0.1, status, whole
    )


class CheckAllTest(unittest.TestCase):
    """One batch of one item that was run as it should, and one breach."""

    def setUp(self):
        self.world = StubWorld()
        self.callers = types.SimpleNamespace(
            batches=[], attempts=[], streams=[], sent_keys={}
        )
        self.run_item()
        self.result = {
            'id': ITEM,
            'state': 'succeeded',
            'text': platform_replica.build_text(ITEM),
            'versions': [2],
        }
        self.book = callers.BatchBook(
            'b', [ITEM], 2, [202], 1.0, None, {0: self.result}, []
        )
        self.callers.batches.append(self.book)

    def run_item(self, request_id=ITEM, replica='e', started=1.0):
        self.world.books.runs.append(
            platform_replica.Run(request_id, replica, started)
        )
        for number in range(platform_replica.count_events(request_id)):
            self.world.books.generated[request_id, number] = {2}
        self.world.books.last_events[request_id] = started + 1

    def order(self, fence, holder, at=0.0, status=202, replica='e'):
        self.world.books.orders.append(
            platform_replica.Order(replica, holder, fence, 2, at, status)
        )

    def find_broken(self, timed=True):
        breaches = promises.check_all(self.world, self.callers, timed)
        return {breach.partition(':')[0] for breach in breaches}

    def test_a_good_run_breaks_nothing(self):
        self.callers.attempts.append(build_attempt())
        self.assertEqual(set(), self.find_broken())

    def test_what_contradicts_itself(self):
        self.book.faults.append('another result at 0')
        self.assertEqual({'batches-stay'}, self.find_broken())

    def score(self, score, started=3.0):
        self.book.scored = True
        self.result['score'] = score
        reward = platform_calls.name_reward_call(ITEM)
        self.world.books.runs.append(
            platform_replica.Run(reward, 'p', started)
        )

    def test_a_good_score_breaks_nothing(self):
        self.score(f'p.{ITEM}.reward')
        self.assertEqual(set(), self.find_broken())

    def test_a_score_of_another_item(self):
        self.score('p.other.reward')
        self.assertEqual({'scores-own'}, self.find_broken())

    def test_a_score_that_no_replica_gave(self):
        self.score(f'q.{ITEM}.reward')
        self.assertEqual({'scores-own'}, self.find_broken())

    def test_a_score_from_before_the_last_event(self):
        self.score(f'p.{ITEM}.reward', started=1.5)
        self.assertEqual({'scores-own'}, self.find_broken())

    def test_a_request_at_a_replica_that_said_it_leaves(self):
        self.world.disturbances.append(
            worlds.Disturbance(faults.LEAVING, 'p', 10.0, 60.0)
        )
        told = msgspec.structs.replace(
            build_attempt(at=20.0), replica='p', leaving=True
        )
        late = msgspec.structs.replace(
            build_attempt(at=20.2 + worlds.DRAIN_SECONDS), request_id='late'
        )
        self.callers.attempts += [told, late]
        self.assertEqual(set(), self.find_broken())
        self.world.books.runs.append(
            platform_replica.Run('late', 'p', late.started)
        )
        self.assertEqual({'leaving-left-alone'}, self.find_broken())
        self.world.disturbances.append(
            worlds.Disturbance(faults.PAUSED, 'g', 21.0, 22.0)
        )
        self.assertEqual(set(), self.find_broken())

    def test_an_item_that_is_listed_twice(self):
        self.book.results[1] = self.result
        self.assertEqual({'items-once'}, self.find_broken())

    def test_a_text_that_is_not_whole(self):
        self.result['text'] = self.result['text'].partition('\n')[0]
        self.assertEqual({'texts-whole'}, self.find_broken())

    def test_versions_that_did_not_run_or_are_too_old(self):
        for versions in ([], [3], [2, 3], [1]):
            with self.subTest(versions=versions):
                self.result['versions'] = versions
                self.assertEqual({'versions-true'}, self.find_broken())

    def test_an_item_that_is_given_up_without_a_reason(self):
        self.result['state'] = 'terminated'
        self.assertEqual({'given-up-truly'}, self.find_broken())

    def test_a_refused_batch_or_request_that_ran(self):
        self.book.answers[:] = [503, 503]
        self.assertEqual({'refused-not-run'}, self.find_broken())
        self.book.answers[:] = [503, 202]
        self.assertEqual(set(), self.find_broken())
        self.callers.attempts.append(build_attempt('once', 503, False))
        self.run_item('q')
        self.assertEqual({'refused-not-run'}, self.find_broken())

    def test_a_request_that_ran_twice(self):
        self.callers.attempts.append(build_attempt('once'))
        self.run_item('q')
        self.assertEqual(set(), self.find_broken())
        self.run_item('q')
        self.assertEqual({'run-once'}, self.find_broken())

    def test_an_answer_to_something_else(self):
        self.callers.attempts.append(build_attempt(whole=False))
        self.assertEqual({'answers-own'}, self.find_broken())

    def test_an_older_fence_and_a_fence_of_two(self):
        self.order(2, 'g1')
        self.order(1, 'g2')
        self.assertEqual({'one-holder'}, self.find_broken())
        self.world.books.orders.clear()
        self.order(2, 'g1')
        self.order(2, 'g2')
        self.assertEqual({'one-holder'}, self.find_broken())

    def test_an_older_fence_that_is_refused_or_reaches_another_replica(self):
        """The books had accepted orders only, and each replica its own."""
        for status, broken in ((412, set()), (409, {'one-holder'})):
            self.order(2, 'g1')
            self.order(1, 'g2', status=status, replica='f')
            self.assertEqual(broken, self.find_broken())
            self.world.books.orders.clear()

    def test_holders_that_take_turns_within_the_lease(self):
        lease = promises.LEASE_SECONDS
        for back_at, broken in ((lease + 1, set()), (lease, {'one-holder'})):
            for fence, holder, at in (
                (1, 'g1', 0.5),
                (2, 'g2', 1.5),
                (3, 'g1', back_at),
            ):
                self.order(fence, holder, at)
            self.assertEqual(broken, self.find_broken())
            self.world.books.orders.clear()

    def test_new_work_for_a_replica_that_drains(self):
        self.world.books.drained['e'] = 0.0
        late = worlds.DRAIN_SECONDS + 1
        self.run_item(started=late)
        self.assertEqual({'drained-left-alone'}, self.find_broken())
        self.assertEqual(set(), self.find_broken(timed=False))

    def test_no_answer_where_nothing_was_wrong(self):
        self.callers.attempts.append(build_attempt(status=0, whole=False))
        self.assertEqual({'stops-cut-nothing'}, self.find_broken())
        self.world.disturbances.append(
            worlds.Disturbance('log-down', '', 49.0, 51.0)
        )
        self.assertEqual(set(), self.find_broken())

    def stall(self, start, end):
        """Let the soak's own event loop stand still for a while."""
        self.world.loop_trace = stalls.LoopTrace()
        self.world.loop_trace.note_wake_up(start)
        self.world.loop_trace.note_wake_up(end)

    def judge_stalls(self, name, during, *others):
        """Check that a breach counts but for a stall in its time."""
        self.assertEqual({name}, self.find_broken())
        for start, end in others:
            self.stall(start, end)
            self.assertEqual({name}, self.find_broken())
        self.stall(*during)
        self.assertEqual(set(), self.find_broken())

    def test_no_answer_while_the_soak_stood_still(self):
        self.callers.attempts.append(build_attempt(status=0, whole=False))
        self.judge_stalls(
            'stops-cut-nothing', (49.5, 50.02), (48.0, 50.0), (50.1, 51.0)
        )

    def test_drained_replica_while_the_soak_stood_still(self):
        self.world.books.drained['e'] = 10.0
        self.run_item(started=20.0)
        self.judge_stalls(
            'drained-left-alone', (19.0, 19.9), (10.0, 17.9), (20.1, 21.0)
        )

    def test_replica_that_leaves_while_the_soak_stood_still(self):
        self.world.disturbances.append(
            worlds.Disturbance(faults.LEAVING, 'p', 10.0, 60.0)
        )
        for at, leaving in ((20.0, True), (30.0, False)):
            attempt = build_attempt(at=at)
            self.callers.attempts.append(
                msgspec.structs.replace(attempt, replica='p', leaving=leaving)
            )
        self.world.books.runs.append(platform_replica.Run('q', 'p', 30.0))
        self.judge_stalls(
            'leaving-left-alone', (28.5, 29.5), (21.0, 27.9), (30.0, 31.0)
        )

    def test_unknown_route_while_the_soak_stood_still(self):
        self.callers.attempts.append(build_unread())
        self.judge_stalls(
            'configuration-in-time', (48.5, 49.5), (1.0, 47.9), (50.2, 51.0)
        )

    def test_request_that_crashes_replicas_while_the_soak_stood_still(self):
        for at in (10.0, 11.6, 13.2, 20.0, 24.0, 28.0, 32.0):
            self.crash(at)
        self.judge_stalls(
            'crashing-kept-away', (30.0, 30.6), (10.0, 16.9), (32.0, 33.0)
        )

    def test_second_replica_that_ends_while_the_soak_stood_still(self):
        self.crash(10.0)
        self.crash(11.0)
        self.judge_stalls(
            'crashing-spares-half', (10.2, 10.8), (9.0, 10.0), (11.0, 12.0)
        )

    def test_streams_that_are_refused_while_the_soak_stood_still(self):
        for _ in range(promises.MIN_TAKEN_UP):
            book = self.read_stream('1')
            book.attempts = [
                stream_reader.StreamAttempt('g', at, at + 0.1, status)
                for at, status in ((50.0, 200), (60.0, 503))
            ]
        self.judge_stalls(
            'streams-go-on', (59.5, 60.05), (55.0, 60.0), (60.1, 61.0)
        )

    def test_a_route_that_is_unknown_too_late_or_again(self):
        self.callers.attempts.append(build_unread())
        self.assertEqual({'configuration-in-time'}, self.find_broken())
        late = build_attempt('added', 404, False, path=f'{ROUTE}x')
        self.callers.attempts = [late]
        self.assertEqual(
            {'configuration-in-time', 'routes-not-denied'}, self.find_broken()
        )
        served = build_attempt('added', 200, at=10.0, path=f'{ROUTE}x')
        self.callers.attempts.insert(0, served)
        self.assertIn('configuration-stays', self.find_broken())

    def test_route_that_stays_unknown_long_after_a_disturbance(self):
        """A gateway that missed a change behind a cut never noticed it."""
        self.world.disturbances.append(
            worlds.Disturbance('log-path-cut', 'g', 9.0, 11.0)
        )
        self.callers.attempts.append(build_unread(16.0))
        self.assertEqual(set(), self.find_broken())
        self.callers.attempts.append(build_unread(18.0))
        self.assertEqual({'configuration-in-time'}, self.find_broken())

    # Guards against a disturbance that excuses a final status.
    def test_route_that_is_denied_while_reads_are_lost(self):
        self.world.disturbances.append(
            worlds.Disturbance('operators-unread', 'g', 0.0, 90.0)
        )
        soon = build_attempt('added', 404, False, 1.9, path=f'{ROUTE}x')
        self.callers.attempts.append(soon)
        self.callers.attempts.append(build_unread(18.0))
        self.assertEqual(set(), self.find_broken())
        late = build_attempt('added', 404, False, 18.0, path=f'{ROUTE}x')
        self.callers.attempts.append(late)
        self.assertEqual({'routes-not-denied'}, self.find_broken())

    def test_replica_that_gets_more_than_its_limit(self):
        """Each gateway kept the limit alone, all together did not."""
        limit = platform_replica.RateLimit('p', 1.0, 10.0, 20.0)
        self.world.books.limits.append(limit)
        for number in range(11):
            self.run_item(f'plain{number}', 'p', 14.0 + number / 10)
        self.assertEqual(set(), self.find_broken())
        self.run_item('plain11', 'p', 17.9)
        self.assertEqual({'limit-kept'}, self.find_broken())

    def test_gateway_that_takes_more_memory_than_its_host_has(self):
        self.world.peak_mb = worlds.MEMORY_MB + 1.0
        self.assertEqual({'memory-bounded'}, self.find_broken())

    def test_request_that_goes_on_ending_replicas(self):
        """Each gateway knew only the replicas that it had sent it to."""
        for at in (10.0, 11.6, 13.2, 15.0, 17.0, 18.6, 20.2):
            self.crash(at)
        self.assertEqual(set(), self.find_broken())
        self.crash(21.8)
        self.assertEqual({'crashing-kept-away'}, self.find_broken())
        self.world.disturbances.append(
            worlds.Disturbance('log-path-cut', 'g', 12.0, 18.0)
        )
        self.assertEqual(set(), self.find_broken())

    def test_request_that_ends_a_second_replica_before_the_first_is_back(self):
        """The rest of a small service went down within 0.2 s."""
        self.crash(10.0)
        self.crash(11.6)
        self.assertEqual(set(), self.find_broken())
        self.crash(11.8)
        self.assertEqual({'crashing-spares-half'}, self.find_broken())
        self.world.disturbances.append(
            worlds.Disturbance('replica-path-silent', 'p', 11.0, 11.2)
        )
        self.assertEqual({'crashing-spares-half'}, self.find_broken())
        self.world.plain.append(types.SimpleNamespace(id='p'))
        self.assertEqual(set(), self.find_broken())

    def crash(self, at):
        books = self.world.books.crashes
        request_id = f'crash{len(books)}'
        self.world.crashing_sends[request_id] = worlds.CrashingSend('g', at)
        books.append(platform_replica.Crash('/crash', request_id, 'p', at))

    def test_harmless_request_that_is_refused_as_a_crashing_one(self):
        refused = build_attempt(status=503, whole=False)
        self.callers.attempts.append(refused)
        self.assertEqual(set(), self.find_broken())
        self.callers.attempts.append(
            msgspec.structs.replace(
                refused, refused_as=platform_calls.CRASHES_REPLICAS
            )
        )
        self.assertEqual({'harmless-not-refused'}, self.find_broken())

    def read_stream(self, *software):
        """Note a stream whose events are of these software versions."""
        book = stream_reader.StreamBook(f'stream{len(self.callers.streams)}')
        for number, version in enumerate(software):
            data = platform_replica.build_event(book.text_id, number, version)
            book.events.append((number, data))
        self.callers.streams.append(book)
        return book

    def test_stream_of_two_software_versions(self):
        """A gateway knew nothing of the version that began a stream."""
        self.read_stream('1', '1')
        self.read_stream('2', '2')
        self.assertEqual(set(), self.find_broken())
        self.read_stream('1', '2')
        self.assertEqual({'streams-fit'}, self.find_broken())

    def test_stream_with_an_event_twice_or_missing(self):
        for numbers in ((0, 0), (0, 2)):
            book = self.read_stream('1')
            book.events = [
                (n, platform_replica.build_event(book.text_id, n, '1'))
                for n in numbers
            ]
            self.assertEqual({'streams-fit'}, self.find_broken())
            self.callers.streams.clear()

    def test_stream_of_two_runs(self):
        """Both are of one software version; neither goes on after the other.

        After a loss of all gateways two of them saved a text of an item.
        """
        book = self.read_stream('1', '1')
        text_id = book.text_id
        for first, breaches in ((2, set()), (0, {'streams-fit'})):
            data = platform_replica.build_event(
                text_id, 2, '1', 'other', first
            )
            book.events[2:] = [(2, data)]
            self.assertEqual(breaches, self.find_broken())

    def test_text_of_two_software_versions(self):
        other = platform_replica.build_text(ITEM, '2').split('\n')
        self.result['text'] = '\n'.join(other)
        self.assertEqual(set(), self.find_broken())
        own = self.result['text'].split('\n')
        own[0] = platform_replica.build_event(ITEM, 0, '1')
        self.result['text'] = '\n'.join(own)
        self.assertEqual({'texts-whole'}, self.find_broken())

    def test_streams_that_are_taken_up_and_mostly_refused(self):
        """To refuse whatever is taken up keeps all streams of one version."""
        for number in range(promises.MIN_TAKEN_UP):
            book = self.read_stream('1')
            book.attempts = [
                stream_reader.StreamAttempt('g', 50.0, 50.1, status)
                for status in (200, 503 if number % 3 else 200)
            ]
        self.assertEqual({'streams-go-on'}, self.find_broken())
        self.assertEqual(set(), self.find_broken(timed=False))
        self.callers.streams.pop()
        self.assertEqual(set(), self.find_broken())
