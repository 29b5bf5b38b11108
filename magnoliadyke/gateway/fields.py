"""Typed reads of untrusted JSON fields; bad ones raise :class:`BadField`."""

import ipaddress
import json
from typing import Any

__all__ = [
    'BadField',
    'is_ip',
    'parse',
    'parse_object',
    'read_address',
    'read_bool',
    'read_integer',
    'read_ip',
    'read_number',
    'read_objects',
    'read_port',
    'read_string',
]

MAX_PORT = 65535
MAX_TEXT = 1024
#: Largest accepted number; all JSON implementations keep integers exact up
#: to 2**53.
MAX_NUMBER = 2.0**53


class BadField(ValueError):
    """A field is missing, or has a wrong type or value."""


def parse(value: bytes) -> Any:
    """Parse a JSON document.

    :raises BadField: the value is not JSON, or too deeply nested
    """
    try:
        return json.loads(value)
    except (ValueError, RecursionError) as error:
        raise BadField(f'invalid JSON: {error}') from error


def parse_object(value: bytes) -> dict[str, Any]:
    """Parse a JSON object.

    :raises BadField: the value is not a JSON object
    """
    found = parse(value)
    if not isinstance(found, dict):
        raise BadField(f'expected a JSON object, got {type(found).__name__}')
    return found


def read_objects(fields: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Return a list of objects; empty if the field is missing or null."""
    found = fields.get(name)
    if found is None:
        return []
    if not isinstance(found, list):
        raise BadField(f'{name}: expected a list, got {type(found).__name__}')
    if not all(isinstance(each, dict) for each in found):
        raise BadField(
            f'{name}: expected objects, got an element of another type'
        )
    return found


def read_string(
    fields: dict[str, Any], name: str, default: str | None = None
) -> str:
    """Return a string without control characters.

    :param default: value if the field is missing or null; None if the field
        is required
    """
    found = fields.get(name)
    if found is None:
        found = default
    if not isinstance(found, str):
        raise BadField(
            f'{name}: expected a string, got {type(found).__name__}'
        )
    if len(found) > MAX_TEXT or not (found.isprintable() or not found):
        raise BadField(
            f'{name}: expected at most {MAX_TEXT} printable characters, '
            f'got {len(found)}: {found!r:.80}'
        )
    return found


def read_number(
    fields: dict[str, Any],
    name: str,
    minimum: float,
    default: float | None = None,
    maximum: float = MAX_NUMBER,
) -> float:
    """Return a finite number.

    :param minimum: smallest accepted value
    :param maximum: largest accepted value
    :param default: value if the field is missing or null; None if the field
        is required
    """
    found = fields.get(name)
    if found is None:
        found = default
    if isinstance(found, bool) or not isinstance(found, int | float):
        raise BadField(
            f'{name}: expected a number, got {type(found).__name__}'
        )
    # False for NaN too; an integer is compared as it is, however large.
    if not minimum <= found <= maximum:
        raise BadField(
            f'{name}: expected {minimum} to {maximum:.0f}, got {found!r:.40}'
        )
    return found


def read_integer(
    fields: dict[str, Any],
    name: str,
    minimum: int,
    default: int | None = None,
    maximum: float = MAX_NUMBER,
) -> int:
    """Return an integer; 3.0 is not accepted.

    :param minimum: smallest accepted value
    :param maximum: largest accepted value
    :param default: value if the field is missing or null; None if the field
        is required
    """
    found = read_number(fields, name, minimum, default, maximum)
    if not isinstance(found, int):
        raise BadField(f'{name}: expected an integer, got {found!r}')
    return found


def read_bool(fields: dict[str, Any], name: str) -> bool:
    """Return a boolean; False if the field is missing or null."""
    found = fields.get(name)
    if found is None:
        return False
    if not isinstance(found, bool):
        raise BadField(
            f'{name}: expected true or false, got {type(found).__name__}'
        )
    return found


def read_address(fields: dict[str, Any], name: str) -> str:
    """Return a numeric address with a port, as ``ip:port``."""
    found = read_string(fields, name)
    host, _, port = found.rpartition(':')
    if not is_ip(host) or not _is_port(port):
        raise BadField(f'{name}: expected ip:port, got {found!r:.80}')
    return found


def read_ip(fields: dict[str, Any], name: str) -> str:
    """Return a numeric IP address."""
    found = read_string(fields, name)
    if not is_ip(found):
        raise BadField(f'{name}: expected an IP address, got {found!r:.80}')
    return found


def read_port(fields: dict[str, Any], name: str) -> int:
    """Return the number of a port."""
    return read_integer(fields, name, 1, maximum=MAX_PORT)


def is_ip(text: str) -> bool:
    """Return whether a text is a numeric IP address without a zone."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    # A zone, as in fe80::1%eth0, may hold any characters.
    return '%' not in text


def _is_port(text: str) -> bool:
    return (
        text.isascii()
        and text.isdigit()
        and len(text) <= len(str(MAX_PORT))
        and 0 < int(text) <= MAX_PORT
    )
