"""Messages that were given up: kept, looked at, and sent again by rule."""
