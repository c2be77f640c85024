"""Commands, settings and addresses of every process of a deployment."""

import hashlib
import json
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from coltsfootfront.configuration.document import Document
from coltsfootfront.configuration.entries import split_document
from coltsfootfront_dev.ports import PortReservations
from coltsfootfront_dev.processes import ROOT, FleetProcess, ProcessTable
from coltsfootfront_dev.tcpproxy import TcpProxy

EXAMPLES = ROOT / "examples"
DEPLOYMENTS = ("agency", "granite")
# Accepted as the bootstrap key while no document names operators; the example documents list it as
# an operator's key.
OPERATOR_KEY = "operator-example-key"
PEER_SECRET = "example-peer-secret"
PROGRAMS = {
    "router": "coltsfootfront.serving.router",
    "agent": "coltsfootfront.targets.agent",
    "admin": "coltsfootfront.operation.admin",
}
STAND_IN_ROLES = {
    "engine": "engine-standin",
    "service": "service-standin",
    "kept_cache": "kept-cache-standin",
}
STAND_IN_MODULES = {"engine": "engine", "service": "service", "kept_cache": "keptcache"}


@dataclass(slots=True)
class FleetOptions:
    """Options of a fleet.

    :param routers: number of routers; a complete system has at least two.
    :param target_kinds: service kinds whose targets are started; others are removed from the
        document.
    :param engine_arguments: additional command-line arguments of every engine stand-in.
    :param router_settings: additional settings of every router.
    :param agent_settings: additional settings of every agent.
    :param admin_settings: additional settings of the administration API.
    :param use_forwarders: puts a :class:`TcpProxy` in front of each agent, target and the store.
    """

    deployment: str = "agency"
    routers: int = 2
    target_kinds: tuple[str, ...] = ("engine", "service", "kept_cache")
    engine_arguments: tuple[str, ...] = ()
    router_settings: dict[str, Any] = field(default_factory=dict)
    agent_settings: dict[str, Any] = field(default_factory=dict)
    admin_settings: dict[str, Any] = field(default_factory=dict)
    use_forwarders: bool = False


class DeploymentProcesses(ProcessTable):
    """The processes of one deployment, with their commands and settings.

    :param options: what to start.
    :param directory: where settings files and the output of the processes go.
    """

    def __init__(self, options: FleetOptions, directory: Path) -> None:
        super().__init__(directory)
        self.options = options
        self.forwarders: dict[str, TcpProxy] = {}
        """Keyed by the name of the process behind the forwarder."""
        self.ports = PortReservations()
        self._settings: dict[str, dict[str, Any]] = {}
        self.document = self._read_document()

    @property
    def operator_key(self) -> str:
        """Key of an operator who may change the document."""
        return OPERATOR_KEY

    def processes_of_role(self, role: str) -> list[FleetProcess]:
        """Processes of one role, in order of their start."""
        return [process for process in self.processes.values() if process.role == role]

    @property
    def routers(self) -> list[FleetProcess]:
        """All routers; ``address`` is the one that clients call."""
        return self.processes_of_role("router")

    @property
    def agents(self) -> list[FleetProcess]:
        """All agents; ``address`` serves health and metrics."""
        return self.processes_of_role("agent")

    @property
    def engines(self) -> list[FleetProcess]:
        """All engine stand-ins."""
        return self.processes_of_role("engine-standin")

    def stand_in_of(self, target: str) -> FleetProcess:
        """Stand-in of a target."""
        return self.processes[f"standin-{target}"]

    def agent_of(self, target: str) -> FleetProcess:
        """Agent of a target."""
        return self.processes[f"agent-{target}"]

    def api_key(self, customer: str) -> str:
        """API key of a customer of the example document."""
        return f"{customer}-example-key"

    def parsed_document(self) -> Document:
        """The document, parsed."""
        return Document.empty().with_changes(split_document(self.document), [])

    def customers(self) -> list[dict[str, Any]]:
        """Customers with name, API key and models, in descending order of weight."""
        document = self.parsed_document()
        order = sorted(document.customers, key=lambda name: -document.customers[name].weight)
        return [
            {"name": name, "api_key": self.api_key(name), "models": document.models_for(name)}
            for name in order
        ]

    def process_rows(self) -> list[dict[str, Any]]:
        """Process table with role, name, pid, address and, for agents, target."""
        rows = []
        for process in self.processes.values():
            row: dict[str, Any] = {
                "role": process.role,
                "name": process.name,
                "pid": process.pid,
                "address": process.address,
            }
            if process.target:
                row["target"] = process.target
            rows.append(row)
        return rows

    def add_processes(self) -> None:
        """Define every process of the deployment and write its settings; starts none."""
        self._add_platform_stand_ins()
        self._add_target_stand_ins()
        self._add_product_programs()

    def _read_document(self) -> dict[str, Any]:
        path = EXAMPLES / self.options.deployment / "document.json"
        document: dict[str, Any] = json.loads(path.read_text(encoding="utf-8"))
        kinds = {name: service["kind"] for name, service in document["services"].items()}
        document["targets"] = {
            name: target
            for name, target in document["targets"].items()
            if kinds[target["service"]] in self.options.target_kinds
        }
        for terms in document["terms"].values():
            terms["targets"] = [name for name in terms["targets"] if name in document["targets"]]
        document["terms"] = {
            name: terms for name, terms in document["terms"].items() if terms["targets"]
        }
        for target in document["targets"].values():
            target["agent_address"] = self._free_address()
        return document

    def _add_platform_stand_ins(self) -> None:
        self._add_stand_in("store", "store-standin", "store", ())
        self._add_stand_in("vms", "vm-list-standin", "vms", ())
        self._add_stand_in("weights", "weight-store-standin", "weights", ())

    def _add_target_stand_ins(self) -> None:
        for name, target in self.document["targets"].items():
            kind = self.document["services"][target["service"]]["kind"]
            arguments: tuple[str, ...] = ()
            if kind == "engine":
                arguments = self._engine_arguments(target)
            role = STAND_IN_ROLES[kind]
            module = STAND_IN_MODULES[kind]
            self._add_stand_in(f"standin-{name}", role, module, arguments, name)

    def _engine_arguments(self, target: dict[str, Any]) -> tuple[str, ...]:
        arguments = [f"--slots={target.get('slots', 8)}"]
        arguments.append(f"--weights-address={self.processes['weights'].address}")
        for loaded in target.get("models", []):
            adapters = ",".join(loaded.get("adapters", []))
            arguments.append(f"--model={loaded['model']}={loaded['version']}:{adapters}")
        if target.get("checks_fencing"):
            arguments.append("--checks-fencing")
        return (*arguments, *self.options.engine_arguments)

    def _add_stand_in(
        self, name: str, role: str, module: str, arguments: tuple[str, ...], target: str = ""
    ) -> None:
        address = self._free_address()
        command = ["-m", f"coltsfootfront_dev.{module}", "--address", address, *arguments]
        self.processes[name] = FleetProcess(name, role, command, address, target=target)

    def _add_product_programs(self) -> None:
        data_centres = self._data_centres()
        peers = {f"router-{n + 1}": self._free_address() for n in range(self.options.routers)}
        seeds = list(peers.values())
        for number, (name, peer) in enumerate(peers.items()):
            settings = {
                "peer_address": peer,
                "data_centre": data_centres[number % len(data_centres)],
                "seed_addresses": [address for address in seeds if address != peer],
                "vm_list_url": self._url("vms"),
                **self.options.router_settings,
            }
            self._add_product_program(name, "router", settings)
        for name, target in self.document["targets"].items():
            settings = {
                "target": name,
                "target_url": self._url(f"standin-{name}"),
                "peer_address": self._listen_address_behind_forwarder(
                    f"agent-{name}", target["agent_address"]
                ),
                "data_centre": target["data_centre"],
                "seed_addresses": seeds,
                "vm_list_url": self._url("vms"),
                "kept_cache_url": self._kept_cache_url(target),
                **self.options.agent_settings,
            }
            self._add_product_program(f"agent-{name}", "agent", settings, name)
        settings = {
            "data_centre": data_centres[0],
            "seed_addresses": seeds,
            "bootstrap_key_hash": hashlib.sha256(OPERATOR_KEY.encode()).hexdigest(),
            **self.options.admin_settings,
        }
        self._add_product_program("admin-1", "admin", settings)

    def _add_product_program(
        self, name: str, role: str, settings: dict[str, Any], target: str = ""
    ) -> None:
        address = self._free_address()
        common = {
            "name": name,
            "peer_secret": PEER_SECRET,
            "store_address": self._url("store"),
            "http_address": address,
        }
        path = self.directory / f"{name}.toml"
        self._settings[name] = {**common, **settings}
        path.write_text(_toml(self._settings[name]), encoding="utf-8")
        path.chmod(0o600)
        command = ["-m", PROGRAMS[role], "--config", str(path)]
        peer = str(settings.get("peer_address", ""))
        if role == "agent":
            peer = self.document["targets"][target]["agent_address"]
        self.processes[name] = FleetProcess(name, role, command, address, peer, target)

    def vm_list(self) -> list[dict[str, str]]:
        """VM list of the platform, with every router and agent as live."""
        rows = []
        for process in (*self.routers, *self.agents):
            role = "router" if process.role == "router" else "target"
            rows.append(
                {
                    "name": process.target or process.name,
                    "role": role,
                    "data_centre": self._settings[process.name]["data_centre"],
                    "peer_address": process.peer_address,
                    "state": "live",
                }
            )
        return rows

    def _data_centres(self) -> list[str]:
        """Data centres with targets; those of the region with most data centres come first."""
        regions = self.document["regions"].values()
        used = {target["data_centre"] for target in self.document["targets"].values()}
        largest_first = sorted(regions, key=lambda region: -len(region["data_centres"]))
        data_centres = [name for region in largest_first for name in region["data_centres"]]
        return [name for name in data_centres if name in used] or data_centres

    def _kept_cache_url(self, target: dict[str, Any]) -> str:
        services = self.document["services"]
        if services[target["service"]]["kind"] != "engine":
            return ""
        kept = self.processes_of_role("kept-cache-standin")
        return f"http://{kept[0].address}" if kept else ""

    def _url(self, name: str) -> str:
        address = self.processes[name].address
        if self.options.use_forwarders and (name == "store" or self.processes[name].target):
            if name not in self.forwarders:
                self.forwarders[name] = TcpProxy(self._free_address(), address)
            address = self.forwarders[name].address
        return f"http://{address}"

    def _listen_address_behind_forwarder(self, name: str, address: str) -> str:
        """Address that a process listens on when its peers connect to ``address``."""
        if not self.options.use_forwarders:
            return address
        listen = self._free_address()
        self.forwarders[name] = TcpProxy(address, listen)
        return listen

    def _free_address(self) -> str:
        return f"127.0.0.1:{self.ports.reserve()}"


def _toml(settings: dict[str, Any]) -> str:
    # JSON notation of text, numbers, truth values and lists of text is valid TOML.
    return "".join(f"{key} = {json.dumps(value)}\n" for key, value in settings.items())
