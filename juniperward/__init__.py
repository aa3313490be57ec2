"""juniperward: a message forwarder on real sockets round the decisions of nickelscale."""
