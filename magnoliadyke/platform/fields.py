"""Reads the fields of a record that anybody may have written.

Each reader returns a value of the type that it names or raises
:class:`BadField`, whatever the JSON holds.
"""

import ipaddress
import json
import math
from typing import Any

__all__ = [
    'BadField',
    'address',
    'flag',
    'number',
    'record',
    'records',
    'text',
    'integer',
]

MAX_PORT = 65535
MAX_TEXT = 1024
#: Largest number that is read as one: 2**53, which all writers of JSON keep.
MAX_NUMBER = 2.0**53


class BadField(ValueError):
    """A field is missing, or is not what it should be."""


def record(value: bytes) -> dict[str, Any]:
    """Parse a JSON object.

    :raises BadField: it is none
    """
    try:
        found = json.loads(value)
    except (ValueError, RecursionError) as error:
        raise BadField(f'no JSON: {error}') from error
    if not isinstance(found, dict):
        raise BadField('no JSON object')
    return found


def records(fields: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """A list of objects; empty if it is missing or null."""
    found = fields.get(name)
    if found is None:
        return []
    if not isinstance(found, list):
        raise BadField(f'{name} is no list')
    if not all(isinstance(each, dict) for each in found):
        raise BadField(f'{name} holds something else than objects')
    return found


def text(fields: dict[str, Any], name: str, default: str | None = None) -> str:
    """A text that has no control characters."""
    found = fields.get(name)
    if found is None:
        found = default
    if not isinstance(found, str):
        raise BadField(f'{name} is no text')
    if len(found) > MAX_TEXT or not (found.isprintable() or not found):
        raise BadField(f'{name} is no usable text')
    return found


def number(
    fields: dict[str, Any],
    name: str,
    minimum: float,
    default: float | None = None,
) -> float:
    """A finite number.

    :param least: smallest value that makes sense
    """
    found = fields.get(name)
    if found is None:
        found = default
    if isinstance(found, bool) or not isinstance(found, int | float):
        raise BadField(f'{name} is no number')
    if not math.isfinite(found) or not minimum <= found <= MAX_NUMBER:
        raise BadField(f'{name} is out of range')
    return found


def integer(
    fields: dict[str, Any],
    name: str,
    minimum: int,
    default: int | None = None,
) -> int:
    """A whole number; 3.0 is none."""
    found = number(fields, name, minimum, default)
    if not isinstance(found, int):
        raise BadField(f'{name} is no whole number')
    return found


def flag(fields: dict[str, Any], name: str) -> bool:
    """True or false; false if it is missing or null."""
    found = fields.get(name)
    if found is None:
        return False
    if not isinstance(found, bool):
        raise BadField(f'{name} is neither true nor false')
    return found


def address(fields: dict[str, Any], name: str) -> str:
    """An IP address with a port."""
    found = text(fields, name)
    host, _, port = found.rpartition(':')
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        raise BadField(f'{name} is no ip:port') from error
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise BadField(f'{name} is no ip:port')
    return found
