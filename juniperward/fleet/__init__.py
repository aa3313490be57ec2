"""Decisions about a fleet of forwarders. Pure functions, without clock, threads or I/O."""
