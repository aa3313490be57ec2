"""The agent of one machine: starts forwarder instances, supervises them and carries out rolls."""
