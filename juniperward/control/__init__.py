"""A forwarder's control channel: a Unix socket that is opened only if the configuration names its path."""
