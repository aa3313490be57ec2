"""Everything that touches a socket, and the parser and encoder of HTTP/1.1."""
