#!/usr/bin/env python3
"""Tests that the checks of scripts/mixed-fleet fail on each kind of loss, with a fake fleet."""
import unittest

from load_script import load_script

mixed_fleet = load_script("mixed-fleet")


def result(index, outcome="ITEM_OUTCOME_SUCCEEDED"):
    return {"position": str(index + 1), "custom_id": f"item-{index}", "outcome": outcome}


class FakeFleet:
    """Returns the results and the count of successes that a test passed in."""

    def __init__(self, results, succeeded=None):
        self.batch_results = results
        self.succeeded = len(results) if succeeded is None else succeeded

    def wait_finished(self, batch_id):
        return {"batch_id": batch_id, "state": "BATCH_STATE_FINISHED", "succeeded": self.succeeded}

    def results(self, batch_id):
        return self.batch_results


class CheckBatchTest(unittest.TestCase):
    def test_accepts_one_success_per_item(self):
        mixed_fleet.check_batch(FakeFleet([result(0), result(1)]), "1-a", 2)

    def test_fails_on_a_missing_result(self):
        with self.assertRaisesRegex(mixed_fleet.CheckFailure, "1 results of 1 items, 2 were submitted"):
            mixed_fleet.check_batch(FakeFleet([result(0)]), "1-a", 2)

    def test_fails_on_a_result_listed_twice(self):
        with self.assertRaisesRegex(mixed_fleet.CheckFailure, "2 results of 1 items"):
            mixed_fleet.check_batch(FakeFleet([result(0), result(0)]), "1-a", 2)

    def test_fails_on_an_item_without_success(self):
        failed = FakeFleet([result(0), result(1, "ITEM_OUTCOME_UNKNOWN")])
        with self.assertRaisesRegex(mixed_fleet.CheckFailure, "1 items failed"):
            mixed_fleet.check_batch(failed, "1-a", 2)

    def test_fails_on_a_status_that_counts_fewer_successes(self):
        with self.assertRaisesRegex(mixed_fleet.CheckFailure, "status"):
            mixed_fleet.check_batch(FakeFleet([result(0), result(1)], succeeded=1), "1-a", 2)


class CompareTest(unittest.TestCase):
    def test_accepts_equal_snapshots(self):
        mixed_fleet.compare({"history": [1]}, {"history": [1]}, "front-1")

    def test_failure_names_the_machine_and_the_differing_part(self):
        with self.assertRaisesRegex(mixed_fleet.CheckFailure, r"front-1: history was \[1\], is \[2\]"):
            mixed_fleet.compare({"history": [1]}, {"history": [2]}, "front-1")


class StreamedCallTest(unittest.TestCase):
    def call(self, lines):
        fleet = object.__new__(mixed_fleet.MixedFleet)
        fleet.request_once = lambda *_: (200, "\n".join(lines))
        fleet.streamed_call("front-1")

    def test_accepts_consecutive_chunks_with_an_end(self):
        self.call(['{"text": "a"}', '{"sequence": "1", "end": true}'])

    def test_fails_on_a_missing_chunk(self):
        with self.assertRaisesRegex(mixed_fleet.CheckFailure, "incomplete"):
            self.call(['{"text": "a"}', '{"sequence": "2", "end": true}'])

    def test_fails_on_a_stream_without_an_end(self):
        with self.assertRaisesRegex(mixed_fleet.CheckFailure, "incomplete"):
            self.call(['{"text": "a"}'])


if __name__ == "__main__":
    unittest.main()
