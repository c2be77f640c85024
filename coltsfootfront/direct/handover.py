"""What a holder of the orders' lease leaves to the next one: how long to wait for its orders.

Where targets do not check fencing tokens, the orders of two holders have to be apart in time, so a
new holder waits. Holders that are stopped one after the other would each begin that wait anew, and
none would ever send an order.
"""

import json
from collections.abc import Callable
from typing import NamedTuple

import logbook

from coltsfootfront.common.decoding import (
    DecodingError,
    decoding,
    load_json,
    read_integer,
    read_number,
    read_object,
)
from coltsfootfront.common.logs import event
from coltsfootfront.keyvalue.store import Compare, Put

log = logbook.Logger(__name__)

HANDOVER_KEY = "coltsfootfront/orders-handover"


class Handover(NamedTuple):
    """What the last holder has left.

    :param wait_s: time from the end of its lease until the next one may send an order, None if it
        has left nothing, as one that is killed.
    :param conditions: conditions under which this still holds.
    """

    wait_s: float | None
    conditions: list[Compare]


NOTHING_LEFT = Handover(None, [])


class HandoverRecord:
    """Record in the store of what the last holder has left.

    :param value_of: value of a key in the copy of the store.
    :param revision_of: revision of a key in that copy, None if it is not known.
    :param has_copy: whether the copy of the store has been read.
    :param store_era: latest known era of the store. A restore may bring back a record that a later
        holder had cleared, so one of an earlier era says nothing.
    """

    def __init__(
        self,
        value_of: Callable[[str], bytes | None],
        revision_of: Callable[[str], int | None],
        has_copy: Callable[[], bool],
        store_era: Callable[[], int],
    ) -> None:
        self._value_of = value_of
        self._revision_of = revision_of
        self._has_copy = has_copy
        self._store_era = store_era

    @property
    def is_readable(self) -> bool:
        """Whether it is known yet what the last holder has left."""
        return self._has_copy()

    def read(self) -> Handover:
        """Read what the last holder has left."""
        value, revision = self._value_of(HANDOVER_KEY), self._revision_of(HANDOVER_KEY)
        if not value or not revision:
            return NOTHING_LEFT
        try:
            with decoding("handover"):
                fields = read_object(load_json(value))
                wait_s, era = read_number(fields["wait_s"]), read_integer(fields["era"])
        except DecodingError as error:
            log.warning(event("handover_unreadable", reason=str(error)))
            return NOTHING_LEFT
        if era != self._store_era():
            return NOTHING_LEFT
        return Handover(wait_s, [Compare(HANDOVER_KEY, revision)])

    def leave(self, wait_s: float) -> list[Put]:
        """Write that leaves a wait to the next holder, together with the end of the lease."""
        fields = {"wait_s": round(wait_s, 3), "era": self._store_era()}
        return [Put(HANDOVER_KEY, json.dumps(fields).encode())]

    def clear(self) -> list[Put]:
        """Write that leaves nothing, together with the begin of a lease."""
        return [Put(HANDOVER_KEY, b"")]
