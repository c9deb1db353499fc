#!/usr/bin/env python3
"""Tests of scripts/check-operations and scripts/check-glossary on small trees of their own."""
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

    def test_accepts_a_page_that_lists_everything(self):
        self.assertEqual(self.problems(PAGE, CODE), [])

    def test_names_an_event_that_is_not_on_the_page(self):
        found = self.problems(PAGE, CODE + 'Log(LogLevel::kError, "raft_stopped");\n')
        self.assertEqual(found, ["Log events: `raft_stopped` is not on the page"])

    def test_names_a_metric_that_is_not_in_the_code(self):
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

    def test_accepts_names_files_and_folders_that_exist(self):
        self.assertEqual(self.problems("`LeaseTable`, `LeaseTable::Grant`, `src/leader`, `lease_table.h`"), [])

    def test_leaves_words_and_addresses_alone(self):
        self.assertEqual(self.problems("`idle`, `/v1`, `GET /ready`"), [])

    def test_names_an_identifier_that_is_gone(self):
        self.assertEqual(self.problems("`LeaseTable::Revoke`"),
                         ["docs/GLOSSARY.md:1: `LeaseTable::Revoke` is not in the code"])

    def test_names_a_type_that_the_design_page_has_and_the_code_has_not(self):
        self.assertEqual(self.problems("", design="`LeaseTable`, `openSegment`, `LeaseBook`"),
                         ["docs/DESIGN.md:1: `LeaseBook` is not in the code"])

    def test_names_a_folder_that_is_gone(self):
        self.assertEqual(self.problems("`src/node`"), ["docs/GLOSSARY.md:1: `src/node` is not in the code"])


if __name__ == "__main__":
    unittest.main()
