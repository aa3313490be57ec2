"""Tests; each file is named after the behavior or the module that it tests."""
