"""Reads the answer of a call, and leaves out answers that an earlier call of the connection may have caused."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from juniperward.forwarder.connection_reuse import DoubtWindow
from juniperward.forwarder.endpoint_connection import EndpointConnection
from juniperward.forwarder.telemetry import increment
from juniperward.net.http_errors import IncompleteMessageError, MalformedMessageError
from juniperward.net.http_responses import read_next_response, read_response
from juniperward.net.http_values import HttpResponse

MAX_DOUBTFUL_ANSWERS = 16


class AnswerInDoubtError(Exception):
    """An earlier call of the connection may have caused all that was received; the call may have executed.

    Attributes:
        answers: The complete answers that were received.

    """

    def __init__(self, answers: list[HttpResponse]) -> None:
        """Create the error with the answers in doubt."""
        super().__init__("an earlier call may have caused the answer")
        self.answers = answers


def read_own_answer(
    connection: EndpointConnection, on_doubtful: Callable[[HttpResponse], None]
) -> HttpResponse:
    """Return the answer that nothing but the connection's latest call can have caused.

    `on_doubtful` is called with each answer in doubt.

    Raises:
        AnswerInDoubtError: if there was none in time behind an answer in doubt.
        IncompleteMessageError: and the other errors of `read_response`.

    """
    if connection.window is None:
        return read_response(connection.stream, connection.set_answer_begun)
    doubtful: list[HttpResponse] = []
    try:
        for answer in _doubtful_answers(connection, connection.window):
            doubtful.append(answer)
            on_doubtful(answer)
            if len(doubtful) > MAX_DOUBTFUL_ANSWERS:
                raise AnswerInDoubtError(doubtful)
        return read_response(connection.stream, connection.set_answer_begun)
    except (IncompleteMessageError, MalformedMessageError, OSError) as error:
        if connection.is_in_doubt:
            raise AnswerInDoubtError(doubtful) from error
        raise


def _doubtful_answers(connection: EndpointConnection, window: DoubtWindow) -> Iterator[HttpResponse]:
    """Yield the answers, also interim ones, before nothing is received at the end of the window or later."""
    window_end = connection.written_at + window.length_s
    while not connection.is_silent_until(window_end):
        if not connection.is_in_doubt:
            connection.is_in_doubt = True
            connection.limit_answer(connection.written_at + window.patience_s)
            increment("answers_in_doubt")
        yield read_next_response(connection.stream, connection.set_answer_begun)
