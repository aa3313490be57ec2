"""Runs the delivery scheduler under the simulator: `python -m juniperward.simulator_adapter`."""
