"""A forwarder's control channel: a Unix socket, opened only where the settings name its path."""
