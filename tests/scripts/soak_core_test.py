#!/usr/bin/env python3
"""Tests of the parts of scripts/soak-core that need no processes: the seeds, and what a read must answer."""
import argparse
import asyncio
import json
import pathlib
import types
import unittest

from load_script import load_script

SOAK = load_script("soak-core")


def make_world(seeds_with_coordinators=False):
    options = argparse.Namespace(seed=1, calm=False, network="127.9", build="b", other_build=[], fronts=5, stores=3,
                                 log_level="warning", seeds_with_coordinators=seeds_with_coordinators)
    return SOAK.World(options, pathlib.Path("/nonexistent"))


class SeedsTest(unittest.TestCase):
    def draws(self, world):
        coordinators = set(world.first_seeds())
        drawn = [world.draw_seeds() for _ in range(200)]
        self.assertTrue(all(len(set(seeds)) == SOAK.SEEDS for seeds in drawn))
        return sum(not coordinators & set(seeds) for seeds in drawn)

    def test_often_name_no_coordinator(self):
        self.assertGreater(self.draws(make_world()), 100)

    def test_name_a_coordinator_if_asked_to(self):
        self.assertEqual(self.draws(make_world(seeds_with_coordinators=True)), 0)


class ReadTest(unittest.TestCase):
    """Reads of the configuration whose answers the test gives."""

    def setUp(self):
        self.world = make_world()
        self.operator = SOAK.Operator(self.world)
        self.document = json.loads(json.dumps(self.operator.draw_document(7)))

    def read(self, status, document):
        async def call_once(*_arguments):
            return types.SimpleNamespace(status=status, body=json.dumps(document).encode())
        original, SOAK.stand_ins.call_once = SOAK.stand_ins.call_once, call_once
        try:
            return asyncio.run(self.operator.read(self.world.edges[0]))
        finally:
            SOAK.stand_ins.call_once = original

    def test_accepts_the_newest_configuration(self):
        self.assertTrue(self.read(200, self.document))
        self.assertEqual(self.world.failures, [])

    def test_an_unsure_node_has_not_answered(self):
        self.assertFalse(self.read(503, {}))
        self.assertEqual(self.world.failures, [])

    def test_refuses_an_older_version_and_another_text(self):
        self.read(200, {**self.document, "version": 6})
        self.read(200, {**self.document, "routes": []})
        self.assertEqual([failure.split(":")[0] for failure in self.world.failures], ["CONFIG", "CONFIG"])


if __name__ == "__main__":
    unittest.main()
