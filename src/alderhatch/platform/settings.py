"""Parser of the platform's settings file, which has lines of the form ``a.b=value``."""

from __future__ import annotations

import math
import re
from pathlib import Path
from typing import NamedTuple

from ..clock import SECOND, Millis
from ..core.forwarding.cold_start_limiter import ColdServerLimits
from ..core.forwarding.quota_bounds import QuotaBounds
from ..core.forwarding.retry_budget import BudgetLimits
from ..core.policy import Policy
from ..errors import AlderhatchError, ErrorKind, Failure
from ..finite_number import finite_number
from ..node.node_settings import NodePorts, NodeSettings
from ..node.tier_messages import Place

LINK_SECRET = b"alderhatch tier on a closed network"
"""The platform provides no secret. Its network admits only its own machines."""
METRICS_OFFSET = 1
"""Metrics use the second internal port; links between hosts use the first."""
DEFAULT_REVOCATION_BOUND: Millis = 5000.0
POLICY = Policy(
    first_latency_ms=20.0,
    report_age_ms=100.0,
    zone_cost_ms=4.0,
    near_factor=4.5,
    owner_near_factor=2.0,
    trouble_cost_ms=300.0,
    latency_weight=0.25,
    eject_failures=2,
)
"""Policy for the platform's traffic.

A host queries each server only about twice a second. Each answer therefore has a higher weight
than the default, and two consecutive failures eject a server: with the defaults of 0.05 and 3, a
server that became slow or silent would be detected after about 10 s. Traffic between zones is the
largest part of a request's cost, and a shard's answer may come late as long as it arrives before
the merged answer is due. A server of another zone is therefore queried only if the local one
stalls, fails or is far slower. A server that fails or refuses a fifth of its requests does not
justify the cost of the other zone."""
INTEGER = re.compile(r"[0-9]{1,9}")


class PlatformSettings(NamedTuple):
    """Settings that the platform gives to a process at its start."""

    node: NodeSettings
    list_address: str
    list_port: int


def read_settings(path: Path) -> PlatformSettings:
    """Read and parse the settings file.

    Raises:
        AlderhatchError: Naming the missing or invalid key.
        OSError: If the file can't be read.
    """
    try:
        text = path.read_bytes().decode()
    except UnicodeDecodeError as exc:
        raise AlderhatchError(Failure(ErrorKind.BAD_REQUEST, f"not UTF-8 text: {exc}")) from exc
    return parse_settings(text)


def parse_settings(text: str) -> PlatformSettings:
    """Parse the text of the settings file; unknown keys are ignored.

    Raises:
        AlderhatchError: Naming the missing or invalid key.
    """
    values = _SettingValues(text)
    link_port = values.integer("internal-ports", 0)
    data_dir = values.get("data-dir")
    node = NodeSettings(
        name=values.text("node-name"),
        address=values.text("ip"),
        zone=values.text("zone"),
        ports=NodePorts(
            callers=values.port("bind-addresses.front"),
            addresses=values.port("bind-addresses.directory"),
            readiness=values.port("bind-addresses.readiness"),
            operators=values.port("bind-addresses.control"),
            links=link_port,
            metrics=link_port + METRICS_OFFSET,
        ),
        seeds=parse_seeds(values.get("seeds"), link_port),
        data_folder=Path(data_dir) if data_dir else None,
        first_start=values.get("bootstrap") == "true",
        tolerated_hosts=values.integer("fault-tolerance.machines", 0, "1"),
        catch_up=values.number("bounds.sync-s", 4.0) * SECOND,
        budget=BudgetLimits(
            values.number("bounds.retry-budget-ratio", 0.2),
            values.number("bounds.retry-budget-extra", 10.0),
            values.number("bounds.budget-window-s", 10.0) * SECOND,
        ),
        stop_span=values.number("bounds.grace-s", 6.0) * SECOND,
        secret=LINK_SECRET,
        zones=values.suffixes("zones.") | {values.text("zone")},
        cold=_cold_limits(values),
        processor=values.number("limits.cpu-share", 1.0) * values.number("limits.cpu-cores", 1.0),
        policy=POLICY,
        revocation_bound=_revocation_bound(values),
        quotas=_quota_bounds(values),
    )
    address, port = _split_address(values.text("cloud-api.address"), "cloud-api.address")
    return PlatformSettings(node, address, port)


def _cold_limits(values: _SettingValues) -> ColdServerLimits | None:
    if not values.get("bounds.warmup-margin"):
        return None
    tolerance = values.number("bounds.warmup-tolerance", 1.0)
    return ColdServerLimits(tolerance, values.number("bounds.warmup-margin", 0.0))


def _revocation_bound(values: _SettingValues) -> Millis | None:
    bound = values.number("bounds.revoke-ms", DEFAULT_REVOCATION_BOUND)
    if not 0 < bound < math.inf:
        raise _invalid_setting("bounds.revoke-ms", f"expected a number above 0, got {bound}")
    is_strict = values.get("bounds.strict-revocation") or "false"
    if is_strict not in ("true", "false"):
        message = f"expected true or false, got {is_strict!r}"
        raise _invalid_setting("bounds.strict-revocation", message)
    return bound if is_strict == "true" else None


def _quota_bounds(values: _SettingValues) -> QuotaBounds:
    window = values.number("bounds.quota-window-s", 5.0)
    if not 0 < window < math.inf:
        message = f"expected a number above 0, got {window}"
        raise _invalid_setting("bounds.quota-window-s", message)
    tolerance = values.number("bounds.quota-tolerance", 0.0)
    margin = values.number("bounds.quota-margin", 0.0)
    for key, value in (("bounds.quota-tolerance", tolerance), ("bounds.quota-margin", margin)):
        if not 0 <= value < math.inf:
            raise _invalid_setting(key, f"expected a number of 0 or more, got {value}")
    return QuotaBounds(window * SECOND, tolerance, margin)


def parse_seeds(text: str, link_port: int) -> tuple[Place, ...]:
    """Return the link addresses of the seed hosts.

    Args:
        text: Addresses at which some hosts accept operators' requests, separated by commas.
        link_port: The port for links, which is the same on all hosts.
    """
    seed_addresses = [item.partition(":")[0] for item in text.split(",") if item]
    return tuple(Place(address, address, link_port) for address in seed_addresses)


class _SettingValues:
    def __init__(self, text: str) -> None:
        lines = (line.partition("=") for line in text.splitlines() if "=" in line)
        self._values = {key.strip(): value.strip() for key, _, value in lines}

    def get(self, key: str) -> str:
        return self._values.get(key, "")

    def text(self, key: str) -> str:
        value = self.get(key)
        if not value:
            raise _invalid_setting(key, "the setting is missing")
        return value

    def suffixes(self, prefix: str) -> frozenset[str]:
        """Return the remainder of each key that starts with a prefix."""
        return frozenset(key.removeprefix(prefix) for key in self._values if key.startswith(prefix))

    def number(self, key: str, default: float) -> float:
        value = self.get(key)
        if not value:
            return default
        number = finite_number(value)
        if number is None:
            raise _invalid_setting(key, f"expected a number, got {value!r}")
        return number

    def integer(self, key: str, index: int, default: str = "") -> int:
        values = (self.get(key) or default).split(",")
        if len(values) <= index or INTEGER.fullmatch(values[index]) is None:
            raise _invalid_setting(key, f"expected an integer, got {','.join(values)!r}")
        return int(values[index])

    def port(self, key: str) -> int:
        return _split_address(self.text(key), key)[1]


def _split_address(text: str, key: str) -> tuple[str, int]:
    address, _, port = text.rpartition(":")
    if not address or INTEGER.fullmatch(port) is None:
        raise _invalid_setting(key, f"expected address:port, got {text!r}")
    return address, int(port)


def _invalid_setting(key: str, message: str) -> AlderhatchError:
    return AlderhatchError(Failure(ErrorKind.BAD_REQUEST, f"{key}: {message}", key))
