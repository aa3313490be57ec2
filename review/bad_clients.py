"""Bad clients: connections that send a message of a class that does not exist, again as soon as it is turned away.

Usage: bad_clients.py PORT CONNECTIONS SECONDS. They read what they are sent and end by themselves.
"""

from __future__ import annotations

import asyncio
import re
import sys
import time

LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)


def request(number: int) -> bytes:
    """Return the request of a connection."""
    lines = [
        "POST /api HTTP/1.1",
        "Host: api.internal",
        f"X-Correlation-Id: bad{number}",
        "X-Service-Class: no-such-class",
        "X-Account: valiya-yard",
        "X-Time-Left: 5.000",
        "X-Addressing: dest=1",
        f"Idempotency-Key: bad{number}",
        "Content-Length: 4",
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + b"body"


async def exchange(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, data: bytes) -> bool:
    """Send a request and read its answer; return whether the connection stays open."""
    writer.write(data)
    head = await reader.readuntil(b"\r\n\r\n")
    length = LENGTH.search(head)
    if length is not None:
        await reader.readexactly(int(length[1]))
    return b"connection: close" not in head.lower()


async def client(port: int, number: int, until: float) -> int:
    """Send until a time; return how many answers were read."""
    answers = 0
    while time.monotonic() < until:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            await asyncio.sleep(0.05)
            continue
        try:
            while time.monotonic() < until:
                stays_open = await exchange(reader, writer, request(number))
                answers += 1
                if not stays_open:
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        writer.close()
    return answers


async def main(port: int, connections: int, seconds: float) -> None:
    """Run the clients and print how many answers they read."""
    until = time.monotonic() + seconds
    print(sum(await asyncio.gather(*(client(port, number, until) for number in range(connections)))))


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])))
