"""Descriptions of validation errors that always name the place of the fault."""

import msgspec


def describe_error(error: msgspec.MsgspecError, *, root: str = "$") -> str:
    """Describe an error of msgspec with the path of the field.

    Args:
        error: The error.
        root: Path of the checked value within the whole input.

    Returns:
        The text; the library leaves the path out at the top level and this
        function adds it.
    """
    text = str(error)
    if "`$" in text:
        return text.replace("`$", f"`{root}")
    return f"{text} - at `{root}`"
