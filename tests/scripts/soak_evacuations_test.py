#!/usr/bin/env python3
"""Tests of the checks of scripts/soak-evacuations, which need no processes: what RULES.md counts as EVAC."""
import types
import unittest

from load_script import load_script

SOAK = load_script("soak-evacuations")
OPTIONS = types.SimpleNamespace(seed=1, calm=True, late=0.5)
ZONE, OTHER_ZONE = "zone-a", "zone-b"
FRONT = types.SimpleNamespace(name="edge-4", address="10.0.0.4", counts=False)
COORDINATOR = types.SimpleNamespace(name="edge-1", address="10.0.0.1", counts=True)
ACKNOWLEDGED_AT = 100.0


class JudgeTest(unittest.TestCase):
    """Requests around one evacuation that was acknowledged at a known time and lasts for 20 s."""

    def setUp(self):
        self.world = SOAK.World(OPTIONS)
        self.world.gateways = [FRONT, COORDINATOR]
        self.world.figures.update(requests=10, served=10)
        self.order("start", -0.1, 0)

    def order(self, change, sent, acknowledged, zone=ZONE):
        """Adds an order with times after the acknowledgement of the evacuation."""
        order = SOAK.Order(zone, change, ACKNOWLEDGED_AT + sent)
        if acknowledged is not None:
            order.acknowledged = ACKNOWLEDGED_AT + acknowledged
        else:
            order.given_up = order.sent + SOAK.ACK_S
        self.world.orders.append(order)
        return order

    def run_at(self, after, zone=ZONE, gateway=FRONT):
        self.world.runs.append((ACKNOWLEDGED_AT + after, zone, gateway.address))

    def disturb(self, gateway, begun, ended):
        self.world.disturbances[gateway.name].append(
            SOAK.Span(ACKNOWLEDGED_AT + begun, ACKNOWLEDGED_AT + ended))

    def rules(self):
        SOAK.judge(self.world)
        return [failure.split(":")[0] for failure in self.world.failures]

    def test_accepts_a_zone_that_stays_empty(self):
        self.run_at(4.9)
        self.run_at(9, zone=OTHER_ZONE)
        self.order("end", 20, 20.1)
        self.run_at(20.5)
        self.assertEqual(self.rules(), [])

    def test_refuses_a_request_after_the_bound(self):
        self.run_at(5.1)
        self.order("end", 20, 20.1)
        self.assertEqual(self.rules(), ["EVAC"])

    def test_accepts_a_request_once_the_evacuation_is_taken_back_without_an_answer(self):
        self.order("end", 7, None)
        self.run_at(8)
        self.disturb(FRONT, 7, 8)
        self.assertEqual(self.rules(), [])

    def test_a_disturbed_gateway_is_not_counted(self):
        self.disturb(FRONT, 4, 6)
        self.run_at(8.9)
        self.order("end", 20, 20.1)
        self.assertEqual(self.rules(), [])

    def test_a_gateway_counts_again_once_it_was_calm(self):
        self.disturb(FRONT, 4, 6)
        self.run_at(9.1)
        self.order("end", 20, 20.1)
        self.assertEqual(self.rules(), ["EVAC"])

    def test_an_unstable_core_extends_the_bound(self):
        self.disturb(COORDINATOR, 1, 2)
        self.run_at(9.9)
        self.order("end", 20, 20.1)
        self.assertEqual(self.rules(), [])

    def test_an_unstable_core_extends_the_bound_by_no_more_than_its_own(self):
        self.disturb(COORDINATOR, 1, 2)
        self.run_at(10.1)
        self.order("end", 20, 20.1)
        self.assertEqual(self.rules(), ["EVAC"])

    def test_refuses_a_zone_that_is_not_served_after_it_was_taken_back(self):
        self.order("end", 6, 6.1)
        for number in range(SOAK.CALLS_TO_SHOW_SERVICE):
            self.run_at(12 + number / 100, zone=OTHER_ZONE)
        self.order("start", 20, 20.1)
        self.order("end", 30, 30.1)
        self.assertEqual(self.rules(), ["EMPTIED"])

    def test_refuses_an_order_without_acknowledgement_in_calm(self):
        self.order("end", 7, None)
        self.assertEqual(self.rules(), ["ACK"])

    def test_refuses_a_run_that_shows_nothing(self):
        self.order("end", 2, 2.1)
        self.assertEqual(self.rules(), ["NOTHING"])


class LocationTest(unittest.TestCase):
    def test_reads_a_whole_url(self):
        self.assertEqual(SOAK.parse_location("http://10.0.0.4:8080/a/b", "x", 1), ("10.0.0.4", 8080, "/a/b"))

    def test_reads_a_path_of_the_same_node(self):
        self.assertEqual(SOAK.parse_location("/a/b", "10.0.0.4", 8080), ("10.0.0.4", 8080, "/a/b"))


if __name__ == "__main__":
    unittest.main()
