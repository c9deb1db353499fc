#!/usr/bin/env python3
"""Tests of scripts/check-operations and scripts/check-glossary with small source trees."""
import pathlib
import tempfile
import unittest

from load_script import load_script

OPERATIONS = load_script("check-operations")
GLOSSARY = load_script("check-glossary")

PAGE = """## Log events

| event | meaning |
|---|---|
| `node_lease_lost` | x |

## Metrics

| metric | meaning |
|---|---|
| `raft_term` | x |
"""
CODE = """Log(LogLevel::kInfo, "node_lease_lost", {{"ms", 3}});
metrics.SetGauge("raft_term", 1);
partition->Log(entries);
"""


class CheckOperationsTest(unittest.TestCase):
    def problems(self, page, code):
        with tempfile.TemporaryDirectory() as folder:
            root = pathlib.Path(folder)
            (root / "docs").mkdir()
            (root / "docs/OPERATIONS.md").write_text(page)
            (root / "src/node").mkdir(parents=True)
            (root / "src/node/node.cc").write_text(code)
            return OPERATIONS.problems(root)

    def test_accepts_a_page_that_lists_all_names(self):
        self.assertEqual(self.problems(PAGE, CODE), [])

    def test_reports_an_event_missing_from_the_page(self):
        found = self.problems(PAGE, CODE + 'Log(LogLevel::kError, "raft_stopped");\n')
        self.assertEqual(found, ["Log events: `raft_stopped` is not on the page"])

    def test_reports_a_metric_missing_from_the_code(self):
        found = self.problems(PAGE, CODE.replace("raft_term", "raft_index"))
        self.assertEqual(found, ["Metrics: `raft_index` is not on the page",
                                 "Metrics: `raft_term` is not in the code"])


class CheckGlossaryTest(unittest.TestCase):
    def problems(self, line, design=""):
        with tempfile.TemporaryDirectory() as folder:
            root = pathlib.Path(folder)
            (root / "docs").mkdir()
            (root / "docs/GLOSSARY.md").write_text(line + "\n")
            (root / "docs/ARCHITECTURE.md").write_text("nothing\n")
            (root / "docs/DESIGN.md").write_text(design + "\n")
            (root / "src/leader").mkdir(parents=True)
            (root / "src/leader/lease_table.h").write_text("class LeaseTable { void Grant(); };\n")
            return GLOSSARY.problems(root)

    def test_accepts_existing_identifiers_files_and_folders(self):
        self.assertEqual(self.problems("`LeaseTable`, `LeaseTable::Grant`, `src/leader`, `lease_table.h`"), [])

    def test_ignores_plain_words_and_url_paths(self):
        self.assertEqual(self.problems("`idle`, `/v1`, `GET /ready`"), [])

    def test_reports_an_identifier_missing_from_the_code(self):
        self.assertEqual(self.problems("`LeaseTable::Revoke`"),
                         ["docs/GLOSSARY.md:1: `LeaseTable::Revoke` is not in the code"])

    def test_reports_a_type_on_the_design_page_missing_from_the_code(self):
        self.assertEqual(self.problems("", design="`LeaseTable`, `openSegment`, `LeaseBook`"),
                         ["docs/DESIGN.md:1: `LeaseBook` is not in the code"])

    def test_reports_a_missing_folder(self):
        self.assertEqual(self.problems("`src/node`"), ["docs/GLOSSARY.md:1: `src/node` is not in the code"])


if __name__ == "__main__":
    unittest.main()
