"""The agent's reducer: events in, a new state and effects out; a handler a concern. No clock, no I/O."""

from juniperward.agent.reducer.reducer import Reducer
from juniperward.agent.reducer.roll_options import roll_rules

__all__ = ["Reducer", "roll_rules"]
