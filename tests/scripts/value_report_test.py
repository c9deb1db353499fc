#!/usr/bin/env python3
"""Tests of scripts/value-report with small reports."""
import json
import pathlib
import re
import subprocess
import tempfile
import unittest

SCRIPT = pathlib.Path(__file__).resolve().parent.parent.parent / "scripts/value-report"

SITE = """
classes = [
  { name = "chat", kind = "stream", aim_ms = 300, worth = 2, late_worth = 1.0 },
  { name = "notes", kind = "batch", aim_ms = 600, worth = 4, late_worth = 1.0 },
  { name = "read", aim_ms = 120, worth = 1, late_worth = 0.3 },
]
"""
LOG = """ 1.0 edge-1 info response_late route=r cause=pause target_ms=300 first_ms=10
 1.1 edge-1 info response_late route=r cause=pause target_ms=300 first_ms=10
 1.2 edge-1 info response_late route=r cause=first_chunk target_ms=300 first_ms=400
 1.3 store-1 info result_late route=q batch=b taken_ms=9000 target_ms=8000
"""
ROW = re.compile(r"^\| ([^|]+?) \| ([^|]*?) ?\| \**(-?[\d.]+)\** \|$", re.M)


def report(windows=0.75):
    """Returns a day's report. Two classes have answers worth 200 each due: one lost 0.2 of it, the other 0.06."""
    chat = {"name": "chat", "n": 100, "not_owed": 0, "late": 20, "refused": 5, "failed": 5}
    notes = {"name": "notes", "n": 60, "not_owed": 10, "late": 4, "refused": 0, "failed": 0}
    read = {"name": "read", "n": 0, "not_owed": 0, "late": 0, "refused": 0, "failed": 0}
    whole_day = (200 * 0.8 + 200 * 0.94) / 400
    price = 0.02
    window = {"n": 10, "refused": 0, "failed": 0}
    return {
        "G": 0.9 * whole_day + 0.1 * windows - price,
        "parts": [["whole day", 0.9, whole_day], ["worst windows", 0.1, windows]],
        "prices": [["machine-seconds", 5.0, price]],
        "classes": [chat | {"worth": 0.8}, notes | {"worth": 0.94},
                    read | {"worth": 1.0}],
        "windows": [window | {"name": "0", "late": 1, "worth": 0.9},
                    window | {"name": "2", "late": 5, "worth": 0.4}],
        "events": [{"at_s": 2, "to_s": 3, "kind": "burst", "what": ""}],
        "breaks": {},
    }


class ValueReportTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.path = pathlib.Path(self.folder.name)

    def write(self, name, text):
        path = self.path / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
        return str(path)

    def run_report(self, *arguments):
        return subprocess.run([str(SCRIPT), *arguments], capture_output=True, text=True, check=False)

    def causes(self, *extra):
        day = self.write("day.json", json.dumps(report()))
        site = self.write("site.toml", SITE)
        result = self.run_report("causes", day, site, *extra)
        self.assertEqual(result.returncode, 0, result.stderr)
        return {(cause, name): float(lost) for cause, name, lost in ROW.findall(result.stdout)}

    def test_cause_rows_add_up_to_the_loss_of_the_day(self):
        rows = self.causes()
        total = rows.pop(("**1 - worth**", ""))
        self.assertAlmostEqual(total, 1 - report()["G"], places=4)
        self.assertAlmostEqual(sum(rows.values()), total, places=3)
        self.assertNotIn(("not explained", ""), rows)

    def test_treats_a_class_without_a_kind_as_plain_calls(self):
        self.assertNotIn("read", {name for _, name in self.causes()})

    def test_reports_late_answers_in_one_row_without_a_log(self):
        rows = self.causes()
        # 20 late answers lose 1 each of the 400 due, and the whole day has the weight 0.9.
        self.assertAlmostEqual(rows["late", "chat"], 0.9 * 20 / 400, places=4)
        self.assertAlmostEqual(rows["refused", "chat"], 0.9 * 10 / 400, places=4)

    def test_splits_late_answers_and_late_items_by_the_log(self):
        rows = self.causes("--log", self.write("log", LOG))
        self.assertAlmostEqual(rows["pause late", "chat"], 0.9 * 20 / 400 * 2 / 3, places=4)
        self.assertAlmostEqual(rows["first_chunk late", "chat"], 0.9 * 20 / 400 / 3, places=4)
        self.assertAlmostEqual(rows["past its due time", "notes"], 0.9 * 3 / 400, places=4)
        self.assertAlmostEqual(rows["accepted late", "notes"], 0.9 * 9 / 400, places=4)

    def test_moments_lists_the_worst_window_first(self):
        result = self.run_report("moments", self.write("day.json", json.dumps(report())))
        self.assertEqual(result.returncode, 0, result.stderr)
        rows = result.stdout.splitlines()[2:4]
        self.assertTrue(rows[0].startswith("| 2 |"), result.stdout)
        self.assertIn("burst", result.stdout)

    def test_pairs_prints_the_median_and_the_count_of_improved_days(self):
        for name, before, after in (("a", 0.5, 0.6), ("b", 0.5, 0.8), ("c", 0.5, 0.4)):
            self.write(f"before/{name}.json", json.dumps(report(before)))
            self.write(f"after/{name}.json", json.dumps(report(after)))
        result = self.run_report("pairs", str(self.path / "before"), str(self.path / "after"))
        self.assertEqual(result.returncode, 0, result.stderr)
        self.assertIn("median +0.0100, 2 of 3 up", result.stdout)

    def test_bad_input_exits_with_a_clear_error(self):
        result = self.run_report("moments", str(self.path / "missing.json"))
        self.assertEqual(result.returncode, 1)
        self.assertIn("missing.json", result.stderr)
        self.assertNotIn("Traceback", result.stderr)
        result = self.run_report("pairs", str(self.path), str(self.path))
        self.assertEqual(result.returncode, 1)


if __name__ == "__main__":
    unittest.main()
