#!/usr/bin/env python3
"""Tests of scripts/check-packages with small package records."""
import pathlib
import tempfile
import unittest

from load_script import load_script

# Name -> (dependencies, provided names, essential).
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

    def test_package_names_drop_versions_and_architectures(self):
        names = self.script.package_names("libc6 (>= 2.3), python3:any | python, ")
        self.assertEqual(names, {"libc6", "python3", "python"})

    def test_closure_follows_dependencies_and_provided_names(self):
        found = self.script.closure(PACKAGES, ["compiler"])
        self.assertEqual(found, {"compiler", "runtime", "headers", "shell"})

    def test_reports_files_of_packages_outside_the_closure(self):
        allowed = self.script.closure(PACKAGES, ["compiler"])
        files = ["/usr/include/a.h", "/usr/include/x.h", "/usr/include/none.h"]
        self.assertEqual(self.script.disallowed_files(files, OWNERS, allowed),
                         ["/usr/include/none.h: of no package", "/usr/include/x.h: of extra"])

    def test_treats_lib_and_usr_lib_as_the_same_folder(self):
        self.assertEqual(self.script.owners_of("/usr/lib/r.so", OWNERS), {"runtime"})

    def test_resolves_links_to_the_package_of_their_target(self):
        with tempfile.TemporaryDirectory() as folder:
            target = pathlib.Path(folder).resolve() / "cc-12"
            target.touch()
            link = target.with_name("cc")
            link.symlink_to(target)
            self.assertEqual(self.script.owners_of(str(link), {str(target): {"compiler"}}),
                             {"compiler"})


if __name__ == "__main__":
    unittest.main()
