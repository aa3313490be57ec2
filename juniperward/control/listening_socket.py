"""A listening Unix socket that only its user can connect to: directory mode 0700, socket mode 0600.

Used for the control channel of a forwarder (`server`) and for the agent's API.
"""

from __future__ import annotations

import os
import socket
import stat
from pathlib import Path

from juniperward.control.errors import ControlSocketError
from juniperward.net import sockets

BACKLOG = 8
CONNECT_TIMEOUT_S = 0.2
MAX_PATH_BYTES = 107  # Linux: sockaddr_un.sun_path without its terminating null byte
DIRECTORY_MODE = 0o700
SOCKET_MODE = 0o600
GROUP_AND_OTHERS_MASK = 0o077


def open_socket(path: Path) -> socket.socket:
    """Return a socket that listens at `path`; raises ControlSocketError.

    Creates the directory if it does not exist, and replaces the socket of a process that was killed.
    """
    if len(os.fsencode(path)) > MAX_PATH_BYTES:
        raise ControlSocketError(path, f"the path of a Unix socket has at most {MAX_PATH_BYTES} bytes")
    try:
        _ensure_private_directory(path.parent)
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            _remove_stale_socket(path)
            sock.bind(str(path))
            path.chmod(SOCKET_MODE)
            sock.listen(BACKLOG)
        except BaseException:
            sock.close()
            raise
    except OSError as error:
        raise ControlSocketError(path, error.strerror or str(error)) from error
    return sock


def _ensure_private_directory(directory: Path) -> None:
    directory.mkdir(mode=DIRECTORY_MODE, parents=True, exist_ok=True)
    status = directory.stat()
    if status.st_uid != os.getuid() or stat.S_IMODE(status.st_mode) & GROUP_AND_OTHERS_MASK:
        raise ControlSocketError(directory, "must be a directory of this user with mode 0700")


def _remove_stale_socket(path: Path) -> None:
    """Remove the socket of a process that was killed; raises ControlSocketError if a process listens."""
    if not path.exists():
        return
    if not stat.S_ISSOCK(path.lstat().st_mode):
        raise ControlSocketError(path, "exists and is not a socket")
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as client:
        sockets.set_timeout(client, socket.SO_SNDTIMEO, CONNECT_TIMEOUT_S)
        try:
            client.connect(str(path))
        except ConnectionRefusedError:
            path.unlink()
            return
        except OSError:
            pass
    raise ControlSocketError(path, "another process listens at this path")
