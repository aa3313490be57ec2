"""The lab: a model of the world that forwarders serve, in simulated time, and experiments on it."""
