"""Finds the line of each field of a file in protobuf text format, for the messages of faults."""

from __future__ import annotations

from collections.abc import Iterator

from google.protobuf import text_format


def field_lines(text: str) -> dict[str, int]:
    """Return the line of each field, from 1, by its path such as `instance[1].listen`."""
    lines: dict[str, int] = {}
    counts: dict[str, int] = {}
    stack: list[str] = []
    for name, line, opens, closes in _fields(text):
        if closes:
            stack.pop()
            continue
        path = ".".join([*stack, name])
        number = counts.get(path, 0)
        counts[path] = number + 1
        indexed = f"{path}[{number}]"
        lines[indexed] = line
        lines.setdefault(path, line)
        if opens:
            stack.append(f"{name}[{number}]")
    return lines


def _fields(text: str) -> Iterator[tuple[str, int, bool, bool]]:
    """Yield (name, line, whether the field is a message, False) for each field.

    Yields ("", 0, False, True) at the end of each message.
    """
    tokens = text_format.Tokenizer(text.split("\n"))
    while not tokens.AtEnd():
        if tokens.TryConsume("}") or tokens.TryConsume(">"):
            yield "", 0, False, True
            continue
        name, line = tokens.token, int(tokens._line) + 1  # type: ignore[attr-defined]
        tokens.NextToken()
        colon = tokens.TryConsume(":")
        opens = tokens.TryConsume("{") or tokens.TryConsume("<")
        yield name, line, opens, False
        if not opens and colon:
            tokens.NextToken()
        if not tokens.TryConsume(","):
            tokens.TryConsume(";")
