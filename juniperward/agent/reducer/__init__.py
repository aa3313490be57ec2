"""The agent's reducer turns events into a new state and effects.

Each concern has its own handler. The reducer reads no clock and does no I/O.
"""

from juniperward.agent.reducer.reducer import Reducer
from juniperward.agent.reducer.roll_options import roll_rules

__all__ = ["Reducer", "roll_rules"]
