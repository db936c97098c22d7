import unittest
import uuid

from auburnroad_core.log import keys


class KeyTest(unittest.TestCase):
    def test_built_key_holds_its_time(self):
        key = keys.build_key(1_796_340_738_790)
        self.assertEqual(keys.parse_key(key), key)
        self.assertEqual(keys.read_time_ms(key), 1_796_340_738_790)
        self.assertNotEqual(key, keys.build_key(1_796_340_738_790))

    def test_forms_of_one_key_are_the_same_key(self):
        key = keys.build_key(1)
        self.assertEqual(keys.parse_key(key.upper()), key)
        self.assertEqual(keys.parse_key('{' + key + '}'), key)

    def test_other_texts_are_no_keys(self):
        for text in ('', 'order-7', str(uuid.uuid4())):
            self.assertIsNone(keys.parse_key(text))
