"""HTTP requests and responses as values, and the syntax of decimal numbers in headers."""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

# A number of seconds in a header, with as many decimals as a printed double may have. It is checked before
# float(), which also accepts exponents, signs, infinities and NaN.
DECIMAL = re.compile(r"[0-9]{1,9}(?:\.[0-9]{0,60})?|\.[0-9]{1,60}")


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request with its complete body.

    Attributes:
        path: the path of the target, without the query.
        headers: values by name in lower case.
        close: whether the client wants the connection closed after the response.

    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    close: bool


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A response with its complete body.

    Attributes:
        headers: values by name in lower case.
        close: whether the server closes the connection after the response.

    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    close: bool
