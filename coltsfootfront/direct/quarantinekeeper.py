"""Shares evidence of crashes and what is quarantined among the routers.

Evidence travels as gossip, and each router convicts by what it has. A quarantined part of prompts,
or digest of a request, is also written to the store, from where routers that start later learn of
it. Routers of an earlier version take a digest for a part that none of their requests has.
"""

import json
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import logbook
from returns.result import Success

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.decoding import (
    DecodingError,
    decode_each,
    decoding,
    load_json,
    read_integer,
    read_list,
    read_number,
    read_object,
    read_text,
)
from coltsfootfront.common.logs import event
from coltsfootfront.direct import gossip
from coltsfootfront.direct.crashevidence import (
    MAX_SUSPECTS_PER_CRASH,
    CrashEvidence,
    Parts,
    Suspect,
)
from coltsfootfront.direct.directory import Target
from coltsfootfront.direct.gossip import Gossip
from coltsfootfront.direct.quarantine import FIRST_HOLD_S, Quarantine, QuarantineRecord
from coltsfootfront.keyvalue.store import Compare, Put, Store, Transaction

log = logbook.Logger(__name__)

QUARANTINE_PREFIX = "coltsfootfront/quarantine/"
CHECK_INTERVAL_S = 0.1
# Interval at which a record is told to a few peers, for those that have missed it.
REPETITION_INTERVAL_S = 2.0
# All routers convict at about the same time; the first one to write spares the others the call.
MAX_WRITE_DELAY_S = 0.5
# Time after which a write that failed is tried again, longer than the usual age of the copy.
WRITE_RETRY_S = 1.5
# Time after which a router that could not claim a trial asks the store again.
TRIAL_RETRY_S = 1.0
# Time for which the record of a release stays in the store, longer than any router lags behind.
RELEASE_RETENTION_S = 60.0
# Requests in one message, of about 130 bytes each, so that it fits into one packet.
SUSPECTS_PER_MESSAGE = 8
RESENT_PER_MESSAGE = 32

ReadRevision = Callable[[str], int | None]


@dataclass(slots=True)
class _PendingWrite:
    """Value that a key of the store should get.

    :param value: None removes the key.
    :param due_s: monotonic time from which it is written.
    :param is_release: it records that the parts are released, or removes that record.
    """

    value: bytes | None
    due_s: float
    is_release: bool = False


class QuarantineKeeper:
    """Convicts the parts of prompts that crash targets, and holds their requests back.

    :param router: name of this router.
    :param revision_of: revision of a key in this router's copy of the store, 0 if it has none; None
        while the copy must not decide a write.
    :param withdraw: ends the unanswered exchanges whose prompts have some parts, and counts them.
    """

    def __init__(
        self,
        clock: Clock,
        router: str,
        channel: Gossip,
        store: Store,
        revision_of: ReadRevision,
        withdraw: Callable[[frozenset[str]], int],
        generator: random.Random,
    ) -> None:
        self._clock = clock
        self._router = router
        self._gossip = channel
        self._store = store
        self._revision_of = revision_of
        self._withdraw = withdraw
        self._generator = generator
        self._evidence = CrashEvidence(clock)
        self._quarantine = Quarantine(clock)
        self._writes: dict[str, _PendingWrite] = {}
        self._next_claim_s: dict[str, float] = {}
        self._repeated_s = clock.monotonic_s()

    def held_for_s(self, parts: Parts) -> float | None:
        """Time for which requests with these parts are held back; None if they are not."""
        record = self._quarantine.find(parts)
        if record is None:
            return None
        record.held_back += 1
        metrics.QUARANTINE.inc({"event": "held_back"})
        return max(TRIAL_RETRY_S, record.left_s(self._clock.monotonic_s()))

    def quarantined_for_s(self, parts: Parts) -> float | None:
        """Like :meth:`held_for_s`, for a request that is not held back, and counts as none."""
        record = self._quarantine.find(parts)
        return record.left_s(self._clock.monotonic_s()) if record is not None else None

    async def may_try(self, parts: Parts) -> bool:
        """Whether a request with quarantined parts is sent as a trial."""
        record = self._quarantine.find(parts)
        now_s = self._clock.monotonic_s()
        if record is None or record.left_s(now_s) > 0:
            return False
        if now_s < self._next_claim_s.get(record.id, 0.0):
            return False
        self._next_claim_s[record.id] = now_s + TRIAL_RETRY_S
        # Only one router can replace the record, so that one request is tried.
        after = self._quarantine.begin_trial(record)
        key = QUARANTINE_PREFIX + record.id
        revision = self._revision_of(key)
        if revision is None:
            return False
        compare = Compare(key, revision)
        committed = await self._store.commit(
            Transaction([compare], [Put(key, _encode(after))], [], [key])
        )
        if not isinstance(committed, Success) or not committed.unwrap().succeeded:
            return False
        log.info(event("quarantine_trial", **_fields(record), next_hold_s=after.hold_s))
        metrics.QUARANTINE.inc({"event": "trial"})
        self._quarantine.put(after)
        self._announce(after)
        return True

    def record_crash(self, target: Target, suspects: list[Suspect]) -> None:
        """Record the unanswered requests of this router at a target that has crashed."""
        started_ms = target.entry.started_ms
        suspects = suspects[-MAX_SUSPECTS_PER_CRASH:]
        self._record_crash(target.name, started_ms, suspects, by="this router")
        for begin in range(0, len(suspects), SUSPECTS_PER_MESSAGE):
            rows = [
                [item.is_answering, list(item.parts)]
                for item in suspects[begin : begin + SUSPECTS_PER_MESSAGE]
            ]
            self._gossip.broadcast(gossip.CRASH, [target.name, started_ms, rows])
        resent = self._evidence.resent(target.name, started_ms)[:RESENT_PER_MESSAGE]
        if resent:
            self._gossip.broadcast(gossip.RESENT, [target.name, started_ms, resent])

    def count_crashes(self, digest: str, except_for: Target | None = None) -> int:
        """Number of targets that have crashed while a request was unanswered, as far as is known.

        An answer to such a request ends the suspicion.

        :param except_for: target whose crash is not counted.
        """
        start = (except_for.name, except_for.entry.started_ms) if except_for else None
        return self._evidence.count_crashes(digest, start)

    def record_answer(self, parts: Parts) -> None:
        """Record that a target answers a prompt with these parts."""
        cleared = self._evidence.record_answer(parts)
        if cleared:
            log.info(event("suspicion_cleared", parts=",".join(cleared)))
            self._gossip.broadcast(gossip.ANSWERED, cleared)
        for record in self._quarantine.answered(parts):
            self._release(record, "a target answered them")

    def handle_crash(self, fields: list[Any]) -> None:
        """Record the requests that a peer has lost at a target that crashed."""
        with decoding("crash"):
            name, started_ms, rows = fields
            target, start = read_text(name), read_integer(started_ms)
            suspects = decode_each("suspects", read_list(rows), _decode_suspect, target=target)
        self._record_crash(target, start, suspects, by="a peer")

    def handle_resent(self, fields: list[Any]) -> None:
        """Record which requests a peer had sent to a target after they had crashed another one."""
        with decoding("resent requests"):
            name, started_ms, digests = fields
            target, start = read_text(name), read_integer(started_ms)
            found = decode_each("resent requests", read_list(digests), read_text, target=target)
        self._evidence.record_resent(target, start, found)

    def handle_answered(self, fields: list[Any]) -> None:
        """Clear parts that a target has answered at a peer."""
        self._evidence.record_answer(tuple(decode_each("answered", read_list(fields), read_text)))

    def handle_quarantined(self, fields: list[Any]) -> None:
        """Adopt the records of a peer."""
        for value in read_list(fields):
            self._adopt(value, by="a peer")

    def handle_released(self, fields: list[Any]) -> None:
        """Release a record that a peer has released."""
        with decoding("release"):
            record_id, reason = map(read_text, fields)
        self._drop(record_id, reason, by="a peer")

    def handle_stored(self, record_id: str, value: bytes | None) -> None:
        """Adopt a record from the store; a missing one does not end the quarantine."""
        if value is None:
            record = self._quarantine.get(record_id)
            if record is not None:
                self._save(record)
        elif self._adopt(value, by="the store"):
            self._cancel_write(record_id)

    async def run(self) -> None:
        """Run the loop that convicts parts and repeats what is quarantined."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL_S)
            self._convict()
            for record in self._quarantine.idle():
                self._release(record, "no request came for them")
            now_s = self._clock.monotonic_s()
            if now_s - self._repeated_s >= REPETITION_INTERVAL_S:
                self._repeated_s = now_s
                for record in self._quarantine.records():
                    self._gossip.send_to_some(gossip.QUARANTINED, [_encode(record)])

    async def run_writes(self) -> None:
        """Run the loop that writes records to the store."""
        while True:
            await self._clock.sleep(CHECK_INTERVAL_S)
            now_s = self._clock.monotonic_s()
            for record_id, write in list(self._writes.items()):
                if now_s >= write.due_s:
                    await self._write(record_id, write)

    def _convict(self) -> None:
        known = [record.parts for record in self._quarantine.records()]
        conviction = self._evidence.convict(known)
        if conviction is None:
            return
        record = QuarantineRecord(
            parts=conviction.parts,
            targets=len(conviction.targets),
            hold_s=FIRST_HOLD_S,
            trials=0,
            since_ms=int(self._clock.unix_s() * 1000),
            reported_by=self._router,
        )
        for other in self._quarantine.records():
            if other.parts > record.parts:
                self._release(other, "fewer parts explain the crashes")
        log.warning(
            event(
                "quarantine_evidence",
                parts=",".join(sorted(record.parts)),
                targets=",".join(conviction.targets),
                lasted_s=conviction.lasted_s,
            )
        )
        self._quarantine.put(record, is_own=True)
        self._begin(record, by="this router")
        self._announce(record)
        self._save(record)

    def _record_crash(self, name: str, started_ms: int, suspects: list[Suspect], by: str) -> None:
        is_new = self._evidence.record_crash(name, started_ms, suspects)
        if is_new:
            metrics.QUARANTINE.inc({"event": "crash"})
            log.info(event("target_crashed", target=name, unanswered=len(suspects), by=by))

    def _begin(self, record: QuarantineRecord, by: str) -> None:
        withdrawn = self._withdraw(record.parts)
        metrics.QUARANTINE.inc({"event": "quarantined"})
        log.warning(event("parts_quarantined", **_fields(record), withdrawn=withdrawn, by=by))

    def _adopt(self, value: Any, by: str) -> bool:
        """Take over a record.

        :returns: whether the parts are quarantined by it.
        """
        try:
            with decoding("record"):
                body = read_object(load_json(value))
                record_id = read_text(body["id"])
                record = None if body["is_released"] else _decode_record(body)
        except DecodingError as error:
            log.warning(event("quarantine_unreadable", by=by, reason=str(error)))
            return False
        if record is None:
            self._drop(record_id, "released", by)
            return False
        is_known = self._quarantine.get(record.id) is not None
        if record.parts and self._quarantine.put(record) and not is_known:
            self._begin(record, by)
        return self._quarantine.get(record.id) is not None

    def _release(self, record: QuarantineRecord, reason: str) -> None:
        self._drop(record.id, reason, by="this router")
        self._gossip.broadcast(gossip.RELEASED, [record.id, reason])
        self._writes[record.id] = _PendingWrite(
            _encode(record, is_released=True), self._clock.monotonic_s(), is_release=True
        )

    def _drop(self, record_id: str, reason: str, by: str) -> None:
        self._cancel_write(record_id)
        self._next_claim_s.pop(record_id, None)
        record = self._quarantine.release(record_id)
        if record is not None:
            metrics.QUARANTINE.inc({"event": "released"})
            log.warning(event("parts_released", **_fields(record), reason=reason, by=by))

    def _announce(self, record: QuarantineRecord) -> None:
        self._gossip.broadcast(gossip.QUARANTINED, [_encode(record)])

    def _cancel_write(self, record_id: str) -> None:
        write = self._writes.get(record_id)
        if write is not None and not write.is_release:
            del self._writes[record_id]

    def _save(self, record: QuarantineRecord) -> None:
        due_s = self._clock.monotonic_s() + self._generator.uniform(0.0, MAX_WRITE_DELAY_S)
        self._writes[record.id] = _PendingWrite(_encode(record), due_s)

    async def _write(self, record_id: str, write: _PendingWrite) -> None:
        key = QUARANTINE_PREFIX + record_id
        revision = self._revision_of(key)
        if revision is None:
            write.due_s = self._clock.monotonic_s() + WRITE_RETRY_S
            return
        compare = Compare(key, revision)
        if write.value is None:
            transaction = Transaction([compare], deletes=[key])
        else:
            transaction = Transaction([compare], [Put(key, write.value)], [], [key])
        committed = await self._store.commit(transaction)
        if self._writes.get(record_id) is not write:
            return
        now_s = self._clock.monotonic_s()
        if not isinstance(committed, Success) or not committed.unwrap().succeeded:
            # The key has changed, or the store is away. The copy shows what it holds by then.
            write.due_s = now_s + WRITE_RETRY_S
        elif write.is_release and write.value is not None:
            due_s = now_s + RELEASE_RETENTION_S
            self._writes[record_id] = _PendingWrite(None, due_s, is_release=True)
        else:
            del self._writes[record_id]


def _encode(record: QuarantineRecord, is_released: bool = False) -> bytes:
    return json.dumps(
        {
            "id": record.id,
            "parts": sorted(record.parts),
            "targets": record.targets,
            "hold_s": record.hold_s,
            "trials": record.trials,
            "since_ms": record.since_ms,
            "reported_by": record.reported_by,
            "is_released": is_released,
        }
    ).encode()


def _decode_record(body: dict[str, Any]) -> QuarantineRecord:
    return QuarantineRecord(
        parts=frozenset(read_text(part) for part in read_list(body["parts"])),
        targets=read_integer(body["targets"]),
        hold_s=read_number(body["hold_s"]),
        trials=read_integer(body["trials"]),
        since_ms=read_integer(body["since_ms"]),
        reported_by=read_text(body["reported_by"]),
    )


def _decode_suspect(row: Any) -> Suspect:
    is_answering, parts = read_list(row)
    return Suspect(tuple(read_text(part) for part in read_list(parts)), bool(is_answering))


def _fields(record: QuarantineRecord) -> dict[str, Any]:
    """Log fields of a record."""
    return {
        "parts": ",".join(sorted(record.parts)),
        "targets": record.targets,
        "hold_s": record.hold_s,
        "trials": record.trials,
        "since_ms": record.since_ms,
        "convicted_by": record.reported_by,
        "held_back": record.held_back,
    }
