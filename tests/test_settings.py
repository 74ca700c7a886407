"""Settings files and the generated reference page.

Guards against invalid settings that are accepted or reported without their place, and
against a page that is out of date.
"""

from pathlib import Path

import pytest

from tamaracktray.daemon import run
from tamaracktray.settings import load_settings
from tamaracktray.settings_page import PAGE_HEAD, render_page

GOOD = """
[node]
role = agent
name = agent-1
zone = nairobi-a
region = nairobi
listen = 127.0.0.1:7000
control = 127.0.0.1:7001
[platform]
object_api = 127.0.0.1:7100
instance_list = 127.0.0.1:7101
[endpoint]
serves = kiln-llm
address = 127.0.0.1:7200
[weights]
origin = 127.0.0.1:7300
"""


def write(tmp_path: Path, text: str) -> Path:
    path = tmp_path / "agent.ini"
    path.write_text(text)
    return path


class TestLoad:
    def test_good_file(self, tmp_path):
        settings = load_settings(write(tmp_path, GOOD)).unwrap()
        assert settings.endpoint.cold_limit == 2
        assert settings.node.zone == "nairobi-a"

    @pytest.mark.parametrize(
        ("old", "new", "parts"),
        [
            ("[node]", "[nodes]", ["[nodes]", "unknown section", "node"]),
            ("zone = ", "zones = ", ["[node] zones", "unknown key"]),
            ("name = agent-1\n", "", ["[node] name", "missing"]),
            ("role = agent", "role = king", ["role", "entry or agent"]),
            ("listen = 127.0.0.1:7000", "listen = here", ["listen", "IP:port"]),
            ("serves = kiln-llm\n", "", ["[endpoint]", "serves"]),
            ("[endpoint]", "[endpoint]\ncold_limit = 0", ["cold_limit", "1 to 1000"]),
            ("[endpoint]", "[endpoint]\ncold_limit = two", ["cold_limit", "integer"]),
            ("[endpoint]", "[endpoint]\ncold_limit = 99", ["must not exceed"]),
            ("[endpoint]", "[endpoint]\ntarget_s = nan", ["target_s"]),
            ("origin = 127.0.0.1:7300\n", "", ["[weights] origin"]),
            ("[weights]", "[weights]\n[weights]", ["already exists"]),
            ("[weights]", "[weights", ["agent.ini"]),
            ("[weights]", "[api]\nlisten = 0.0.0.0:1\n[weights]", ["token"]),
            ("[weights]", "[api]\ntoken_file = /none\n[weights]", ["cannot read"]),
            ("[weights]", "[api]\ntoken_variable = NO\n[weights]", ["not set"]),
            ("[weights]", "[telemetry]\nlog_level = loud\n[weights]", ["debug, info"]),
        ],
    )
    def test_bad_file_names_what_is_accepted(self, tmp_path, capsys, old, new, parts):
        path = write(tmp_path, GOOD.replace(old, new, 1))
        assert run(path, is_check=True) == 2
        message = capsys.readouterr().err
        assert str(path) in message
        for part in parts:
            assert part in message

    def test_secret_comes_from_a_file(self, tmp_path):
        (tmp_path / "key").write_text("s3cret\n")
        text = f"{GOOD}\n[peers]\nkey_file = {tmp_path}/key\n"
        assert load_settings(write(tmp_path, text)).unwrap().peer_key == "s3cret"


class TestPage:
    def test_reference_page_is_current(self):
        page = Path(__file__).parent.parent / "docs" / "SETTINGS.md"
        assert page.read_text() == render_page()
        assert render_page().startswith(PAGE_HEAD)
