"""The errors of a control channel that its program has to know, apart so that little is loaded for them."""

from __future__ import annotations


class ControlError(Exception):
    """The channel's socket cannot be opened as the settings ask; one plain line."""
