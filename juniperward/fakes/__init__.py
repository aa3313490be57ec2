"""Fakes of what surrounds a forwarder (discovery, destinations, clients) and the checker of their records."""
