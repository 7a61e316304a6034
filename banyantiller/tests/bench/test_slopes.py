"""Tests of the slopes, and that the capacity page holds the last result."""

from banyantiller.tests import base
from bench import slopes, slopes_fit, slopes_sizes, slopes_table, slopes_target


class FitTest(base.TestCase):
    def test_exact_line(self) -> None:
        line = slopes_fit.fit("y", "x", [(0, 1.0), (1, 3.0), (3, 7.0)])
        self.assertEqual((1.0, 2.0, 0.0, 1.0), line[3:])
        self.assertEqual(21.0, line.at(10))

    def test_spread_is_told(self) -> None:
        line = slopes_fit.fit("y", "x", [(0, 0.0), (1, 2.0), (2, 0.0)])
        self.assertEqual(0.0, line.slope)
        self.assertAlmostEqual(4 / 3, line.worst, 2)
        self.assertEqual(0.0, line.r2)

    def test_json_form_comes_back(self) -> None:
        line = slopes_fit.fit("y", "x", [(0, 1.0), (2, 2.0)])
        self.assertEqual(line, slopes_fit.line_from(slopes_fit.line_data(line)))


class RowTest(base.TestCase):
    def row(self, value: float, limit: float | None) -> str:
        return slopes_sizes.Row("", "", "", value, limit, "", "").verdict

    def test_nothing_is_rounded_into_a_pass(self) -> None:
        self.assertEqual("within", self.row(4.0, 4.0))
        self.assertEqual("misses, 1.001 times", self.row(4.004, 4.0))
        self.assertEqual("", self.row(9.0, None))


class PageTest(base.TestCase):
    def test_page_holds_the_tables_of_the_last_written_result(self) -> None:
        result = slopes_table.read_result()
        page = slopes_table.PAGE.read_text()
        tables = slopes_table.tables(result)
        self.assertEqual({"slopes", "target"}, set(tables))
        for name, text in tables.items():
            self.assertEqual(text, slopes_table.table_of(page, name))

    def test_every_step_was_measured(self) -> None:
        result = slopes_table.read_result()
        self.assertEqual(set(slopes.STEPS), set(result["steps"]))
        self.assertEqual(set(slopes_target.STEPS), set(slopes.STEPS))

    def test_lines_follow_from_their_points(self) -> None:
        """A figure that was edited by hand is found."""
        for step in slopes_table.read_result()["steps"].values():
            for data in step["lines"]:
                line = slopes_fit.line_from(data)
                again = slopes_fit.fit(line.name, line.over, line.points)
                scale = max(abs(y) for _, y in line.points) or 1.0
                for x, _ in line.points:
                    gap = abs(again.at(x) - line.at(x))
                    self.assertTrue(gap <= 0.002 * scale, line.name)

    def test_altered_figure_changes_the_table(self) -> None:
        result = slopes_table.read_result()
        before = slopes_target.table(result)
        result["steps"]["call"]["figures"]["call_cpu_us"] *= 2
        self.assertNotEqual(before, slopes_target.table(result))

    def test_missing_markers_are_an_error(self) -> None:
        self.assertRaises(
            ValueError, slopes_table.with_table, "no page", "slopes", ""
        )
