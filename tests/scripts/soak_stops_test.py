#!/usr/bin/env python3
"""Tests of the checks of scripts/soak-stops, which need no processes: what RULES.md counts as lost."""
import types
import unittest

from load_script import load_script

SOAK = load_script("soak-stops")
OPTIONS = types.SimpleNamespace(seed=1, calm=False)
GATEWAY = types.SimpleNamespace(name="edge-1")
OTHER_GATEWAY = types.SimpleNamespace(name="edge-2")
SIGTERM_AT = 100.0


class JudgeTest(unittest.TestCase):
    """Requests of one gateway that got SIGTERM at a known time."""

    def setUp(self):
        self.world = SOAK.World(OPTIONS)
        stop = SOAK.Stop(GATEWAY)
        stop.begun, stop.ended = SIGTERM_AT, SIGTERM_AT + 7.5
        self.world.stops.append(stop)
        for number in range(9):  # Late requests that are served, so that the run shows something.
            self.add(f"ok{number}", sent=3.5, ended=4.0, status=200, whole=True)

    def add(self, request_id, sent, ended, status=None, whole=False, worked_until=None, gateway=GATEWAY,
            prefix="/explain/"):
        """Adds a request with times after the SIGTERM; `worked_until` is the end of its run, if it ran."""
        request = SOAK.Request(request_id, prefix + request_id, gateway)
        request.sent, request.ended = SIGTERM_AT + sent, SIGTERM_AT + ended
        request.status, request.whole = status, whole
        self.world.requests.append(request)
        if worked_until is not None:
            run = self.world.runs[request_id] = SOAK.Run()
            run.begun, run.ended, run.count = request.sent, SIGTERM_AT + worked_until, 1
        return request

    def rules(self):
        SOAK.judge(self.world)
        return [failure.split(":")[0] for failure in self.world.failures]

    def test_accepts_whole_answers(self):
        self.assertEqual(self.rules(), [])

    def test_refuses_a_late_request_that_is_cut_in_the_last_sixth(self):
        self.add("a", sent=3.1, ended=7.5, worked_until=7.5)
        self.assertEqual(self.rules(), ["LOST"])

    def test_accepts_an_early_request_that_is_cut_in_the_last_sixth(self):
        self.add("a", sent=2.9, ended=7.5, worked_until=7.5)
        self.assertEqual(self.rules(), [])

    def test_refuses_an_early_request_that_is_cut_before_the_last_sixth(self):
        self.add("a", sent=0.5, ended=3.3, worked_until=3.3)
        self.assertEqual(self.rules(), ["LOST"])

    def test_refuses_a_cut_without_any_stop(self):
        self.add("a", sent=1.0, ended=2.0, worked_until=2.0, gateway=OTHER_GATEWAY)
        self.assertEqual(self.rules(), ["LOST"])

    def test_accepts_a_request_that_crosses_the_close(self):
        self.add("a", sent=4.3, ended=4.45)
        self.assertEqual(self.rules(), [])

    def test_refuses_a_request_that_was_held_and_never_answered(self):
        self.add("a", sent=4.0, ended=7.5)
        self.assertEqual(self.rules(), ["LOST"])

    def test_accepts_a_cut_at_the_deadline(self):
        self.add("a", sent=0.2, ended=6.2, worked_until=6.2)
        self.assertEqual(self.rules(), [])

    def test_refuses_a_run_behind_a_promise_that_nothing_ran(self):
        self.add("a", sent=3.5, ended=3.6, status=503, whole=True, worked_until=4.0)
        self.assertEqual(self.rules(), ["REFUSED"])

    def test_refuses_a_second_run_and_a_wrong_answer(self):
        self.add("a", sent=1.0, ended=2.0, status=200, whole=True, worked_until=2.0).right = False
        self.world.runs["a"].count = 2
        self.assertEqual(self.rules(), ["MIXED", "TWICE"])

    def test_refuses_a_4xx_that_is_no_promise(self):
        self.add("a", sent=1.0, ended=1.1, status=404, whole=True)
        self.add("b", sent=1.0, ended=1.1, status=429, whole=True)
        self.assertEqual(self.rules(), ["DENIED"])

    def test_refuses_a_run_without_a_late_request(self):
        self.world.requests = self.world.requests[:1]
        self.world.requests[0].sent = SIGTERM_AT + 1
        self.assertEqual(self.rules(), ["NOTHING"])


if __name__ == "__main__":
    unittest.main()
