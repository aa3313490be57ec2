"""FakeDiscovery, partners, clients and the sink of notices, written for this project; and the checker."""
