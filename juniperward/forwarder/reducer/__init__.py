"""The forwarder's state transitions: a dispatcher and one handler for each kind of event; performs no I/O."""

from juniperward.forwarder.reducer.reducer import Reducer

__all__ = ["Reducer"]
