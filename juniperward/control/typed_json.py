"""Conversion of dataclasses to JSON values and back, by their type hints.

A table of names maps fields to their names in JSON. Unknown fields in JSON are ignored, as newer versions
may add some.
"""

from __future__ import annotations

import types
import typing
from collections.abc import Mapping
from dataclasses import fields, is_dataclass
from typing import Any, TypeVar

from juniperward.control.errors import FieldError

T = TypeVar("T")
# By dataclass and field name: the name in JSON, where it differs.
JsonNames = Mapping[type, Mapping[str, str]]


def to_json(value: Any, names: JsonNames) -> Any:
    """Return a dataclass, or a value inside one, as JSON values."""
    if is_dataclass(value):
        json_names = names.get(type(value), {})
        return {
            json_names.get(field.name, field.name): to_json(getattr(value, field.name), names)
            for field in fields(value)
        }
    if isinstance(value, tuple):
        return [to_json(item, names) for item in value]
    return value


def from_json(cls: type[T], value: Any, place: str, names: JsonNames) -> T:
    """Return a JSON value as an instance of a dataclass; raises FieldError with the place of the error.

    `place` is the path of the value, such as `body.counters`.
    """
    if not isinstance(value, dict):
        problem = f"must be an object, not {type(value).__name__}"
        raise FieldError(place, problem)
    hints = typing.get_type_hints(cls)
    json_names = names.get(cls, {})
    arguments = {}
    for field in fields(cls):  # type: ignore[arg-type]
        key = json_names.get(field.name, field.name)
        if key in value:
            arguments[field.name] = _field_from_json(hints[field.name], value[key], f"{place}.{key}", names)
    try:
        return cls(**arguments)
    except TypeError as error:
        raise FieldError(place, str(error)) from error


def _field_from_json(hint: Any, value: Any, place: str, names: JsonNames) -> Any:
    origin, arguments = typing.get_origin(hint), typing.get_args(hint)
    if origin is types.UnionType:
        return None if value is None else _field_from_json(arguments[0], value, place, names)
    if origin is tuple:
        return _array_from_json(arguments[0], value, place, names)
    if origin is dict:
        return _map_from_json(arguments[1], value, place, names)
    if is_dataclass(hint):
        return from_json(typing.cast(type[Any], hint), value, place, names)
    if hint is float and type(value) in (int, float):
        return float(value)
    if type(value) is not hint:
        problem = f"must be {hint.__name__}, not {value!r}"
        raise FieldError(place, problem)
    return value


def _array_from_json(hint: Any, value: Any, place: str, names: JsonNames) -> tuple[Any, ...]:
    if not isinstance(value, list):
        raise FieldError(place, "must be an array")
    return tuple(_field_from_json(hint, item, f"{place}[{index}]", names) for index, item in enumerate(value))


def _map_from_json(hint: Any, value: Any, place: str, names: JsonNames) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise FieldError(place, "must be an object")
    return {str(key): _field_from_json(hint, item, f"{place}.{key}", names) for key, item in value.items()}
