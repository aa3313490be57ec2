"""Dataclasses to plain JSON values and back, by their type hints; `codec` says which fields have another name there.

Fields that a dataclass does not have are ignored: they are those of a newer version.
"""

from __future__ import annotations

import types
import typing
from collections.abc import Mapping
from dataclasses import fields, is_dataclass
from typing import Any, TypeVar

from juniperward.control.errors import FieldError

T = TypeVar("T")
JsonNames = Mapping[type, Mapping[str, str]]  # by dataclass: a field's name to its name in JSON, if another


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


def from_json(kind: type[T], value: Any, place: str, names: JsonNames) -> T:
    """Return a JSON value as an instance of a dataclass; raises FieldError that names the place."""
    if not isinstance(value, dict):
        needed = f"an object is needed, not {type(value).__name__}"
        raise FieldError(place, needed)
    hints = typing.get_type_hints(kind)
    json_names = names.get(kind, {})
    given = {}
    for field in fields(kind):  # type: ignore[arg-type]
        key = json_names.get(field.name, field.name)
        if key in value:
            given[field.name] = _field_from_json(hints[field.name], value[key], f"{place}.{key}", names)
    try:
        return kind(**given)
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
        needed = f"{hint.__name__} is needed, not {value!r}"
        raise FieldError(place, needed)
    return value


def _array_from_json(hint: Any, value: Any, place: str, names: JsonNames) -> tuple[Any, ...]:
    if not isinstance(value, list):
        raise FieldError(place, "an array is needed")
    return tuple(_field_from_json(hint, item, f"{place}[{index}]", names) for index, item in enumerate(value))


def _map_from_json(hint: Any, value: Any, place: str, names: JsonNames) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise FieldError(place, "an object is needed")
    return {str(key): _field_from_json(hint, item, f"{place}.{key}", names) for key, item in value.items()}
