"""Reads one request of a client connection, with a permit for the wait for its rest, or rejects it."""

from __future__ import annotations

import time

from juniperward.forwarder.client_connection import READ_BYTES, ClientConnection
from juniperward.forwarder.codec import encode_reply
from juniperward.forwarder.concurrency_limit import ConcurrencyLimit
from juniperward.forwarder.incomplete_requests import IncompleteRequests
from juniperward.forwarder.telemetry import increment
from juniperward.net.http_errors import IncompleteMessageError, MalformedMessageError, MessageTimeoutError
from juniperward.net.http_requests import RequestHooks, read_request
from juniperward.net.http_status import HttpStatus
from juniperward.net.http_values import HttpRequest
from juniperward.net.stream import Stream

# The Retry-After of rejections that are not made by the reducer.
RETRY_AFTER_S = 1.0
GIVEN_UP = "given up to free memory and a thread"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class PermitNeededError(Exception):
    """The rest of a request is to be waited for, and all permits for that are in use."""


class RequestReader:
    """Reads requests; any number of threads may use it, one for each connection."""

    def __init__(self, incomplete: IncompleteRequests, limit: ConcurrencyLimit) -> None:
        """Wait for the rest of requests with permits of `incomplete`, and without a slot of `limit`."""
        self._incomplete, self._limit = incomplete, limit

    def open_stream(self, client: ClientConnection) -> Stream:
        """Return the stream of a connection; it is kept until the connection ends."""
        if client.stream is None:
            client.stream = Stream(lambda size: self._receive(client, size), READ_BYTES)
        return client.stream

    def read(self, client: ClientConnection, stream: Stream) -> HttpRequest | None:
        """Return the next request, or reject it and return None.

        Raises:
            PermitNeededError: if the rest of the request has to be waited for and there is no permit for that.
            IncompleteMessageError: if the connection ends before the end of the request.

        """
        try:
            request = read_request(stream, RequestHooks(lambda: self._send_continue(client)))
        except MalformedMessageError as error:
            increment("requests_malformed")
            client.write(encode_reply(error.status, 0.0, True, str(error)))
        except MessageTimeoutError:
            increment("requests_timed_out")
            text = "the call was not whole in time"
            client.write(encode_reply(HttpStatus.REQUEST_TIMEOUT, 0.0, True, text))
        except IncompleteMessageError:
            if not client.given_up:
                raise
            text = "too many incomplete requests"
            client.write(encode_reply(HttpStatus.SERVICE_UNAVAILABLE, RETRY_AFTER_S, True, text))
        else:
            self._incomplete.end(client)
            client.unparsed = b""
            return request
        return None

    def _receive(self, client: ClientConnection, size: int) -> bytes:
        """Return further bytes of a request.

        Raises PermitNeededError, TimeoutError or BlockingIOError at the time limit of the request, and
        ConnectionError if it was given up.
        """
        self._get_permit(client)
        if time.monotonic() >= client.read_deadline:
            raise TimeoutError
        try:
            data = client.receive_available(size)
        except BlockingIOError:
            with self._limit.blocking:
                data = client.receive(size)
        if client.given_up:
            raise ConnectionAbortedError(GIVEN_UP)
        return data

    def _get_permit(self, client: ClientConnection) -> None:
        if client.given_up:
            raise ConnectionAbortedError(GIVEN_UP)
        if not self._incomplete.begin(client):
            raise PermitNeededError

    def _send_continue(self, client: ClientConnection) -> None:
        self._get_permit(client)
        with self._limit.blocking:
            client.sock.sendall(CONTINUE)
