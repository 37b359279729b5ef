"""Tests of the checks on a node's settings."""

import pytest

from hyssopshelf import exceptions
from hyssopshelf.runtime import settings

VALID = {
    "HYSSOPSHELF_HOST": "h1",
    "HYSSOPSHELF_PLACE": "ba-1",
    "HYSSOPSHELF_LISTEN": "127.0.0.1:8080",
    "HYSSOPSHELF_PEER_LISTEN": "127.0.0.1:8081",
    "HYSSOPSHELF_TOKEN_KEYS": "k1:" + "ab" * 16,
}


def test_flags_override_environment_variables():
    """Guards against a flag that is silently ignored."""
    values = settings.load_settings(["--host=h2"], VALID)
    assert (values.host, values.place) == ("h2", "ba-1")
    assert values.token_keys == (("k1", bytes.fromhex("ab" * 16)),)


@pytest.mark.parametrize(
    ("name", "value", "allowed"),
    [
        ("HOST", "Bad_Name", "1 to 63"),
        ("LISTEN", "localhost:80", "IP:port"),
        ("PEER_LISTEN", "127.0.0.1:70000", "IP:port"),
        ("STORE_URL", "ftp://127.0.0.1:1", "http://IP:port"),
        ("SEEDS", "x", "IP:port"),
        ("TOKEN_KEYS", "k1:abcd", "at least 16 bytes"),
        ("TOKEN_KEYS", "k1:" + "ab" * 16 + ",k1:" + "cd" * 16, "given twice"),
        ("DRAIN_SECONDS", "nan", "0 to 600"),
        ("LOG_FORMAT", "xml", "text, json"),
        ("LOG_LEVEL", "LOUD", "DEBUG"),
    ],
)
def test_error_names_the_setting_and_what_is_allowed(name, value, allowed):
    """Guards against a node that starts with an invalid setting."""
    with pytest.raises(exceptions.SettingError) as error:
        settings.load_settings([], VALID | {f"HYSSOPSHELF_{name}": value})
    flag = "--" + name.lower().replace("_", "-")
    assert flag in str(error.value) and allowed in str(error.value)


def test_unknown_environment_variable_is_refused():
    """Guards against a misspelt variable that is silently ignored."""
    with pytest.raises(exceptions.SettingError, match="HYSSOPSHELF_PLACES"):
        settings.load_settings([], VALID | {"HYSSOPSHELF_PLACES": "x"})


def test_error_does_not_show_a_key():
    """Guards against token keys in the error message of a failed start."""
    with pytest.raises(exceptions.SettingError) as error:
        settings.load_settings([], VALID | {"HYSSOPSHELF_TOKEN_KEYS": "k1:secret"})
    assert "secret" not in str(error.value)
