"""HTTP/1.1 parsers and encoders, and socket helpers, shared by all programs of the project."""
