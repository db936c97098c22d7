"""Tests of the lines and of what is read from daemons."""

import unittest

from auburnroad_e2e.capacity import fleet
from auburnroad_e2e.capacity import lines


class FitLineTest(unittest.TestCase):
    """A line says at another size what its points say."""

    def test_points_on_a_line_give_that_line(self):
        line = lines.fit_line([(10, 7.0), (30, 17.0), (90, 47.0)])
        self.assertAlmostEqual(0.5, line.slope)
        self.assertAlmostEqual(2.0, line.base)
        self.assertAlmostEqual(182.0, line.compute(360))

    def test_points_beside_it_count_evenly(self):
        line = lines.fit_line([(0, 0.0), (2, 4.0), (4, 2.0)])
        self.assertAlmostEqual(0.5, line.slope)
        self.assertAlmostEqual(1.0, line.base)


class ParseMetricsTest(unittest.TestCase):
    """Metrics in text form become numbers by name."""

    def test_labels_stay_in_the_name(self):
        text = '# HELP a b\na_total{direction="in"} 12.0\nb 1e3\n'
        self.assertEqual(
            {'a_total{direction="in"}': 12.0, 'b': 1000.0},
            fleet.parse_metrics(text),
        )
