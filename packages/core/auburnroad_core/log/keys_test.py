"""Tests of idempotency keys."""

import unittest
import uuid

from auburnroad_core.log import keys


class KeyTest(unittest.TestCase):
    """A key contains its creation time and has one canonical form."""

    def test_built_key_contains_its_creation_time(self):
        key = keys.build_key(1_796_340_738_790)
        self.assertEqual(keys.parse_key(key), key)
        self.assertEqual(keys.read_time_ms(key), 1_796_340_738_790)
        self.assertNotEqual(key, keys.build_key(1_796_340_738_790))

    def test_all_forms_of_a_key_are_parsed_to_the_canonical_form(self):
        key = keys.build_key(1)
        self.assertEqual(keys.parse_key(key.upper()), key)
        self.assertEqual(keys.parse_key('{' + key + '}'), key)

    def test_text_that_is_not_a_uuid_of_version_7_is_rejected(self):
        for text in ('', 'order-7', str(uuid.uuid4())):
            self.assertIsNone(keys.parse_key(text))
