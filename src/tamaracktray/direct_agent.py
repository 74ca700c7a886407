"""The agent that brings versions of weights into the engine on its instance."""

from tamaracktray.direct_shell import DirectShell


class DirectAgentShell(DirectShell):
    """Runs an agent."""
