"""Tests; each file says in its name the behaviour that it holds."""
