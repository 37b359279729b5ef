"""Reads and checks the settings of a node from flags and environment variables."""

import argparse
import ipaddress
import re

import attrs
import configargparse

from hyssopshelf import __version__, exceptions

ENVIRONMENT_PREFIX = "HYSSOPSHELF_"
_NAME_PATTERN = re.compile(r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$")
_LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
MINIMUM_KEY_BYTES = 16
"""Minimum length of a token key, in bytes."""

MAXIMUM_DRAIN_SECONDS = 600.0


@attrs.frozen(kw_only=True)
class Settings:
    """Validated settings of a node; optional addresses are empty if not given."""

    host: str
    place: str
    region: str
    listen: str
    peer_listen: str
    store_url: str
    host_list_url: str
    seeds: tuple[tuple[str, str], ...]
    token_keys: tuple[tuple[str, bytes], ...]
    drain_seconds: float
    log_format: str
    log_level: str
    check_only: bool


def make_parser() -> configargparse.ArgumentParser:
    """Return the parser of the command line and the environment variables."""
    parser = configargparse.ArgumentParser(
        prog="hyssopshelf-proxy",
        description="Run one node of hyssopshelf.",
        formatter_class=argparse.ArgumentDefaultsHelpFormatter,
        allow_abbrev=False,
        add_env_var_help=True,
        auto_env_var_prefix=ENVIRONMENT_PREFIX,
    )
    add = parser.add_argument
    add("--host", required=True, help="name of this host, unique in the fleet")
    add("--place", required=True, help="place (failure domain) of this host")
    add("--region", default="", help="region of the place")
    add("--listen", required=True, help="IP:port for clients and operators")
    add("--peer-listen", required=True, help="IP:port for messages from other nodes")
    add("--store-url", default="", help="http://IP:port of the platform's store")
    add("--host-list-url", default="", help="http://IP:port of the host list")
    add("--seeds", default="", help="nodes to join, host=IP:port, comma separated")
    add("--token-keys", required=True, help="id:hex of each key; the first one signs")
    add(
        "--drain-seconds",
        default="30",
        help="time limit of a graceful stop, in seconds",
    )
    add("--log-format", default="text", help="text or json")
    add("--log-level", default="INFO", help="one of " + ", ".join(_LOG_LEVELS))
    add("--check-settings", action="store_true", help="check the settings and exit")
    add("--version", action="version", version=f"hyssopshelf {__version__}")
    return parser


def load_settings(arguments: list[str], environment: dict[str, str]) -> Settings:
    """Read and check the settings; flags override environment variables.

    Raises
    ------
    SettingError
        If a setting is unknown or its value is not allowed.
    """
    parser = make_parser()
    check_environment(parser, environment)
    values = parser.parse_args(arguments, env_vars=environment)
    return Settings(
        host=check_name("--host", values.host),
        place=check_name("--place", values.place),
        region=check_name("--region", values.region) if values.region else "",
        listen=check_address("--listen", values.listen),
        peer_listen=check_address("--peer-listen", values.peer_listen),
        store_url=check_url("--store-url", values.store_url),
        host_list_url=check_url("--host-list-url", values.host_list_url),
        seeds=check_seeds("--seeds", values.seeds),
        token_keys=check_token_keys("--token-keys", values.token_keys),
        drain_seconds=check_number(
            "--drain-seconds", values.drain_seconds, 0.0, MAXIMUM_DRAIN_SECONDS
        ),
        log_format=check_choice("--log-format", values.log_format, ("text", "json")),
        log_level=check_choice("--log-level", values.log_level.upper(), _LOG_LEVELS),
        check_only=values.check_settings,
    )


def check_environment(parser, environment: dict[str, str]) -> None:
    """Raise SettingError for a variable with the prefix that is not a setting.

    A misspelt variable would else be ignored silently.
    """
    known = {
        ENVIRONMENT_PREFIX + option.lstrip("-").replace("-", "_").upper()
        for action in parser._actions
        for option in action.option_strings
    }
    # The operators' command has its own variable, which may be set on this host.
    known.add(ENVIRONMENT_PREFIX + "SERVER")
    for name in environment:
        if name.startswith(ENVIRONMENT_PREFIX) and name not in known:
            raise exceptions.SettingError(f"{name} is not a known setting")


def check_name(setting: str, value: str) -> str:
    """Return the name of a host, place or region, or raise SettingError."""
    if not _NAME_PATTERN.match(value):
        raise exceptions.SettingError(
            f"{setting}: {value!r} is not allowed; use 1 to 63 of a-z, 0-9, '.', '-'"
        )
    return value


def check_address(setting: str, value: str) -> str:
    """Return an ``IP:port`` address, or raise SettingError."""
    address, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(address.strip("[]"))
        valid = 0 <= int(port) <= 65535
    except ValueError:
        valid = False
    if not valid:
        raise exceptions.SettingError(
            f"{setting}: {value!r} is not allowed; use IP:port with a numeric IP"
        )
    return value


def check_url(setting: str, value: str) -> str:
    """Return the base URL of a platform service without a trailing slash.

    Empty means that the service is not used. Raises SettingError for other URLs.
    """
    if not value:
        return value
    if not value.startswith("http://"):
        raise exceptions.SettingError(
            f"{setting}: {value!r} is not allowed; use http://IP:port"
        )
    check_address(setting, value.removeprefix("http://").rstrip("/"))
    return value.rstrip("/")


def check_seeds(setting: str, value: str) -> tuple[tuple[str, str], ...]:
    """Return the pairs of host and address of a list of ``host=IP:port``."""
    seeds = []
    for item in filter(None, value.split(",")):
        host, separator, address = item.partition("=")
        if not separator:
            raise exceptions.SettingError(
                f"{setting}: {item!r} is not allowed; use host=IP:port"
            )
        seeds.append((check_name(setting, host), check_address(setting, address)))
    return tuple(seeds)


def check_token_keys(setting: str, value: str) -> tuple[tuple[str, bytes], ...]:
    """Return the token keys with their ids; errors never show a key."""
    keys = []
    for item in value.split(","):
        key_id, _, digits = item.partition(":")
        try:
            key = bytes.fromhex(digits)
        except ValueError:
            key = b""
        if not key_id or len(key) < MINIMUM_KEY_BYTES:
            raise exceptions.SettingError(
                f"{setting}: key {key_id!r} is not allowed; use id:hex with at least "
                f"{MINIMUM_KEY_BYTES} bytes"
            )
        keys.append((key_id, key))
    if len({key_id for key_id, _ in keys}) != len(keys):
        raise exceptions.SettingError(f"{setting}: a key id is given twice")
    return tuple(keys)


def check_number(setting: str, value: str, minimum: float, maximum: float) -> float:
    """Return a number within bounds, or raise SettingError."""
    try:
        number = float(value)
    except ValueError:
        number = float("nan")
    if not minimum <= number <= maximum:
        raise exceptions.SettingError(
            f"{setting}: {value!r} is not allowed; use {minimum:g} to {maximum:g}"
        )
    return number


def check_choice(setting: str, value: str, choices: tuple[str, ...]) -> str:
    """Return a value that is one of the choices, or raise SettingError."""
    if value not in choices:
        raise exceptions.SettingError(
            f"{setting}: {value!r} is not allowed; use one of {', '.join(choices)}"
        )
    return value
