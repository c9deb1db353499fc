#!/usr/bin/env python3
"""Tests of scripts/check-evidence with small pages and journal entries."""
import json
import pathlib
import tempfile
import unittest

from load_script import load_script

ENDED = {"at": ["1", "2"], "ok": True, "error": None, "days": [{"name": "mix-1", "rules": {}}]}
FAILED = {"at": ["1", "2"], "ok": False, "error": "crash loop", "days": [{"name": "trouble-1"}]}
BROKEN = {"at": ["1", "2"], "ok": True, "error": None, "days": [{"name": "mix-2", "rules": {"LOST": 3}}]}
UNFINISHED = {"at": ["1", ""], "ok": False, "error": "the run did not finish", "days": []}


class CheckEvidenceTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = pathlib.Path(folder.name)
        (self.root / "docs").mkdir()
        (self.root / "journal").mkdir()
        for name, entry in {"20260101T000000-aaaaaaaa": ENDED, "20260101T000001-bbbbbbbb": BROKEN,
                            "20260101T000002-cccccccc": UNFINISHED,
                            "20260101T000003-eeeeeeee": FAILED}.items():
            (self.root / f"journal/{name}.json").write_text(json.dumps(entry))

    def problems(self, page):
        (self.root / "docs/page.md").write_text(page)
        return load_script("check-evidence").check(self.root)

    def test_accepts_a_claim_with_an_ended_entry(self):
        self.assertEqual(self.problems("A hunt of 8 days: 0 broken (journal aaaaaaaa).\n"), [])
        self.assertEqual(self.problems("As journal 20260101T000000 shows.\n"), [])
        self.assertEqual(self.problems("As journal 20260101T000000-aaaaaaaa shows.\n"), [])

    def test_rejects_a_claim_with_an_unfinished_entry(self):
        found = self.problems("A hunt of 8 days: 0 broken (journal cccccccc).\n")
        self.assertEqual(found, ["docs/page.md:1: journal cccccccc: the run did not finish"])

    def test_entry_of_a_failed_gate_confirms_only_a_failed_gate(self):
        self.assertEqual(self.problems("Score 0.5, gate failed (journal eeeeeeee).\n"), [])
        self.assertEqual(self.problems("Score 0.5, gate passed (journal eeeeeeee).\n"),
                         ["docs/page.md:1: journal eeeeeeee: crash loop"])

    def test_reports_an_unfinished_entry_next_to_an_ended_one(self):
        found = self.problems("Hunts: no rule broken (journal aaaaaaaa,\njournal cccccccc).\n")
        self.assertEqual(found, ["docs/page.md:1: journal cccccccc: the run did not finish"])

    def test_reports_a_checkout_without_pages(self):
        with tempfile.TemporaryDirectory() as folder:
            self.assertEqual(len(load_script("check-evidence").check(pathlib.Path(folder))), 1)

    def test_reports_a_missing_entry(self):
        self.assertEqual(len(self.problems("See journal dddddddd.\n")), 1)
        self.assertEqual(len(self.problems("See journal 20260101T00.\n")), 0, "not the name of an entry")

    def test_rejects_a_claim_without_an_entry(self):
        for claim in ("A hunt of 8 days: nothing broken.", "The hunts broke LOST twice.",
                      "| site | hunted | no rule broken |", "Score 0.7, gate passed."):
            self.assertEqual(len(self.problems(f"Text.\n\n{claim}\n")), 1, claim)

    def test_rejects_nothing_broken_if_a_day_broke_a_rule(self):
        found = self.problems("Hunt: nothing broken (journal bbbbbbbb).\n")
        self.assertEqual(found, ["docs/page.md:1: journal bbbbbbbb: rules were broken on mix-2"])
        self.assertEqual(self.problems("Hunt: 1 of 8 broken (journal bbbbbbbb).\n"), [])

    def test_checks_each_table_row_and_list_item_separately(self):
        page = "| hunt | 0 broken | journal aaaaaaaa |\n| hunt | 0 broken | |\n"
        self.assertEqual(len(self.problems(page)), 1)
        page = "- a hunt: 0 broken (journal aaaaaaaa)\n- a hunt: 0 broken\n"
        self.assertEqual(len(self.problems(page)), 1)


if __name__ == "__main__":
    unittest.main()
