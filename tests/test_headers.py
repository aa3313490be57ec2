"""What a message costs in memory and in steps of the interpreter while it is read, and what its headers contain."""

from __future__ import annotations

import contextlib
import socket
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from types import FrameType

import pytest

from juniperward.forwarder.descriptors import divide_descriptors
from juniperward.net.headers import Headers
from juniperward.net.http_errors import IncompleteMessageError, MalformedMessageError
from juniperward.net.http_head import MAX_BODY_BYTES, MAX_HEAD_BYTES, read_headers
from juniperward.net.http_requests import read_request
from juniperward.net.http_responses import MAX_BODY_CHUNKS, read_response
from juniperward.net.stream import Stream
from tests.player import Program
from tests.test_client_faults import stream_of

# Two copies of the headers are held, and the bytes received are a third until all are read.
MAX_COPIES = 3
MAX_STEPS = 300


def short_lines(count: int) -> bytes:
    """Return header lines with different names of four characters."""
    return b"".join(b"%04x:\r\n" % number for number in range(count))


def count_steps(run: Callable[[], object]) -> int:
    """Return how many functions, of Python or C, a call enters."""
    steps = 0

    def count(_frame: FrameType, event: str, _argument: object) -> None:
        nonlocal steps
        steps += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        run()
    except (MalformedMessageError, IncompleteMessageError):
        pass
    finally:
        sys.setprofile(None)
    return steps


def test_headers_that_are_being_read_take_no_more_than_copies_of_their_bytes() -> None:
    # Guards against heads of many short lines that take a forwarder over its limit on memory.
    lines = short_lines(2000)
    head = b"POST /api HTTP/1.1\r\nContent-Length: 9\r\n" + lines + b"\r\n"
    held_bytes: list[int] = []

    def receive_body() -> bytes:
        held_bytes.append(tracemalloc.get_traced_memory()[0])
        return b""

    parts = [lambda: head, receive_body]
    tracemalloc.start()
    try:
        before_bytes = tracemalloc.get_traced_memory()[0]
        with pytest.raises(IncompleteMessageError):
            read_request(Stream(lambda _: parts.pop(0)()))
    finally:
        tracemalloc.stop()
    assert held_bytes[0] - before_bytes <= MAX_COPIES * len(head)


@pytest.mark.parametrize("end", [b"Content-Length: 0\r\n\r\n", b""])
def test_the_interpreter_does_no_more_for_more_header_lines(end: bytes) -> None:
    # Guards against heads of many short lines that keep the interpreter from the loop.
    for start, read in ((b"POST /api HTTP/1.1\r\n", read_request), (b"HTTP/1.1 500 X\r\n", read_response)):
        heads = [start + short_lines(count) + end for count in (2, 2000)]
        few, many = (count_steps(lambda head=head, read=read: read(stream_of(head))) for head in heads)  # type: ignore[misc]
        assert many <= few <= MAX_STEPS


def test_interim_responses_share_the_limit_of_one_head() -> None:
    # Guards against an answer whose interim responses take as long to read as many heads.
    interim = b"HTTP/1.1 103 X\r\n" + short_lines(1000) + b"\r\n"
    final = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    assert read_response(stream_of(interim * 2 + final)).status == 200
    with pytest.raises(IncompleteMessageError, match="too large"):
        read_response(stream_of(interim * 3 + final))


def test_the_interpreter_does_little_for_an_answer_in_tiny_chunks() -> None:
    # Guards against answers in chunks of one byte that keep the interpreter from the loop.
    head = b"HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\n\r\n"
    allowed = head + b"1\r\nx\r\n" * MAX_BODY_CHUNKS + b"0\r\n\r\n"
    assert read_response(stream_of(allowed)).body == b"x" * MAX_BODY_CHUNKS
    whole_body = head + b"1\r\nx\r\n" * MAX_BODY_BYTES + b"0\r\n\r\n"
    most = count_steps(lambda: read_response(stream_of(allowed)))
    assert count_steps(lambda: read_response(stream_of(whole_body))) <= most + MAX_STEPS


def test_the_interpreter_does_no_more_for_more_empty_lines_before_a_request() -> None:
    # Guards against clients that send line ends at full speed.
    end = b"GET / HTTP/1.1\r\n\r\n"
    few, many = (count_steps(lambda n=n: read_request(stream_of(b"\r\n" * n + end))) for n in (2, 8000))  # type: ignore[misc]
    assert many <= few <= MAX_STEPS
    with pytest.raises(MalformedMessageError, match="too many empty lines"):
        read_request(Stream(lambda length: b"\n" * length))
    with pytest.raises(MalformedMessageError, match="request line"):
        read_request(stream_of(b"\n\r\r\n" + end))


@pytest.mark.parametrize(
    ("memory_limit_mb", "sockets", "connections", "lines"),
    [
        (64, 512, 512 // 3, short_lines(2300)),
        (32, 256, divide_descriptors(256, 1).clients, b"X-Long: " + b"x" * 15000 + b"\r\n"),
    ],
    ids=["a third of 512 descriptors", "all client connections of 256 descriptors"],
)
def test_clients_that_stop_in_the_middle_of_requests_stay_within_the_memory_limit(
    memory_limit_mb: int, sockets: int, connections: int, lines: bytes
) -> None:
    # Guards against many connections, each with a long head and most of a body.
    head = b"POST /api HTTP/1.1\r\nContent-Length: %d\r\n" % MAX_BODY_BYTES + lines + b"\r\n"
    data = head + bytes(MAX_BODY_BYTES - 1)
    with tempfile.TemporaryDirectory() as folder:
        program = Program(Path(folder))
        program.config["limits"] |= {"memory_mb": memory_limit_mb, "sockets": sockets}
        program.start()
        try:
            socks = [socket.create_connection(program.address, 5.0) for _ in range(connections)]
            for sock in socks:
                with contextlib.suppress(ConnectionError):  # A client whose request is given up.
                    sock.sendall(data)
            assert most_resident_mb(program, 3.0) <= memory_limit_mb
        finally:
            program.close()


def most_resident_mb(program: Program, seconds: float) -> float:
    """Watch the resident memory of a process for a time and return its maximum, in MB of 1,024 KiB."""
    assert program.process is not None
    status, most_kib = Path(f"/proc/{program.process.pid}/status"), 0
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        fields = dict(line.split(":", 1) for line in status.read_text().splitlines())
        most_kib = max(most_kib, int(fields["VmRSS"].split()[0]))
        time.sleep(0.02)
    return most_kib / 1024


class TestContent:
    def test_names_are_looked_up_in_lower_case_and_whole(self) -> None:
        headers = read_headers(stream_of(b"X-Host: a\r\nHost:b\nHOSTS: c\r\nEmpty:\r\n\r\n"))
        assert (headers["host"], headers["x-host"], headers["empty"]) == ("b", "a", "")
        assert "hos" not in headers and headers.get("ost") is None
        assert dict(headers) == {"x-host": "a", "host": "b", "hosts": "c", "empty": ""}

    def test_the_values_of_a_repeated_header_are_joined(self) -> None:
        assert read_headers(stream_of(b"A: x\r\nb: y\r\na:\tz \r\n\r\n"))["a"] == "x, z"
        with pytest.raises(MalformedMessageError, match="x-time-left stands twice"):
            read_headers(stream_of(b"X-Time-Left: 1\r\nA: b\r\nx-time-left: 1\r\n\r\n"))

    def test_the_first_empty_line_ends_the_headers_whatever_its_line_end(self) -> None:
        for empty, rest in ((b"\n", b"\r\n"), (b"\r\n", b"\n"), (b"\n", b"\n"), (b"\r\n", b"\r\n")):
            for line_end in (b"\n", b"\r\n"):
                stream = stream_of(b"A: b" + line_end + empty + rest)
                assert dict(read_headers(stream)) == {"a": "b"}
                assert stream.buffer == rest

    def test_no_headers(self) -> None:
        for text in (b"\r\n", b"\n"):
            assert dict(read_headers(stream_of(text))) == {}
        assert dict(Headers(b"")) == {}

    def test_malformed_lines_are_reported_before_the_head_is_complete(self) -> None:
        for line in (
            b"no colon",
            b": no name",
            b" folded: a",
            b"a b: c",
            b"a: \x00",
            b"a: b\rc: d",
            b"a:\x1f",
        ):
            with pytest.raises(MalformedMessageError):
                read_headers(stream_of(b"A: b\r\n" + line + b"\r\n"))

    def test_line_ends_count_towards_the_limit(self) -> None:
        line_count = MAX_HEAD_BYTES // 8
        fitting = b"abcd:x\r\n" * line_count
        text = fitting + b"\r\n" + bytes(3 * MAX_HEAD_BYTES)
        stream = stream_of(text)
        assert len(read_headers(stream)["abcd"]) == 3 * line_count - 2
        assert len(stream.buffer) == 3 * MAX_HEAD_BYTES
        for too_long in (fitting + b"a:\r\n\r\n", b"x" * (MAX_HEAD_BYTES + 1), b"a:\r\n" * 8500):
            with pytest.raises(MalformedMessageError, match="too large"):
                read_headers(stream_of(too_long))

    def test_lines_may_arrive_in_any_pieces(self) -> None:
        text = b"A: b\r\nC: d\n\r\nrest"
        for size in range(1, len(text)):
            stream = stream_of(*(text[at : at + size] for at in range(0, len(text), size)))
            assert dict(read_headers(stream)) == {"a": "b", "c": "d"}
            assert b"rest".startswith(bytes(stream.buffer))
