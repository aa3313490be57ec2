"""juniperward: a message forwarder on real sockets round a delivery scheduler that decides."""
