"""Tests of the prefix cache and of its events."""

import unittest

import xxhash

from auburnroad_standins.engine import events
from auburnroad_standins.engine import options
from auburnroad_standins.engine import prefix_cache
from auburnroad_standins.engine import testing

BLOCK = prefix_cache.BLOCK_CHARACTERS


class PrefixCacheTest(unittest.TestCase):
    def test_digest_covers_model_and_whole_prefix(self):
        prompt = 'é' * BLOCK + 'b' * BLOCK + 'rest'
        digests = prefix_cache.block_digests('m', prompt)
        whole = ('m\0' + prompt[: 2 * BLOCK]).encode()
        self.assertEqual(len(digests), 2)
        self.assertEqual(digests[1], xxhash.xxh3_64_hexdigest(whole))

    def test_least_recently_used_block_is_evicted_first(self):
        cache = prefix_cache.PrefixCache(3 * prefix_cache.BLOCK_TOKENS)
        cache.insert('m', ['a', 'b'])
        cache.insert('m', ['c'])
        self.assertEqual(cache.match(['a', 'x']), 1)
        self.assertEqual(cache.insert('m', ['d']), (['d'], ['b']))
        self.assertEqual(cache.match(['a', 'b']), 1)

    def test_prompt_over_capacity_keeps_its_first_blocks(self):
        cache = prefix_cache.PrefixCache(2 * prefix_cache.BLOCK_TOKENS)
        stored, removed = cache.insert('m', ['a', 'b', 'c'])
        self.assertEqual((stored, removed), (['a', 'b'], []))


class PrefillTest(testing.EngineTestCase):
    async def test_swap_clears_the_cache_and_publishes_an_event(self):
        address = await self.start_engine(event_lag_ms=0)
        body = testing.build_completion('r', prompt='x' * BLOCK)
        await self.complete(address, body)
        await self.order(address, 1)
        await self.complete(address, {**body, 'request_id': 'r2'})
        answer = await self.send(address, 'GET', '/events?from=0')
        kinds = [
            event['kind'] for event in testing.parse_json(answer)['events']
        ]
        self.assertEqual(kinds, ['stored', 'cleared', 'stored'])


class EventLogTest(unittest.TestCase):
    def publish(self, **fields) -> events.EventLog:
        log = events.EventLog(options.EngineOptions(**fields))
        for number in range(100):
            log.publish('stored', 'm', [], now_ms=number)
        return log

    def test_event_newer_than_the_lag_is_not_read(self):
        log = self.publish(event_lag_ms=10)
        numbers = [event.number for event in log.read(38, now_ms=50)]
        self.assertEqual(numbers, [38, 39, 40])

    def test_lost_events_leave_gaps_in_the_numbers(self):
        log = self.publish(event_lag_ms=0, event_gap_ratio=0.3, seed=1)
        numbers = [event.number for event in log.read(0, now_ms=100)]
        self.assertEqual(numbers, sorted(set(numbers)))
        self.assertLess(len(numbers), 100)
        self.assertGreater(len(numbers), 0)
