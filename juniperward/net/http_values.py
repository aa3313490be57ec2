"""HTTP requests and responses as values, and the form of a number in a header."""

from __future__ import annotations

import re
from dataclasses import dataclass

# Seconds as a header gives them, with as many decimals as a program may print of a double; float() accepts far more.
DECIMAL = re.compile(r"[0-9]{1,9}(?:\.[0-9]{0,60})?|\.[0-9]{1,60}")


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request with its complete body; the names of headers are in lower case, `path` is without the query."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    close: bool  # the client wants the connection closed after the response


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response with its complete body; the names of headers are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes
    close: bool  # the server closes the connection after it
