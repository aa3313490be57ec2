"""The standing terms towards clients, sentence by sentence, over loopback sockets."""

from __future__ import annotations

import unittest

from juniperward.forwarder.codec import decode_call
from juniperward.forwarder.config import Names
from juniperward.net.http import Stream, read_call

NAMES = Names(("c",), (12.0,), (), (), ())


def pieces(*parts: bytes) -> Stream:
    """A stream that gives these parts one after another."""
    left = list(parts)
    return Stream(lambda _: left.pop(0) if left else b"")


class FormsTest(unittest.TestCase):
    def test_a_time_left_may_have_as_many_decimals_as_a_double_has(self) -> None:
        # Guards clients that print a double as it is: what had more than nine decimals was answered 400, as failed.
        cases = (("0.47999999999999998", 0.48), ("0.1000000000000000055511151231257827", 0.1), (".5", 0.5))
        for text, seconds in cases:
            head = f"POST /api HTTP/1.1\r\nX-Correlation-Id: a\r\nX-Service-Class: c\r\nX-Time-Left: {text}\r\n"
            asked = read_call(pieces(head.encode() + b"X-Addressing: dest=7\r\n\r\n"))
            with self.subTest(text):
                self.assertAlmostEqual(decode_call(asked, NAMES).time_left, seconds, 6)
