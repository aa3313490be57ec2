"""Discrete-event simulation of clients, forwarders and destinations, and experiments that run it."""
