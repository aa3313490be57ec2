"""Asking agents: one call each, all at the same time, and a time limit on every one."""

from __future__ import annotations

import concurrent.futures
import contextlib
import socket
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from juniperward.net import sockets
from juniperward.net.http import (
    IncompleteMessageError,
    MalformedMessageError,
    Stream,
    encode_request,
    read_response,
)

MOST_ANSWER = 64 * 1024 * 1024


class AgentUnreachableError(Exception):
    """No answer in time, or nobody listens at the socket."""


class AgentRejectedError(Exception):
    """The agent will not, and says why; `status` is the answer's."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


def ask(path: Path, verb: str, names: list[str] | None = None, patience: float = 5.0, **options: Any) -> Any:
    """The answer to one call; raises AgentSilent or AgentRefused."""
    until = time.monotonic() + patience
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    try:
        sockets.limit(sock, socket.SO_SNDTIMEO, patience)
        sock.connect(str(path))
        body = msgspec.json.encode({"names": names or [], "options": options})
        with contextlib.suppress(
            BrokenPipeError
        ):  # one that is turned away is answered before it has written
            sock.sendall(encode_request("POST", f"/v1/{verb}", "agent", {"Connection": "close"}, body))

        def receive(size: int) -> bytes:
            left = until - time.monotonic()
            if left <= 0:
                raise TimeoutError
            sockets.limit(sock, socket.SO_RCVTIMEO, left)
            return sock.recv(size)

        answer = read_response(Stream(receive), most=MOST_ANSWER)
        found = msgspec.json.decode(answer.body)
    except (IncompleteMessageError, TimeoutError, BlockingIOError) as error:
        raise AgentUnreachableError(f"no whole answer within {patience:g} s") from error
    except OSError as error:
        raise AgentUnreachableError(f"{path}: {error.strerror or error}") from error
    except (MalformedMessageError, msgspec.DecodeError) as error:
        raise AgentUnreachableError(f"an answer that cannot be read: {error}") from error
    finally:
        sock.close()
    if answer.status != 200:
        raise AgentRejectedError(answer.status, str(found.get("error", f"answered {answer.status}")))
    return found


@dataclass(frozen=True, slots=True)
class InstanceReply:
    """What one agent said: a body, or an error with whether it was silence."""

    agent: Path
    body: dict[str, Any] = field(default_factory=dict)
    error: str = ""
    silent: bool = False


def ask_all(
    paths: list[Path], verb: str, names: list[str] | None = None, patience: float = 5.0, **options: Any
) -> list[InstanceReply]:
    """Ask several agents at once; one row for each, in their order, whatever became of it."""

    def one(path: Path) -> InstanceReply:
        try:
            return InstanceReply(path, ask(path, verb, names, patience, **options))
        except AgentUnreachableError as error:
            return InstanceReply(path, error=str(error), silent=True)
        except AgentRejectedError as error:
            return InstanceReply(path, error=str(error))

    with concurrent.futures.ThreadPoolExecutor(max(len(paths), 1)) as pool:
        return list(pool.map(one, paths))
