"""The one place where the forwarder's state changes: a dispatcher and a handler a concern, without I/O."""

from juniperward.forwarder.reducer.reducer import Reducer

__all__ = ["Reducer"]
