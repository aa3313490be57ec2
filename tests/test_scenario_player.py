"""Tests that forwarders run another policy in place of the scheduler, for `juniperward measure agreement`."""

from __future__ import annotations

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from juniperward.benchmarks.scenario_player import policy_in_forwarders

PRINT_POLICY = """
from juniperward.forwarder.reducer import Reducer
from juniperward.scheduler.settings import MessageClass, SchedulerSettings
scheduler = Reducer(SchedulerSettings((MessageClass(2.0, 12.0),), slots=6, max_open=9), 1).scheduler
print(type(getattr(scheduler, "policy", scheduler)).__name__)
"""


class PolicyInForwardersTest(unittest.TestCase):
    def policy_class_in_process(self, policy: str) -> str:
        """Return the name of the class that decides in a new process."""
        with tempfile.TemporaryDirectory() as folder, policy_in_forwarders(policy, Path(folder)):
            return subprocess.run(
                [sys.executable, "-c", PRINT_POLICY], capture_output=True, text=True, timeout=20.0, check=True
            ).stdout.strip()

    def test_a_forwarder_decides_by_the_policy(self) -> None:
        # Guards against a patch that has no effect on the reducer, so that every policy is the scheduler.
        own = self.policy_class_in_process("juniperward")
        other = self.policy_class_in_process("round-robin")
        self.assertEqual(own, "DeliveryScheduler")
        self.assertNotIn(other, ("DeliveryScheduler", "OtherPolicy"))
