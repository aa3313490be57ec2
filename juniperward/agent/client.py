"""Requests to agents: one to each, all at the same time, with a time limit on every one; the tool calls it."""

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

MAX_ANSWER_BYTES = 64 * 1024 * 1024
DEFAULT_TIMEOUT_S = 5.0


class AgentUnreachableError(Exception):
    """No answer in time, or nobody listens at the socket."""


class AgentRejectedError(Exception):
    """The agent rejected the request and says why; `status` is the HTTP status of its response."""

    def __init__(self, status: int, text: str) -> None:
        """Take the answer's HTTP status, and its text."""
        super().__init__(text)
        self.status = status


def request(
    path: Path,
    verb: str,
    names: list[str] | None = None,
    timeout_s: float = DEFAULT_TIMEOUT_S,
    **options: Any,
) -> Any:
    """Return the answer to one request; `timeout_s` is the time for all of it, in seconds.

    Raises:
        AgentUnreachableError: for no complete answer in time, or nobody there.
        AgentRejectedError: where the agent rejects the request.

    """
    body = msgspec.json.encode({"names": names or [], "options": options})
    encoded = encode_request("POST", f"/v1/{verb}", "agent", {"Connection": "close"}, body)
    try:
        answer = _exchange(path, encoded, timeout_s)
        found = msgspec.json.decode(answer.body)
    except (IncompleteMessageError, TimeoutError, BlockingIOError) as error:
        why = f"no complete answer within {timeout_s:g} s"
        raise AgentUnreachableError(why) from error
    except OSError as error:
        why = f"{path}: {error.strerror or error}"
        raise AgentUnreachableError(why) from error
    except (MalformedMessageError, msgspec.DecodeError) as error:
        why = f"an answer that cannot be read: {error}"
        raise AgentUnreachableError(why) from error
    if answer.status != HTTPStatus.OK:
        raise AgentRejectedError(answer.status, str(found.get("error", f"answered {answer.status}")))
    return found


def _exchange(path: Path, request: bytes, timeout_s: float) -> HttpResponse:
    """Send a request on a connection of its own, and read the answer within the time for both."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
        timed = sockets.DeadlineReader(sock, timeout_s)
        sockets.set_timeout(sock, socket.SO_SNDTIMEO, timeout_s)
        sock.connect(str(path))
        with contextlib.suppress(BrokenPipeError):  # one that is rejected is answered before it has written
            sock.sendall(request)
        return read_response(Stream(timed.receive), max_body_bytes=MAX_ANSWER_BYTES)


@dataclass(frozen=True, slots=True)
class AgentReply:
    """What became of a request to one agent: a body, or an error and whether the agent was unreachable."""

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
    """Send one request to several agents at once; one row for each, in their order, whatever became of it."""

    def request_one(path: Path) -> AgentReply:
        try:
            return AgentReply(path, request(path, verb, names, timeout_s, **options))
        except AgentUnreachableError as error:
            return AgentReply(path, error=str(error), unreachable=True)
        except AgentRejectedError as error:
            return AgentReply(path, error=str(error))

    with concurrent.futures.ThreadPoolExecutor(max(len(paths), 1)) as pool:
        return list(pool.map(request_one, paths))
