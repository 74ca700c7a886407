"""Starts the project's programs with the commands and template of the deploy file."""

import os
import random
import re
import resource
import signal
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BOUNDS = {
    "contactMs": 3000,
    "version_ms": 8000,
    "graceS": 8,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtraRetries": 100,
    "coldTolerance": 5,
}
ZONES = {"zone-a": "region-a", "zone-b": "region-b", "zone-c": "region-c"}

# Limits of the site's machines: memory in bytes and descriptors.
EDGE_DESCRIPTORS = 4_100


def choose_network() -> str:
    """Return the first three numbers of a loopback network of this run."""
    draw = random.SystemRandom()
    return f"127.{draw.randint(64, 250)}.{draw.randint(1, 250)}"


class Process:
    """One of the project's programs."""

    def __init__(self, name: str, role: str, ip: str, command: list[str]) -> None:
        self.name = name
        self.role = role
        self.ip = ip
        self.command = command
        self.frontend = 8005
        self.ready = 8002
        self.settings: Path | None = None
        self.popen: subprocess.Popen | None = None
        self.exits: list[int] = []

    @property
    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.popen is not None and self.popen.poll() is None


class Fleet:
    """The processes of one case; ``close`` ends all that were started."""

    def __init__(self, network: str, store_address: str) -> None:
        self.network = network
        self.store_address = store_address
        self.directory = tempfile.TemporaryDirectory(prefix="review-")
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.processes: list[Process] = []
        self.seeds: list[str] = []

    def add(self, role: str, zone: str, host: int, **fields: object) -> Process:
        """Add a process of a role and write its settings file."""
        ip = f"{self.network}.{host}"
        deploy = self.deploy["roles"][role]
        name = f"{role}-{host}"
        process = Process(name, role, ip, deploy["run"].split())
        values: dict[str, object] = {
            "role": role,
            "nodeName": name,
            "zone": zone,
            "ip": ip,
            "internalPorts": "7700,7715",
            "platform.address": self.store_address,
            "seeds": ",".join(self.seeds),
            "limits.linkMbps": 1000.0 if role == "entry" else 3.65,
            "heartbeatMs": 1200,
        }
        values |= {f"bounds.{name}": value for name, value in BOUNDS.items()}
        if role == "entry":
            values["listen.frontend"] = f"{ip}:{process.frontend}"
            values["listen.ready"] = f"{ip}:{process.ready}"
        values |= fields
        template = (ROOT / deploy["template"]).read_text()
        zones = ",".join(f"{key}={region}" for key, region in ZONES.items())
        text = re.sub(r"{{#zones}}.*?{{/zones}}", zones, template)
        text = re.sub(r"{{(.*?)}}", lambda m: str(values.get(m[1], "")), text)
        process.settings = Path(self.directory.name) / f"{name}.ini"
        process.settings.write_text(text)
        self.processes.append(process)
        return process

    def check_build(self) -> None:
        """Raise ``CalledProcessError`` unless the deploy file's build is there."""
        program = "import tamaracktray.platform.deployment, tamaracktray.entry_process"
        command = ["python3", "-c", program]
        subprocess.run(command, cwd=ROOT, env=_build_environment(), check=True)

    def start(self, process: Process) -> None:
        """Start a process with the command of the deploy file."""
        environment = _build_environment()
        environment["TAMARACKTRAY_NODE_FILE"] = str(process.settings)
        log = Path(self.directory.name) / f"{process.name}.log"
        with log.open("ab") as output:
            process.popen = subprocess.Popen(
                process.command,
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
                preexec_fn=_limit_descriptors,
            )

    def note_exits(self) -> list[Process]:
        """Return the processes that have ended since the last call."""
        ended: list[Process] = []
        for process in self.processes:
            if process.popen is None or process.popen.poll() is None:
                continue
            process.exits.append(process.popen.returncode)
            process.popen = None
            ended.append(process)
        return ended

    def read_log(self, process: Process) -> str:
        """Return what a process has written."""
        path = Path(self.directory.name) / f"{process.name}.log"
        return path.read_text("utf-8", "replace") if path.exists() else ""

    def close(self) -> None:
        """End all processes and remove the settings."""
        for process in self.processes:
            if process.is_running:
                process.popen.send_signal(signal.SIGCONT)
                process.popen.kill()
                process.popen.wait()
        time.sleep(0.05)
        self.directory.cleanup()


def _build_environment() -> dict[str, str]:
    """Return the variables that the platform gives to a program."""
    names = ("PATH", "HOME", "LANG")
    environment = {name: os.environ[name] for name in names if name in os.environ}
    environment["PYTHONPATH"] = str(ROOT / "target/deps")
    environment["PYTHONDONTWRITEBYTECODE"] = "1"
    return environment


def _limit_descriptors() -> None:
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    limit = EDGE_DESCRIPTORS
    if hard != resource.RLIM_INFINITY:
        limit = min(limit, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
