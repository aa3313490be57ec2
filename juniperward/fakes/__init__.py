"""Fakes of a forwarder's peers (discovery, destinations, clients), and a checker for the records of a run."""
