"""Decodes the platform's settings file into the settings of a router."""

import os
import tomllib
from pathlib import Path
from typing import Any

from coltsfootfront.common.errors import SettingsError
from coltsfootfront.direct.settings import Bounds, NodeSettings, StoreSettings
from coltsfootfront.quotas.tolerance import Tolerance

PATH_VARIABLE = "COLTSFOOTFRONT_CONFIG"


def load() -> NodeSettings:
    """Read the settings file that the environment names.

    :raises SettingsError: with one line that names the field.
    """
    path = os.environ.get(PATH_VARIABLE, "")
    if not path:
        raise SettingsError(f"the environment variable {PATH_VARIABLE} is not set")
    try:
        fields = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise SettingsError(f"{path}: {error}") from error
    return decode(fields, path)


def decode(fields: dict[str, Any], path: str) -> NodeSettings:
    """Decode the settings file; unknown fields are ignored.

    :raises SettingsError: with one line that names the field.
    """
    reader = _FieldReader(fields, path)
    first_port, last_port = reader.port_range("port-range")
    return NodeSettings(
        name=reader.string("node"),
        ip=reader.string("ip"),
        data_centre=reader.string("zone"),
        region=reader.string("region"),
        regions=reader.string_table("zones"),
        caller_address=reader.address("listen.front"),
        ready_address=reader.address("listen.ready"),
        peer_address=reader.address("listen.control"),
        gossip_port=first_port,
        metrics_port=last_port,
        link_mbit_per_s=reader.optional_number("limits.link-mbps"),
        memory_bytes=int(reader.number("limits.memory-mb") * 1024 * 1024),
        seed_addresses=[str(item) for item in fields.get("seed-addrs", [])],
        store=StoreSettings(
            address=reader.address("provider.address"),
            min_lease_ttl_s=reader.number("provider.ttl-min-ms") / 1000,
        ),
        bounds=Bounds(
            grace_s=reader.number("bounds.grace-s"),
            lease_s=reader.number("bounds.lease-ms") / 1000,
            retry_ratio=reader.number("bounds.retry-budget-ratio"),
            retry_fixed=reader.number("bounds.retry-budget-slack"),
            retry_window_s=reader.number("bounds.budget-window-s"),
            version_s=reader.number("bounds.version-ms") / 1000,
            config_apply_s=reader.number("bounds.config-apply-ms") / 1000,
            stable_s=reader.number("bounds.stable-ms") / 1000,
            targets_check_fencing=reader.boolean("bounds.require-fence"),
            quota_tolerance=Tolerance(
                tokens=reader.optional_number("bounds.quota-slack") or 0.0,
                share=reader.optional_number("bounds.quota-overage") or 0.0,
                window_s=reader.optional_number("bounds.quota-window-s") or 1.0,
            ),
        ),
        max_descriptors=reader.optional_integer("limits.max-fds"),
        is_first_start=fields.get("bootstrap") is True,
    )


class _FieldReader:
    """Reads and checks fields by their dotted names."""

    def __init__(self, fields: dict[str, Any], path: str) -> None:
        self._fields = fields
        self._path = path

    def _find_optional(self, name: str) -> Any:
        found: Any = self._fields
        for key in name.split("."):
            found = found.get(key) if isinstance(found, dict) else None
        return found

    def _find(self, name: str) -> Any:
        found = self._find_optional(name)
        if found is None:
            raise SettingsError(f"{self._path}: {name}: missing")
        return found

    def _invalid(self, name: str, value: Any, expected: str) -> SettingsError:
        return SettingsError(f"{self._path}: {name}: {value!r} is not {expected}")

    def string(self, name: str) -> str:
        """A non-empty string."""
        value = self._find(name)
        if not isinstance(value, str) or not value:
            raise self._invalid(name, value, "a non-empty string")
        return value

    def string_table(self, name: str) -> dict[str, str]:
        """A table whose values are strings."""
        value = self._find(name)
        if not isinstance(value, dict) or not all(isinstance(v, str) for v in value.values()):
            raise self._invalid(name, value, "a table of strings")
        return value

    def number(self, name: str) -> float:
        """A number of 0 or more."""
        value = self._find(name)
        if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
            raise self._invalid(name, value, "a number of 0 or more")
        return float(value)

    def optional_number(self, name: str) -> float | None:
        """A number of 0 or more, None if the field is missing."""
        return None if self._find_optional(name) is None else self.number(name)

    def optional_integer(self, name: str) -> int | None:
        """An integer of 0 or more, None if the field is missing."""
        value = self.optional_number(name)
        if value is not None and not value.is_integer():
            raise self._invalid(name, value, "an integer")
        return None if value is None else int(value)

    def boolean(self, name: str) -> bool:
        """A Boolean value."""
        value = self._find(name)
        if not isinstance(value, bool):
            raise self._invalid(name, value, "true or false")
        return value

    def address(self, name: str) -> str:
        """An address of the form HOST:PORT."""
        value = self.string(name)
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit():
            raise self._invalid(name, value, "an address of the form HOST:PORT")
        return value

    def port_range(self, name: str) -> tuple[int, int]:
        """First and last port of a range with at least two ports."""
        value = self._find(name)
        if (
            not isinstance(value, list)
            or len(value) != 2
            or not all(isinstance(port, int) for port in value)
            or not 0 < value[0] < value[1] < 65536
        ):
            raise self._invalid(name, value, "a range of two ports or more")
        return value[0], value[1]
