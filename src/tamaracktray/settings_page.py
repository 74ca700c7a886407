"""Renders the reference page of all settings from their descriptions.

``python -m tamaracktray.settings_page`` prints the page.
"""

import msgspec

from tamaracktray.node_settings import NODE_SECTIONS
from tamaracktray.settings import SECTIONS, FieldInfo, describe_section

PAGE_HEAD = """\
# Settings

`tamaracktrayd --config FILE` reads an INI file with these sections. `--check` checks
the file and exits. An unknown section or key, a missing key or an invalid value ends
the daemon with exit code 2. Tokens and keys are read from a file or an environment
variable and are never logged.
"""


PLATFORM_HEAD = """\

# Settings on the users' platform

On the platform, `python -m tamaracktray.platform` reads a file that the platform
renders from `deploy/node.ini` at every start and reload. An empty value selects the
default.
"""


def render_page() -> str:
    """Return the page as Markdown."""
    platform_sections = _render_sections(NODE_SECTIONS)
    return PAGE_HEAD + _render_sections(SECTIONS) + PLATFORM_HEAD + platform_sections


def _render_sections(sections: dict[str, type[msgspec.Struct]]) -> str:
    parts: list[str] = []
    for name, section_type in sections.items():
        parts.append(f"\n## [{name}]\n\n{section_type.__doc__}\n")
        parts.append("\n| key | accepted | default | meaning |\n|---|---|---|---|\n")
        parts.extend(_render_row(info) for info in describe_section(section_type))
    return "".join(parts)


def _render_row(info: FieldInfo) -> str:
    return f"| `{info.key}` | {info.accepted} | {info.default} | {info.description} |\n"


if __name__ == "__main__":
    print(render_page(), end="")
