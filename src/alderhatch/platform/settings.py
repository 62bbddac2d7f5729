"""The settings file that the platform writes: lines of the form ``a.b=value``."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

from ..clock import SECOND
from ..core.forwarding.cold_start_limiter import ColdServerLimits
from ..core.forwarding.retry_budget import BudgetLimits
from ..core.policy import Policy
from ..errors import AlderhatchError, ErrorKind, Failure
from ..node.node_settings import NodePorts, NodeSettings
from ..node.tier_messages import Place

LINK_SECRET = b"alderhatch tier on a closed network"
"""The platform hands out no secret; its network lets only its own machines in."""
METRICS_OFFSET = 1
"""The metrics are on the second internal port; the links between hosts are on the first."""
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
"""A host asks each server only some two times a second. So an answer weighs more than where servers
are asked all the time, and two failures in a row are enough: with the usual 0.05 and 3 a server
that turned slow or silent would be noticed after some 10 s. A server of another zone is asked only
if the near one stands still, is out of order or far behind: what crosses between zones is the
largest part of a request's cost, and a part that comes a little later is as good as long as it is
in when the answer is due. One that fails or refuses a fifth of its requests is not worth that."""


class PlatformSettings(NamedTuple):
    """What the platform tells a process at its start."""

    node: NodeSettings
    list_address: str
    list_port: int


def read_settings(path: Path) -> PlatformSettings:
    """Read the settings file.

    Raises:
        AlderhatchError: Naming the key that is missing or wrong.
        OSError: If the file can't be read.
    """
    return parse_settings(path.read_text())


def parse_settings(text: str) -> PlatformSettings:
    """Take the text of the settings file apart; keys that are not known are left out.

    Raises:
        AlderhatchError: Naming the key that is missing or wrong.
    """
    values = _Values(text)
    links = values.whole("internal-ports", 0)
    data = values.get("data-dir")
    node = NodeSettings(
        name=values.text("node-name"),
        address=values.text("ip"),
        zone=values.text("zone"),
        ports=NodePorts(
            callers=values.port("bind-addresses.front"),
            addresses=values.port("bind-addresses.directory"),
            readiness=values.port("bind-addresses.readiness"),
            operators=values.port("bind-addresses.control"),
            links=links,
            metrics=links + METRICS_OFFSET,
        ),
        seeds=seeds_of(values.get("seeds"), links),
        data_folder=Path(data) if data else None,
        first_start=values.get("bootstrap") == "true",
        tolerated_hosts=values.whole("fault-tolerance.machines", 0, "1"),
        catch_up=values.number("bounds.sync-s", 4.0) * SECOND,
        budget=BudgetLimits(
            values.number("bounds.retry-budget-ratio", 0.2),
            values.number("bounds.retry-budget-extra", 10.0),
            values.number("bounds.budget-window-s", 10.0) * SECOND,
        ),
        stop_span=values.number("bounds.grace-s", 6.0) * SECOND,
        secret=LINK_SECRET,
        zones=values.names("zones.") | {values.text("zone")},
        cold=_cold_terms(values),
        processor=values.number("limits.cpu-share", 1.0) * values.number("limits.cpu-cores", 1.0),
        policy=POLICY,
    )
    address, port = _split(values.text("cloud-api.address"), "cloud-api.address")
    return PlatformSettings(node, address, port)


def _cold_terms(values: _Values) -> ColdServerLimits | None:
    if not values.get("bounds.warmup-margin"):
        return None
    tolerance = values.number("bounds.warmup-tolerance", 1.0)
    return ColdServerLimits(tolerance, values.number("bounds.warmup-margin", 0.0))


def seeds_of(text: str, links: int) -> tuple[Place, ...]:
    """Return where the hosts that the settings name accept links.

    Args:
        text: The operators' addresses of some hosts, with commas between.
        links: The port for links, which is the same on all hosts.
    """
    seeds = [one.partition(":")[0] for one in text.split(",") if one]
    return tuple(Place(address, address, links) for address in seeds)


class _Values:
    def __init__(self, text: str) -> None:
        lines = (line.partition("=") for line in text.splitlines() if "=" in line)
        self._values = {key.strip(): value.strip() for key, _, value in lines}

    def get(self, key: str) -> str:
        return self._values.get(key, "")

    def text(self, key: str) -> str:
        value = self.get(key)
        if not value:
            raise _wrong(key, "the setting is missing")
        return value

    def names(self, prefix: str) -> frozenset[str]:
        """Return the rest of all keys that begin so."""
        return frozenset(key.removeprefix(prefix) for key in self._values if key.startswith(prefix))

    def number(self, key: str, default: float) -> float:
        value = self.get(key)
        try:
            return float(value) if value else default
        except ValueError as exc:
            raise _wrong(key, f"not a number: {value!r}") from exc

    def whole(self, key: str, index: int, default: str = "") -> int:
        value = (self.get(key) or default).split(",")[index]
        if not value.isdecimal():
            raise _wrong(key, f"not a whole number: {value!r}")
        return int(value)

    def port(self, key: str) -> int:
        return _split(self.text(key), key)[1]


def _split(text: str, key: str) -> tuple[str, int]:
    address, _, port = text.rpartition(":")
    if not address or not port.isdecimal():
        raise _wrong(key, f"not an address with a port: {text!r}")
    return address, int(port)


def _wrong(key: str, message: str) -> AlderhatchError:
    return AlderhatchError(Failure(ErrorKind.BAD_REQUEST, f"{key}: {message}", key))
