#!/usr/bin/env python3
"""Tests of the checks of scripts/soak-batch-results, which need no processes."""
import asyncio
import json
import types
import unittest

from load_script import load_script

SOAK = load_script("soak-batch-results")
OPTIONS = types.SimpleNamespace(seed=1, calm=False)
ITEMS = ("0000000100000001", "0001000100000002", "0002000100000003")


class ReadTest(unittest.TestCase):
    """Reads of one batch whose answers the test gives."""

    def setUp(self):
        self.world = SOAK.World(OPTIONS)
        self.batch = SOAK.Batch("b1", {item: 100 for item in ITEMS})
        self.batch.accepted = True
        self.world.batches["b1"] = self.batch
        self.clients = SOAK.Clients(self.world, [types.SimpleNamespace(name="edge-1", address="127.0.0.1")])

    def read(self, since, items, total=len(ITEMS), text=None):
        results = [{"id": item, "state": "completed", "text": SOAK.output_of(item) if text is None else text}
                   for item in items]
        self.answer(200, json.dumps({"total": total, "next_token": since + len(items), "results": results}))
        return asyncio.run(self.clients.read(self.batch, since))

    def answer(self, status, body):
        async def call(_address, _message, _timeout_s):
            return types.SimpleNamespace(status=status, body=body.encode())
        self.clients.connections.call = call

    def rules(self):
        return [failure.split(":")[0] for failure in self.world.failures]

    def test_accepts_pages_that_repeat_and_go_on(self):
        self.assertEqual(self.read(0, ITEMS[:1]), 1)
        self.assertEqual(self.read(0, ITEMS), 3)
        self.assertEqual(self.read(2, ITEMS[2:]), 1)
        self.assertEqual(self.rules(), [])
        self.assertTrue(self.batch.listed)

    def test_refuses_another_result_at_a_position(self):
        self.read(0, ITEMS[:1])
        self.read(0, [ITEMS[1]])
        self.assertIn("TWICE", self.rules())

    def test_refuses_an_item_at_two_positions(self):
        self.read(0, ITEMS[:1])
        self.read(1, ITEMS[:1])
        self.assertEqual(self.rules(), ["TWICE"])

    def test_refuses_another_text_at_a_position(self):
        self.read(0, ITEMS[:1])
        self.read(0, ITEMS[:1], text="other")
        self.assertEqual(self.rules(), ["TWICE", "MIXED"])

    def test_refuses_a_wrong_total(self):
        self.read(0, ITEMS[:1], total=2)
        self.assertEqual(self.rules(), ["MIXED"])

    def test_a_read_that_failed_is_told_from_an_empty_one(self):
        self.answer(503, "")
        self.assertIsNone(asyncio.run(self.clients.read(self.batch, 0)))
        self.assertEqual(self.read(0, []), 0)
        self.assertEqual(self.rules(), [])

    def test_refuses_a_batch_that_lost_results_at_the_end(self):
        self.read(0, ITEMS)
        self.answer(200, json.dumps({"total": 3, "next_token": 0, "results": []}))
        asyncio.run(self.clients.read_all())
        self.assertEqual(self.rules(), ["LOST"])


class ShowsSomethingTest(unittest.TestCase):
    def failures(self, listed, store_ends):
        world = SOAK.World(OPTIONS)
        batch = SOAK.Batch("b1", {item: 100 for item in ITEMS})
        batch.accepted = True
        batch.results = {position: (item, "completed", "") for position, item in enumerate(ITEMS[:listed])}
        world.batches["b1"] = batch
        world.figures["store_ends"] = store_ends
        SOAK.check_that_the_run_shows_something(world)
        return [failure.split(":")[0] for failure in world.failures]

    def test_refuses_a_run_that_lists_little(self):
        self.assertEqual(self.failures(listed=1, store_ends=2), ["NOTHING"])

    def test_refuses_a_run_without_the_end_of_an_owner(self):
        self.assertEqual(self.failures(listed=3, store_ends=0), ["NOTHING"])
        self.assertEqual(self.failures(listed=3, store_ends=1), [])


if __name__ == "__main__":
    unittest.main()
