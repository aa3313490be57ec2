"""HTTP/1.1 and sockets for every program of the project: parsers, encoders and helpers."""
