"""Errors of input that cannot be decoded, and descriptions of them with a path."""

import re

import msgspec

DECODING_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError, OverflowError)
"""What ``msgspec`` raises for malformed input, deep nesting included."""

_PATH_PATTERN = re.compile(r"at `\$([^`]*)`")
_PATH_PART_PATTERN = re.compile(r"\.([^.\[]+)|\[(\d+)\]")
_SHOWN_VALUE_CHARACTERS = 80


def describe_error(error: Exception, *, root: str = "$") -> str:
    """Describe an error of decoding with the path of the invalid field.

    Args:
        error: One of ``DECODING_ERRORS``.
        root: Path of the checked value within the whole input.

    Returns:
        The description. The library omits the path of an error at the top level;
        this function adds it.
    """
    text = "too deeply nested" if isinstance(error, RecursionError) else str(error)
    if "`$" in text:
        return text.replace("`$", f"`{root}")
    return f"{text} - at `{root}`"


def describe_value_error(error: msgspec.ValidationError, content: object) -> str:
    """Describe a msgspec error with the path and the value of the invalid field.

    Args:
        error: The validation error.
        content: The value that was validated, as decoded without a type.
    """
    text = describe_error(error)
    path = _PATH_PATTERN.search(text)
    if path is None:
        return text
    value = content
    for key, index in _PATH_PART_PATTERN.findall(path[1]):
        try:
            value = value[key] if key else value[int(index)]
        except (KeyError, IndexError, TypeError):
            # Ignored: the path names a type, such as a key of a map, and no value.
            return text
    if isinstance(value, dict | list):
        return text
    return f"{text}, the value is {repr(value)[:_SHOWN_VALUE_CHARACTERS]}"
