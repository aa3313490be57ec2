"""juniperward: a message forwarder, and the delivery scheduler that decides for it."""
