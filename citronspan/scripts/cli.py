"""Entry point of ``citronspan``, the operators' client of the resource API."""

import os
import sys

import msgspec
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option

from citronspan.core import result_codes
from citronspan.core.errors import CitronspanError, InvalidInputGroup
from citronspan.core.requests.explain import explain, format_line
from citronspan.core.resources import Kind
from citronspan.ops.operators.api_client import ApiClient, find_version
from citronspan.ops.operators.api_client_files import check_file, read_resources
from citronspan.ops.operators.api_client_tables import format_resources, format_status
from citronspan.ops.operators.log_files import read_log

API_VARIABLE = "CITRONSPAN_API"
EXIT_FAILED = 1
EXIT_INVALID = 2
"""Exit status for invalid input; the long-running programs exit with it, too."""

_INVALID_CODES = frozenset(
    {
        result_codes.SETTINGS_UNREADABLE,
        result_codes.SETTINGS_INVALID,
        result_codes.ADDRESS_INVALID,
        result_codes.RESOURCE_INVALID,
    }
)
_API_OPTION = option(
    "api",
    None,
    f"IP:PORT of the API of any agent; default: ${API_VARIABLE}.",
    flag=False,
)
_KIND = argument("kind", f"One of {', '.join(kind.value for kind in Kind)}.")


class ApiCommand(Command):
    """Base of the commands.

    Prints errors with their codes to standard error and exits with status 1 or 2.
    """

    options = [_API_OPTION]

    def handle(self) -> int:
        """Run the command and return its exit status."""
        try:
            self.run_command()
        except CitronspanError as error:
            print(f"citronspan: {error}", file=sys.stderr)
            return EXIT_INVALID if error.code in _INVALID_CODES else EXIT_FAILED
        except InvalidInputGroup as group:
            for error in group.exceptions:
                print(f"citronspan: {error}", file=sys.stderr)
            return EXIT_INVALID
        except (BrokenPipeError, KeyboardInterrupt):
            # Ignored: the reader of the output or the user ended the command.
            return EXIT_FAILED
        return 0

    def run_command(self) -> None:
        """Execute the command; implemented by each subclass."""
        raise NotImplementedError

    def connect(self) -> ApiClient:
        """Return a client of the agent given by option or environment variable.

        Raises:
            CitronspanError: If neither is set.
        """
        address = self.option("api") or os.environ.get(API_VARIABLE, "")
        if address:
            return ApiClient(address=address)
        raise CitronspanError(
            code=result_codes.API_UNREACHABLE,
            detail=f"no agent address; set --api or ${API_VARIABLE}",
        )


class CheckCommand(ApiCommand):
    """Validates files without a connection to a fleet."""

    name = "check"
    description = "Check files of resources or settings without connecting to a fleet."
    arguments = [argument("files", "Paths of JSON files.", multiple=True)]
    options = []

    def run_command(self) -> None:
        """Check every file and report all errors."""
        errors = []
        for path in self.argument("files"):
            try:
                print(f"{path}: {check_file(path)}, valid")
            except InvalidInputGroup as group:
                errors.extend(group.exceptions)
            except CitronspanError as error:
                errors.append(error)
        if errors:
            raise InvalidInputGroup("invalid files", errors)


class ApplyCommand(ApiCommand):
    """Creates or replaces the resources in files."""

    name = "apply"
    description = "Create or replace the resources in files."
    arguments = [argument("files", "Paths of JSON files.", multiple=True)]

    def run_command(self) -> None:
        """Read and check all files first, then put their resources one by one."""
        resources = [
            resource
            for path in self.argument("files")
            for resource in read_resources(path)
        ]
        client = self.connect()
        for resource in resources:
            kind = resource.kind.value
            version = find_version(client, kind, resource.name)
            answer = client.put_resource(resource, version=version)
            print(f"{kind}/{resource.name} accepted, version {answer.version}")


class GetCommand(ApiCommand):
    """Prints resources."""

    name = "get"
    description = "Show all resources of a kind, or one of them."
    arguments = [_KIND, argument("name", "Name of the resource.", optional=True)]
    options = [
        _API_OPTION,
        option("output", "o", "wide or json.", flag=False, default=""),
    ]

    def run_command(self) -> None:
        """Print a table or JSON."""
        client = self.connect()
        kind, name = self.argument("kind"), self.argument("name")
        if name:
            resource = client.find_resource(kind, name)
            if resource is None:
                raise CitronspanError(
                    code=result_codes.RESOURCE_UNKNOWN, detail=f"{kind}/{name}"
                )
            items = (resource,)
        else:
            items = client.list_resources(kind).items
        if self.option("output") == "json":
            text = msgspec.json.format(msgspec.json.encode(items)).decode()
        else:
            text = format_resources(items, wide=self.option("output") == "wide")
        print(text)


class DeleteCommand(ApiCommand):
    """Deletes a resource."""

    name = "delete"
    description = "Delete a resource."
    arguments = [_KIND, argument("name", "Name of the resource.")]

    def run_command(self) -> None:
        """Delete the resource at its current version."""
        client = self.connect()
        kind, name = self.argument("kind"), self.argument("name")
        version = find_version(client, kind, name)
        answer = client.delete_resource(kind, name, version=version)
        print(f"{kind}/{name} deleted, version {answer.version}")


class WatchCommand(ApiCommand):
    """Streams changes of resources."""

    name = "watch"
    description = "Stream changes of resources as lines of JSON."
    options = [
        _API_OPTION,
        option(
            "from",
            None,
            "Version after which to begin; default: begin now.",
            flag=False,
        ),
    ]

    def run_command(self) -> None:
        """Print one line per change until interrupted."""
        client = self.connect()
        version = self.option("from")
        if version is None:
            version = client.find_status().offset - 1
        for line in client.watch(int(version)):
            print(msgspec.json.encode(line).decode(), flush=True)


class StatusCommand(ApiCommand):
    """Prints the status of the fleet."""

    name = "status"
    description = "Show the status of the fleet."
    options = [
        _API_OPTION,
        option("output", "o", "json.", flag=False, default=""),
    ]

    def run_command(self) -> None:
        """Print the status, problems first."""
        status = self.connect().find_status()
        if self.option("output") == "json":
            text = msgspec.json.format(msgspec.json.encode(status)).decode()
        else:
            text = format_status(status)
        print(text)


class ExplainCommand(ApiCommand):
    """Prints the log lines that explain one request."""

    name = "explain"
    description = "Show the log lines of a request and their context."
    arguments = [
        argument("id", "Id of the request."),
        argument("files", "Paths of collected logs.", multiple=True),
    ]
    options = []

    def run_command(self) -> None:
        """Print the context lines, then the lines of the request."""
        lines = []
        for path in self.argument("files"):
            lines.extend(read_log(path))
        explanation = explain(self.argument("id"), lines)
        if not explanation.lines:
            raise CitronspanError(
                code=result_codes.REQUEST_UNKNOWN, detail=self.argument("id")
            )
        print("what was held:")
        for line in explanation.context_lines:
            print(f"  {format_line(line)}")
        print("the request:")
        for line in explanation.lines:
            print(f"  {format_line(line)}")


COMMANDS = (
    CheckCommand,
    ApplyCommand,
    GetCommand,
    DeleteCommand,
    WatchCommand,
    StatusCommand,
    ExplainCommand,
)


def main() -> None:
    """Run the program."""
    application = Application("citronspan")
    for command in COMMANDS:
        application.add(command())
    application.run()


if __name__ == "__main__":
    main()
