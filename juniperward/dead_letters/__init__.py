"""Dead letters, messages that were given up: the forwarder's spool, the agent's store, and redrives."""
