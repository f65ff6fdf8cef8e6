"""Reads and checks operators' files of resources and settings."""

from pathlib import Path

import msgspec

from citronspan.core import result_codes
from citronspan.core.errors import CitronspanError, InvalidInputGroup
from citronspan.core.resources import Resource, decode_resource
from citronspan.core.settings import AgentSettings, EntrySettings, decode_settings
from citronspan.utils.validation import DECODING_ERRORS, describe_error


def read_resources(path: str) -> tuple[Resource, ...]:
    """Read the resources of a file that holds a JSON object or a list of objects.

    Args:
        path: Path of the file.

    Returns:
        The valid resources in the order of the file.

    Raises:
        CitronspanError: If the file cannot be read or is not JSON.
        InvalidInputGroup: With one error for each invalid resource.
    """
    raw_resources = _split_objects(_read_bytes(path), path)
    resources = []
    errors = []
    for index, raw_resource in enumerate(raw_resources):
        try:
            resources.append(decode_resource(raw_resource))
        except CitronspanError as error:
            detail = f"{path}: resource {index}: {error.detail}"
            errors.append(CitronspanError(code=error.code, detail=detail))
    if errors:
        raise InvalidInputGroup(f"{path} is not valid", errors)
    return tuple(resources)


def check_file(path: str) -> str:
    """Check a file of resources or of settings.

    Args:
        path: Path of the file.

    Returns:
        A short description of the contents, such as ``3 resources``.

    Raises:
        CitronspanError: If the file cannot be read, is not JSON or holds invalid
            settings.
        InvalidInputGroup: With one error for each invalid resource.
    """
    data = _read_bytes(path)
    settings_type = _detect_settings_type(data)
    if settings_type is not None:
        decode_settings(data, settings_type, path=path)
        return f"settings of {settings_type.__name__.removesuffix('Settings').lower()}"
    return f"{len(read_resources(path))} resources"


class _SettingsKeys(msgspec.Struct, rename="camel"):
    place: msgspec.Raw = msgspec.Raw(b"")
    callers_address: msgspec.Raw = msgspec.Raw(b"")


def _detect_settings_type(data: bytes) -> type | None:
    try:
        keys = msgspec.json.decode(data, type=_SettingsKeys)
    except DECODING_ERRORS:
        # Ignored: the file is then read as resources, which reports the error.
        return None
    if not bytes(keys.place):
        return None
    return EntrySettings if bytes(keys.callers_address) else AgentSettings


def _read_bytes(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise CitronspanError(
            code=result_codes.SETTINGS_UNREADABLE, detail=f"{path}: {error.strerror}"
        ) from error


def _split_objects(data: bytes, path: str) -> list[msgspec.Raw]:
    try:
        if data.lstrip().startswith(b"["):
            return msgspec.json.decode(data, type=list[msgspec.Raw])
        return [msgspec.json.decode(data, type=msgspec.Raw)]
    except DECODING_ERRORS as error:
        raise CitronspanError(
            code=result_codes.RESOURCE_INVALID,
            detail=f"{path}: {describe_error(error)}",
        ) from error
