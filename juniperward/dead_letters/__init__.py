"""Dead letters: messages that were given up: their spool, their store, and their redrives."""
