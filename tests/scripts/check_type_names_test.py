#!/usr/bin/env python3
"""Tests of scripts/check-type-names with small source trees."""
import pathlib
import tempfile
import unittest

from load_script import load_script

CHECK = load_script("check-type-names")


class CheckTypeNamesTest(unittest.TestCase):
    def problems(self, **headers):
        with tempfile.TemporaryDirectory() as folder:
            root = pathlib.Path(folder)
            (root / "src").mkdir()
            for name, text in headers.items():
                (root / "src" / f"{name}.h").write_text(text)
            return CHECK.problems(root)

    def test_refuses_two_classes_of_one_name(self):
        text = "namespace cloverbank {\nclass Call : public Base {\n};\n}\n"
        self.assertEqual(self.problems(one=text, two=text),
                         ["cloverbank::Call is defined in src/one.h and src/two.h"])

    def test_accepts_declarations_and_other_namespaces(self):
        self.assertEqual(self.problems(one="namespace cloverbank {\nclass Call {\n};\n}\n",
                                       two="namespace cloverbank {\nclass Call;\n}\n",
                                       three="namespace cloverbank::platform {\nclass Call {\n};\n}\n"), [])


if __name__ == "__main__":
    unittest.main()
