"""What every program of ours shares: the parser and encoder of HTTP/1.1, helpers for sockets."""
