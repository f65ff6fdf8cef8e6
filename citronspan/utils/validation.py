"""Descriptions of validation errors that always contain the path of the field."""

import msgspec


def describe_error(error: msgspec.MsgspecError, *, root: str = "$") -> str:
    """Describe a msgspec error with the path of the invalid field.

    Args:
        error: The validation error.
        root: Path of the checked value within the whole input.

    Returns:
        The description. The library omits the path of an error at the top level;
        this function adds it.
    """
    text = str(error)
    if "`$" in text:
        return text.replace("`$", f"`{root}")
    return f"{text} - at `{root}`"
