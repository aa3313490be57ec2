"""The delivery scheduler on the simulator's wire: `python -m juniperward.simulator_adapter`."""
