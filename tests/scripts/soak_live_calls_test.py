#!/usr/bin/env python3
"""Tests of the parts of scripts/soak-live-calls that need no processes: the settings and the checks."""
import types
import unittest

from load_script import load_script

SOAK = load_script("soak-live-calls")
STAND_INS = load_script("soak_stand_ins.py")
OPTIONS = types.SimpleNamespace(calm=False, second_responses=0.3, without_ids=False)
CROSSED = {"crossings": 1}


def call(path, status=200, right=True):
    return path, status, right


class JudgeTest(unittest.TestCase):
    def failures(self, calls, runs, totals=None):
        return SOAK.judge(calls, [(call_id, calls.get(call_id, call("/once/x"))[0], 0) for call_id in runs],
                          CROSSED if totals is None else totals, OPTIONS)

    def test_accepts_calls_that_ran_once(self):
        self.assertEqual(self.failures({"a": call("/once/a"), "b": call("/read/b")}, ["a", "b"]), [])

    def test_refuses_a_second_run_of_a_call_that_must_not_repeat(self):
        self.assertEqual(len(self.failures({"a": call("/once/a")}, ["a", "a"])), 1)

    def test_accepts_a_second_run_within_the_attempts_of_a_safe_route(self):
        self.assertEqual(self.failures({"a": call("/read/a")}, ["a", "a"]), [])

    def test_refuses_more_runs_than_attempts(self):
        self.assertEqual(len(self.failures({"a": call("/read/a")}, ["a", "a", "a"])), 1)

    def test_refuses_a_run_behind_a_promise_that_nothing_ran(self):
        calls = {"a": call("/once/a", 503), "b": call("/once/b")}
        self.assertEqual(self.failures(calls, ["a", "b"]), ["a ran and was answered 503"])

    def test_refuses_a_run_that_no_client_sent(self):
        self.assertEqual(len(self.failures({"a": call("/once/a")}, ["a", "z"])), 1)

    def test_refuses_a_wrong_response(self):
        self.assertEqual(len(self.failures({"a": call("/read/a", right=False)}, ["a"])), 1)

    def test_refuses_a_run_that_serves_little(self):
        calls = {str(number): call("/once/x", 503) for number in range(9)}
        self.assertEqual(self.failures(calls, []), ["only 0 of 9 calls succeeded"])

    def test_refuses_a_run_in_which_no_second_response_met_a_request(self):
        self.assertEqual(len(self.failures({"a": call("/once/a")}, ["a"], {})), 1)

    def test_refuses_a_run_without_ids_in_which_no_second_response_was_sent(self):
        options = types.SimpleNamespace(calm=False, second_responses=0.3, without_ids=True)
        calls, runs = {"a": call("/once/a")}, [("a", "/once/a", 0)]
        self.assertEqual(SOAK.judge(calls, runs, {"second": 1}, options), [])
        self.assertEqual(len(SOAK.judge(calls, runs, {"crossings": 1}, options)), 1)


class RenderTest(unittest.TestCase):
    def test_fills_values_lists_and_sections(self):
        fields = {"node": "edge-1", "ports": [7, 8], "zones": {"a": "r", "b": "r"}, "disk": True, "none": None}
        template = '{{node|json}} {{ports.1}} [{{#zones}}"{{@}}={{.}}"{{,}}{{/zones}}]{{#disk}} disk{{/disk}}{{#none}} no{{/none}}'
        self.assertEqual(STAND_INS.render(template, fields), '"edge-1" 8 ["a=r","b=r"] disk')


if __name__ == "__main__":
    unittest.main()
