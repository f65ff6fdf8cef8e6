"""Entry point of ``citronspan-agent``, the control process of a host."""

import sys

from citronspan.core.settings import AgentSettings
from citronspan.ops.agent import Agent
from citronspan.scripts.process import read_settings_path, run_process


def main() -> None:
    """Run ``citronspan-agent`` until SIGTERM."""
    path = read_settings_path(
        program="citronspan-agent",
        description="Follows the configuration log and serves the resource API.",
    )
    status = run_process(path, AgentSettings, lambda settings: Agent(settings=settings))
    sys.exit(status)


if __name__ == "__main__":
    main()
