"""Dead letters: messages that were given up, stored, looked at, and redriven by rule."""
