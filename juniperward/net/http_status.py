"""The HTTP status codes that the programs send or receive, and their reason phrases."""

from __future__ import annotations

from enum import IntEnum


class HttpStatus(IntEnum):
    """A status code, named as in RFC 9110."""

    OK = 200
    ACCEPTED = 202
    NO_CONTENT = 204
    NOT_MODIFIED = 304
    BAD_REQUEST = 400
    FORBIDDEN = 403
    NOT_FOUND = 404
    METHOD_NOT_ALLOWED = 405
    REQUEST_TIMEOUT = 408
    CONFLICT = 409
    GONE = 410
    LENGTH_REQUIRED = 411
    CONTENT_TOO_LARGE = 413
    TOO_MANY_REQUESTS = 429
    HEADER_FIELDS_TOO_LARGE = 431
    INTERNAL_SERVER_ERROR = 500
    SERVICE_UNAVAILABLE = 503
    GATEWAY_TIMEOUT = 504
    VERSION_NOT_SUPPORTED = 505


# Lower status codes are those of interim responses.
FIRST_FINAL_STATUS = 200
STATUSES_WITHOUT_BODY = (HttpStatus.NO_CONTENT, HttpStatus.NOT_MODIFIED)
# The reason phrases of the status codes that the programs send.
REASON_PHRASES = {
    200: "OK",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    411: "Length Required",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    505: "HTTP Version Not Supported",
}
