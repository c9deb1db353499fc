#!/usr/bin/env python3
"""Tests of the parts of scripts/soak-changes that need no processes: the configurations and the checks."""
import asyncio
import random
import time
import types
import unittest

from load_script import load_script

SOAK = load_script("soak-changes")
OPTIONS = types.SimpleNamespace(seed=1, slots=2)


def make_world(*route_sets):
    """Returns a world whose operator sent these configurations, each in force for a second."""
    world = SOAK.World(OPTIONS)
    for number, routes in enumerate(route_sets):
        version = SOAK.Version(number + 1, routes)
        version.sent = version.acknowledged = time.monotonic() - 100 + number
        world.history.versions.append(version)
    return world


class VersionTest(unittest.TestCase):
    def test_the_longest_prefix_wins(self):
        version = SOAK.Version(1, {"a": SOAK.batch_route("/audit/", "tokens"),
                                   "b": SOAK.batch_route("/audit/deep/", "notes")})
        self.assertEqual(SOAK.services_of(version.match("/audit/x")), {"tokens"})
        self.assertEqual(SOAK.services_of(version.match("/audit/deep/x")), {"notes"})
        self.assertIsNone(version.match("/other/"))

    def test_a_part_without_weight_runs_nothing(self):
        route = {"split": [{"service": "canary", "weight": 0}, {"service": "notes", "weight": 5}]}
        self.assertEqual(SOAK.services_of(route), {"notes"})

    def test_a_version_stays_in_force_for_a_while_after_the_next(self):
        world = make_world({}, {})
        first, second = world.history.versions
        self.assertEqual(world.history.in_force(second.acknowledged + 1, second.acknowledged + 1), [first, second])
        self.assertEqual(world.history.in_force(second.acknowledged + 5, second.acknowledged + 5), [second])


class ChangesTest(unittest.TestCase):
    def test_every_change_is_valid(self):
        changes = SOAK.Changes(random.Random(7))
        routes = changes.first()
        for _ in range(2000):
            _, series = changes.draw(routes)
            for routes in series:
                prefixes = [route["prefix"] for route in routes.values()]
                self.assertEqual(len(set(prefixes)), len(prefixes))
                self.assertTrue(all(SOAK.services_of(route) for route in routes.values()))


class ChecksTest(unittest.TestCase):
    def setUp(self):
        self.world = make_world({"a": SOAK.batch_route("/audit/", "tokens")})
        self.batch = SOAK.Batch("b", "/audit/b", {"i": "/audit/i"})
        self.batch.accepted = time.monotonic()
        self.world.batches["b"] = self.batch
        self.world.item_paths["i"] = ("/audit/b", "/audit/i")
        self.clients = SOAK.Clients(self.world, [])

    def test_refuses_a_run_at_a_foreign_service(self):
        self.world.record_run(types.SimpleNamespace(service="tokens"), "i", "/audit/i")
        self.assertEqual(self.world.failures, [])
        self.world.record_run(types.SimpleNamespace(service="mails"), "i", "/audit/i")
        self.assertEqual(self.world.figures["failed_ROUTE"], 1)

    def test_refuses_a_text_that_is_not_whole(self):
        self.clients.check_result(self.batch, {"id": "i", "state": "completed", "text": "i-1\ni-2\ni-3"})
        self.assertEqual(self.world.failures, [])
        self.clients.check_result(self.batch, {"id": "i", "state": "completed", "text": "i-1\ni-3"})
        self.assertEqual(self.world.figures["failed_MIXED"], 1)

    def test_refuses_dead_letter_while_the_route_is_there(self):
        self.clients.check_result(self.batch, {"id": "i", "state": "dead_letter"})
        self.assertEqual(self.world.figures["failed_MIXED"], 1)

    def test_refuses_an_item_that_no_replica_runs_any_more(self):
        self.clients.read = lambda batch: asyncio.sleep(0)
        asyncio.run(SOAK.wait_for_the_end(self.world, self.clients, 0.1))
        self.assertEqual(self.world.figures["failed_LOST"], 1)

    def send_again(self, status):
        async def submit(_):
            return status
        self.clients.submit = submit
        asyncio.run(self.clients.send_again(self.batch))

    def test_refuses_to_turn_an_accepted_batch_away(self):
        self.send_again(202)
        self.assertEqual(self.world.failures, [])
        self.send_again(404)
        self.assertEqual(self.world.figures["failed_LOST"], 1)

    def test_refuses_to_turn_an_accepted_batch_away_after_its_route_was_removed(self):
        self.world.history = make_world({"a": SOAK.batch_route("/audit/", "tokens")}, {}).history
        self.send_again(404)
        self.assertEqual(self.world.figures["failed_LOST"], 1)

    def test_lets_live_calls_take_the_path_of_a_batch(self):
        self.world.history = make_world({"a": SOAK.live_route("/audit/", "saves")}).history
        self.send_again(404)
        self.assertEqual(self.world.failures, [])

    def test_refuses_runs_of_a_batch_that_was_refused(self):
        self.batch.statuses = [429, 503]
        SOAK.check_refused(self.world)
        self.assertEqual(self.world.failures, [])
        self.world.runs["i"] = 1
        SOAK.check_refused(self.world)
        self.assertEqual(self.world.figures["failed_REFUSED"], 1)

    def test_counts_open_tokens_until_a_replica_has_finished_them(self):
        self.assertEqual(self.world.open_tokens("/audit/"), SOAK.ITEM_TOKENS)
        self.world.finished.add("i")
        self.assertEqual(self.world.open_tokens("/audit/"), 0)


if __name__ == "__main__":
    unittest.main()
