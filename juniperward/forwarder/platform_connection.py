"""An HTTP connection to the platform for a single request, so that no answer to an earlier one can arrive on it."""

from __future__ import annotations

from juniperward.forwarder.address import format_address
from juniperward.forwarder.discovery_address import AddressChangedError, ConnectionUse, DiscoveryAddress
from juniperward.net import sockets
from juniperward.net.http_requests import encode_request
from juniperward.net.http_responses import read_response
from juniperward.net.http_values import HttpResponse
from juniperward.net.stream import Stream

NOTIFICATION_PATH = "/status"
# The time limit of connecting, and of each answer. When it has passed, notifications are sent again on a new
# connection. Two attempts must fit between a message's expiry and 0.3 s after its client's deadline.
ANSWER_TIMEOUT_S = 0.3


class PlatformConnection:
    """A connection to the platform for one request; for use by a single thread."""

    def __init__(self, address: DiscoveryAddress) -> None:
        """Connect to the platform.

        Raises:
            OSError: if the connection cannot be established in time.
            AddressChangedError: if the address changes meanwhile.

        """
        sock, connected = address.open_socket(ConnectionUse.NOTIFICATIONS)
        try:
            sockets.connect(*connected, ANSWER_TIMEOUT_S, sock)
        except OSError:
            sock.close()
            raise
        if connected != address.address:
            sock.close()
            raise AddressChangedError
        self._sock = sock
        self._reader = sockets.DeadlineReader(sock, ANSWER_TIMEOUT_S)
        self._stream = Stream(self._reader.receive)
        self._host = format_address(connected)

    def post(self, body: bytes) -> HttpResponse:
        """Post a body of encoded notifications and return the response.

        Raises:
            OSError: if sending or reading fails, or no complete response arrives in time.
            IncompleteMessageError: if the connection ends within the response.
            MalformedMessageError: if the response is not valid HTTP.

        """
        self._reader.restart()
        self._sock.sendall(encode_request("POST", NOTIFICATION_PATH, self._host, {}, body))
        return read_response(self._stream)

    def close(self) -> None:
        """Close the socket."""
        self._sock.close()
