"""A listening Unix socket for this user only: its folder of mode 0700, the socket of mode 0600.

Opened by the control channel of a forwarder (`server.py`) and by the agent for its own clients.
"""

from __future__ import annotations

import os
import socket
import stat
from pathlib import Path

from juniperward.control.errors import ControlSocketError
from juniperward.net import sockets

BACKLOG = 8
CONNECT_TIMEOUT_S = 0.2  # to find out whether another process listens at the path
MAX_PATH_BYTES = 107  # of a Unix socket's path on Linux
PRIVATE_FOLDER = 0o700
PRIVATE_FILE = 0o600
RIGHTS_OF_OTHERS = 0o077


def open_socket(path: Path) -> socket.socket:
    """Listen at a path and return the socket; raises ControlSocketError."""
    if len(os.fsencode(path)) > MAX_PATH_BYTES:
        raise ControlSocketError(path, f"longer than the {MAX_PATH_BYTES} bytes of a Unix socket's path")
    try:
        _check_folder(path.parent)
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            _remove_stale_socket(path)
            sock.bind(str(path))
            path.chmod(PRIVATE_FILE)
            sock.listen(BACKLOG)
        except BaseException:
            sock.close()
            raise
    except OSError as error:
        raise ControlSocketError(path, error.strerror or str(error)) from error
    return sock


def _check_folder(folder: Path) -> None:
    folder.mkdir(mode=PRIVATE_FOLDER, parents=True, exist_ok=True)
    found = folder.stat()
    if found.st_uid != os.getuid() or stat.S_IMODE(found.st_mode) & RIGHTS_OF_OTHERS:
        raise ControlSocketError(folder, "must be a folder of this user with mode 0700")


def _remove_stale_socket(path: Path) -> None:
    """Remove the socket of a process that was killed; raises ControlSocketError where a process listens on it."""
    if not path.exists():
        return
    if not stat.S_ISSOCK(path.lstat().st_mode):
        raise ControlSocketError(path, "something else than a socket is there")
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as client:
        sockets.set_timeout(client, socket.SO_SNDTIMEO, CONNECT_TIMEOUT_S)
        try:
            client.connect(str(path))
        except ConnectionRefusedError:
            path.unlink()
            return
        except OSError:
            pass
    raise ControlSocketError(path, "another process listens there")
