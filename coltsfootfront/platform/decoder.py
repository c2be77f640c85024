"""Decodes what operators and targets write to the platform's store.

The store has other writers too, so an entry may have missing fields or fields of other types. Such
an entry is ignored, and the reason is returned for the log.
"""

from typing import Any

import logbook
from returns.result import Failure as Failed
from returns.result import Result, Success

from coltsfootfront.common.decoding import (
    DecodingError,
    decoding,
    describe,
    load_json,
    read_address,
    read_integer,
    read_list,
    read_object,
    read_text,
)
from coltsfootfront.common.logs import event
from coltsfootfront.direct.directory import TargetEntry
from coltsfootfront.direct.node import ItemDecoder, StoreUpdateHandler
from coltsfootfront.direct.storefollower import Item
from coltsfootfront.platform.configdecoder import decode_config

CONFIG_KEY = "op/config"
VERSION_PREFIX = "op/version/"
TARGET_PREFIX = "servers/"
# Routers tell each other builds by name. A name may end with the digest of an image.
MAX_BUILD_CHARACTERS = 256
# A target with more slots than any machine has attracts every request.
MAX_SLOTS = 1_000_000

Json = dict[str, Any]

log = logbook.Logger(__name__)


class PlatformDecoder(ItemDecoder):
    """Decodes the keys that operators and targets write to the platform's store."""

    def decode(self, item: Item, handler: StoreUpdateHandler) -> None:
        if item.key.startswith(TARGET_PREFIX):
            self._decode_target_entry(item, handler)
        elif item.value is None:
            return
        elif item.key == CONFIG_KEY:
            config = decode_config(item.value)
            if isinstance(config, Success):
                handler.apply_config(config.unwrap())
            else:
                self._log_ignored_key(item, config.failure())
        elif item.key.startswith(VERSION_PREFIX):
            version = decode_version(item.value)
            if isinstance(version, Success):
                handler.apply_version(*version.unwrap())
            else:
                self._log_ignored_key(item, version.failure())

    def _decode_target_entry(self, item: Item, handler: StoreUpdateHandler) -> None:
        if item.value is None:
            handler.remove_entry(item.key.removeprefix(TARGET_PREFIX))
            return
        entry = decode_target_entry(item.key, item.value)
        if isinstance(entry, Success):
            handler.apply_entry(entry.unwrap())
        else:
            self._log_ignored_key(item, entry.failure())

    def _log_ignored_key(self, item: Item, reason: str) -> None:
        log.warning(event("key_ignored", key=item.key, revision=item.revision, reason=reason))


def decode_version(value: bytes) -> Result[tuple[str, int], str]:
    """Decode the version of a model's weights that operators ask for."""
    try:
        with decoding("version"):
            body = read_object(load_json(value))
            return Success((read_text(body["model"]), read_integer(body["version"])))
    except DecodingError as error:
        return Failed(str(error))


def decode_target_entry(key: str, value: bytes) -> Result[TargetEntry, str]:
    """Decode the registry entry that a target writes.

    :param key: key of the entry, which ends with the target's name.
    """
    try:
        with decoding("entry"):
            return Success(_decode_target_entry(key, read_object(load_json(value))))
    except DecodingError as error:
        return Failed(str(error))


def _decode_target_entry(key: str, body: Json) -> TargetEntry:
    state = body["state"]
    if state not in ("ready", "draining"):
        raise DecodingError(f"{describe(state)} is not a known state")
    return TargetEntry(
        name=read_text(key.removeprefix(TARGET_PREFIX)),
        service=read_text(body["service"]),
        address=read_address(body["address"]),
        data_centre=read_text(body["zone"]),
        slots=read_integer(body["slots"], high=MAX_SLOTS),
        is_draining=state == "draining",
        versions={
            read_text(model["name"]): read_integer(model["version"])
            for model in read_list(body.get("models", []))
        },
        started_ms=read_integer(body.get("born", 0)),
        build=_read_build(body.get("version")),
    )


def _read_build(version: Any) -> str:
    """Version of a target's software, empty if it cannot be told from others."""
    try:
        build = read_text(version)
    except DecodingError:
        return ""
    return build if len(build) <= MAX_BUILD_CHARACTERS else ""
