"""The agent of one machine: keeps instances running, watches them and carries out plans."""
