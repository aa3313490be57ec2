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


class AgentSilent(Exception):
    """No answer in time, or nobody listens at the socket."""


class AgentRefused(Exception):
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
        raise AgentSilent(f"no whole answer within {patience:g} s") from error
    except OSError as error:
        raise AgentSilent(f"{path}: {error.strerror or error}") from error
    except (MalformedMessageError, msgspec.DecodeError) as error:
        raise AgentSilent(f"an answer that cannot be read: {error}") from error
    finally:
        sock.close()
    if answer.status != 200:
        raise AgentRefused(answer.status, str(found.get("error", f"answered {answer.status}")))
    return found


@dataclass(frozen=True, slots=True)
class Told:
    """What one agent said: a body, or an error with whether it was silence."""

    agent: Path
    body: dict[str, Any] = field(default_factory=dict)
    error: str = ""
    silent: bool = False


def ask_all(
    paths: list[Path], verb: str, names: list[str] | None = None, patience: float = 5.0, **options: Any
) -> list[Told]:
    """Ask several agents at once; one row for each, in their order, whatever became of it."""

    def one(path: Path) -> Told:
        try:
            return Told(path, ask(path, verb, names, patience, **options))
        except AgentSilent as error:
            return Told(path, error=str(error), silent=True)
        except AgentRefused as error:
            return Told(path, error=str(error))

    with concurrent.futures.ThreadPoolExecutor(max(len(paths), 1)) as pool:
        return list(pool.map(one, paths))
