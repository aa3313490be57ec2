"""Typed values out of plain JSON, by the hints of dataclasses. Unknown fields are passed over."""

from __future__ import annotations

import types
import typing
from dataclasses import fields, is_dataclass
from typing import Any, TypeVar

from juniperward.control.errors import FieldError

T = TypeVar("T")


def typed(kind: type[T], value: Any, place: str) -> T:
    """Make a value of plain JSON one of a dataclass; raises ProtocolError that names the place."""
    if not isinstance(value, dict):
        needed = f"an object is needed, not {type(value).__name__}"
        raise FieldError(place, needed)
    hints = typing.get_type_hints(kind)
    given = {
        name: _typed_field(hints[name], value[name], f"{place}.{name}")
        for name in (field.name for field in fields(kind))  # type: ignore[arg-type]
        if name in value
    }
    try:
        return kind(**given)
    except TypeError as error:
        raise FieldError(place, str(error)) from error


def _typed_field(hint: Any, value: Any, place: str) -> Any:
    origin, arguments = typing.get_origin(hint), typing.get_args(hint)
    if origin is types.UnionType:
        return None if value is None else _typed_field(arguments[0], value, place)
    if origin is tuple:
        return _typed_array(arguments[0], value, place)
    if origin is dict:
        return _typed_map(arguments[1], value, place)
    if is_dataclass(hint):
        return typed(typing.cast(type[Any], hint), value, place)
    if hint is float and type(value) in (int, float):
        return float(value)
    if type(value) is not hint:
        needed = f"{hint.__name__} is needed, not {value!r}"
        raise FieldError(place, needed)
    return value


def _typed_array(hint: Any, value: Any, place: str) -> tuple[Any, ...]:
    if not isinstance(value, list):
        raise FieldError(place, "an array is needed")
    return tuple(_typed_field(hint, item, f"{place}[{index}]") for index, item in enumerate(value))


def _typed_map(hint: Any, value: Any, place: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise FieldError(place, "an object is needed")
    return {str(key): _typed_field(hint, item, f"{place}.{key}") for key, item in value.items()}
