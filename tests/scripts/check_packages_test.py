#!/usr/bin/env python3
"""Tests of scripts/check-packages on small records of its own."""
import pathlib
import tempfile
import unittest

from load_script import load_script


# Name -> (depends, provides, essential).
PACKAGES = {
    "compiler": ({"runtime", "headers-virtual"}, set(), False),
    "runtime": (set(), set(), False),
    "headers": (set(), {"headers-virtual"}, False),
    "shell": (set(), set(), True),
    "extra": ({"runtime"}, set(), False),
}
OWNERS = {"/usr/include/a.h": {"headers"}, "/usr/include/x.h": {"extra"}, "/lib/r.so": {"runtime"}}


class CheckPackagesTest(unittest.TestCase):
    def setUp(self):
        self.script = load_script("check-packages")

    def test_names_lose_versions_and_architectures(self):
        names = self.script.package_names("libc6 (>= 2.3), python3:any | python, ")
        self.assertEqual(names, {"libc6", "python3", "python"})

    def test_the_closure_follows_dependencies_and_what_is_provided(self):
        found = self.script.closure(PACKAGES, ["compiler"])
        self.assertEqual(found, {"compiler", "runtime", "headers", "shell"})

    def test_a_file_of_a_package_outside_the_closure_is_found(self):
        allowed = self.script.closure(PACKAGES, ["compiler"])
        files = ["/usr/include/a.h", "/usr/include/x.h", "/usr/include/none.h"]
        self.assertEqual(self.script.unnamed(files, OWNERS, allowed),
                         ["/usr/include/none.h: of no package", "/usr/include/x.h: of extra"])

    def test_lib_and_usr_lib_are_one_place(self):
        self.assertEqual(self.script.owners_of("/usr/lib/r.so", OWNERS), {"runtime"})

    def test_links_are_followed_to_the_package_of_what_they_name(self):
        with tempfile.TemporaryDirectory() as folder:
            target = pathlib.Path(folder).resolve() / "cc-12"
            target.touch()
            link = target.with_name("cc")
            link.symlink_to(target)
            self.assertEqual(self.script.owners_of(str(link), {str(target): {"compiler"}}),
                             {"compiler"})


if __name__ == "__main__":
    unittest.main()
