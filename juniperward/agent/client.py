"""A client of the agent's API: sends a request to one agent, or to several agents in parallel."""

from __future__ import annotations

import concurrent.futures
import contextlib
import socket
from dataclasses import dataclass, field
from http import HTTPStatus
from pathlib import Path
from typing import Any

import msgspec

from juniperward.net import sockets
from juniperward.net.http_errors import IncompleteMessageError, MalformedMessageError
from juniperward.net.http_requests import encode_request
from juniperward.net.http_responses import read_response
from juniperward.net.http_values import HttpResponse
from juniperward.net.stream import Stream

MAX_RESPONSE_BYTES = 64 * 1024 * 1024
DEFAULT_TIMEOUT_S = 5.0


class AgentUnreachableError(Exception):
    """The agent does not accept connections, or sent no valid response within the time limit."""


class AgentRejectedError(Exception):
    """The agent rejected the request.

    Attributes:
        status: The HTTP status of the response.

    """

    def __init__(self, status: int, text: str) -> None:
        """Keep the HTTP status of the response, and use the reason that it gives as the message."""
        super().__init__(text)
        self.status = status


def request(
    path: Path,
    verb: str,
    names: list[str] | None = None,
    timeout_s: float = DEFAULT_TIMEOUT_S,
    **options: Any,
) -> Any:
    """Send one request to an agent and return the decoded response.

    Args:
        path: The path of the agent's socket.
        verb: The verb of the request.
        names: The instances that the request is about.
        timeout_s: The time limit from the connect to the end of the response, in seconds.
        options: The options of the verb.

    Raises:
        AgentUnreachableError: if the agent does not accept the connection, or sends no valid response in time.
        AgentRejectedError: if the status of the response is not 200.

    """
    body = msgspec.json.encode({"names": names or [], "options": options})
    encoded = encode_request("POST", f"/v1/{verb}", "agent", {"Connection": "close"}, body)
    try:
        response = _exchange(path, encoded, timeout_s)
        decoded = msgspec.json.decode(response.body)
    except (IncompleteMessageError, TimeoutError, BlockingIOError) as error:
        why = f"no complete answer within {timeout_s:g} s"
        raise AgentUnreachableError(why) from error
    except OSError as error:
        why = f"{path}: {error.strerror or error}"
        raise AgentUnreachableError(why) from error
    except (MalformedMessageError, msgspec.DecodeError) as error:
        why = f"{path}: invalid response: {error}"
        raise AgentUnreachableError(why) from error
    if response.status != HTTPStatus.OK:
        why = str(decoded.get("error", f"the agent answered with HTTP status {response.status}"))
        raise AgentRejectedError(response.status, why)
    return decoded


def _exchange(path: Path, request: bytes, timeout_s: float) -> HttpResponse:
    """Send a request on a new connection and read the response; `timeout_s` is the limit for both."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        reader = sockets.DeadlineReader(sock, timeout_s)
        sockets.set_timeout(sock, socket.SO_SNDTIMEO, timeout_s)
        sock.connect(str(path))
        # The agent may reject the request and close the connection before it has read all of it.
        with contextlib.suppress(BrokenPipeError):
            sock.sendall(request)
        return read_response(Stream(reader.receive), max_body_bytes=MAX_RESPONSE_BYTES)


@dataclass(frozen=True, slots=True)
class AgentReply:
    """The result of a request to one agent.

    Attributes:
        agent: The path of the agent's socket.
        body: The decoded response; empty if the request failed.
        error: Why the request failed; empty if it succeeded.
        unreachable: Whether it failed without a valid response, rather than being rejected by the agent.

    """

    agent: Path
    body: dict[str, Any] = field(default_factory=dict)
    error: str = ""
    unreachable: bool = False


def request_all(
    paths: list[Path],
    verb: str,
    names: list[str] | None = None,
    timeout_s: float = DEFAULT_TIMEOUT_S,
    **options: Any,
) -> list[AgentReply]:
    """Send one request to several agents in parallel and return their results, in the order of `paths`."""

    def request_one(path: Path) -> AgentReply:
        """Return the result of the request to one agent; a failure becomes a reply with `error`."""
        try:
            return AgentReply(path, request(path, verb, names, timeout_s, **options))
        except AgentUnreachableError as error:
            return AgentReply(path, error=str(error), unreachable=True)
        except AgentRejectedError as error:
            return AgentReply(path, error=str(error))

    with concurrent.futures.ThreadPoolExecutor(max(len(paths), 1)) as pool:
        return list(pool.map(request_one, paths))
