"""Gossip of the configuration between processes.

Every message carries the sender's revision. Whichever side is behind pulls a delta, or the full
document, from the side that is ahead: a client with a call, a server with a ``pull`` message on
the connection that the client opened. Periodic heartbeats (``greet`` messages) carry the
revision between processes that have nothing else to send.
"""

import asyncio
import random
from collections.abc import Coroutine
from typing import Any, TypeVar

import logbook
from reactivex.abc import DisposableBase

from coltsfootfront.common import metrics
from coltsfootfront.common.clock import Clock
from coltsfootfront.common.logs import event
from coltsfootfront.common.supervisor import Supervisor
from coltsfootfront.configuration.activeconfiguration import ActiveConfiguration, ActiveRevision
from coltsfootfront.peers.channel import Channel, ChannelPool
from coltsfootfront.peers.connection import Connection, ConnectionLostError, Identity
from coltsfootfront.peers.messages import Delta, Heartbeat, HeartbeatReply, Message, Pull

log = logbook.Logger(__name__)

T = TypeVar("T")

HEARTBEAT_TIMEOUT_S = 1.0
# A pull without a reply within this time may be retried, also with the same peer.
PULL_TIMEOUT_S = 2.0
PEERS_PER_ROUND = 2
# Outstanding pulls as a client, and likewise as a server; the second one covers for a peer that
# is frozen.
MAX_OUTSTANDING_PULLS = 2
# Peers contacted at start, and the number of replies after which the highest revision is chosen.
BOOTSTRAP_PEERS = 5
BOOTSTRAP_REPLIES = 3
BOOTSTRAP_JITTER_S = 0.2
# Wait for each further reply after the first one, so that a frozen peer does not delay a start.
BOOTSTRAP_EXTRA_WAIT_S = 0.3


class ConfigurationGossip:
    """Propagates configuration revisions between this process and its peers, in both directions.

    The channels of the pool are created with :meth:`on_peer_revision` as ``on_revision`` and
    :meth:`on_server_message` as ``on_request``.

    :param identity: identity of this process.
    :param configuration: active configuration of this process.
    :param pool: channels to peers; the owner closes it.
    :param clock: time source.
    :param seeds: peer addresses that are used while no other peers are set.
    :param own_address: peer address of this process, excluded from the peers; may be empty.
    :param heartbeat_interval_s: mean time between two rounds of heartbeats.
    """

    def __init__(
        self,
        identity: Identity,
        configuration: ActiveConfiguration,
        pool: ChannelPool,
        clock: Clock,
        seeds: list[str],
        own_address: str,
        heartbeat_interval_s: float,
    ) -> None:
        self._identity = identity
        self._configuration = configuration
        self._pool = pool
        self._clock = clock
        self._seeds = [address for address in seeds if address != own_address]
        self._own_address = own_address
        self._heartbeat_interval_s = heartbeat_interval_s
        self._peers: list[str] = []
        self._unvisited_peers: list[str] = []
        self._peer_revisions: dict[str, int] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._client_pulls: dict[str, asyncio.Task[bool]] = {}
        self._server_pulls: dict[str, float] = {}
        self._last_server_call = 0
        self._bootstrapping = False
        self._supervisor = Supervisor("spread", clock)
        self._subscription: DisposableBase | None = None
        self._announced_revision = configuration.number

    async def start(self) -> None:
        """Start sending heartbeats, periodically and after each new revision."""
        self._subscription = self._configuration.changes.subscribe(self._on_active_revision)
        self._supervisor.add("greetings", self._run_heartbeat_rounds)
        await self._supervisor.start()

    async def close(self) -> None:
        """Stop sending heartbeats and cancel outstanding pulls."""
        if self._subscription is not None:
            self._subscription.dispose()
        await self._supervisor.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def set_peers(self, addresses: list[str]) -> None:
        """Replace the peers; while there are none, the seeds are used."""
        self._peers = [address for address in addresses if address != self._own_address]
        known = {*self._peers, *self._seeds}
        self._unvisited_peers = [address for address in self._unvisited_peers if address in known]
        self._peer_revisions = {
            key: value for key, value in self._peer_revisions.items() if key in known
        }

    def on_peer_revision(self, channel: Channel, number: int) -> None:
        """Record a peer's revision and start a pull if it is ahead.

        :param channel: channel on which the message arrived.
        :param number: the peer's revision.
        """
        self._peer_revisions[channel.address] = number
        if number > self._configuration.number and not self._bootstrapping:
            self._begin_pull_unless_busy(channel.address)

    def on_server_message(self, channel: Channel, message: Message) -> None:
        """Serve a request that a server sent to this client."""
        if isinstance(message, Pull):
            delta = self._configuration.delta_since(message.have, message.call)
            self._spawn(self._send(channel, delta))
        elif isinstance(message, Delta) and self._apply_delta(message) is not None:
            self._begin_pull_unless_busy(channel.address)

    async def handle_client_message(
        self, connection: Connection, message: Message, revision: int
    ) -> bool:
        """Serve one message from a client.

        :param connection: connection on which it arrived.
        :param revision: the sender's revision.
        :returns: whether the message was part of the configuration gossip.
        :raises ConnectionLostError: the connection broke while the reply was sent.
        """
        if isinstance(message, Delta):
            self._server_pulls.pop(connection.peer, None)
            have = self._apply_delta(message)
            if have is not None:
                await self._pull_from_client(connection, have)
            return True
        if revision > self._configuration.number:
            await self._pull_from_client(connection, self._configuration.number)
        if isinstance(message, Heartbeat):
            await connection.send(HeartbeatReply(message.call, self._identity.name))
            return True
        if isinstance(message, Pull):
            await connection.send(self._configuration.delta_since(message.have, message.call))
            return True
        return False

    async def bootstrap(self, timeout_s: float) -> bool:
        """Catch up with the highest valid revision among several peers.

        Used at start, and after a pause of the process.

        :param timeout_s: limit for all attempts together.
        :returns: whether peers replied and the highest revision seen among them is active.
        """
        self._bootstrapping = True
        try:
            async with asyncio.timeout(timeout_s):
                while not await self._bootstrap_once():
                    await self._clock.sleep(random.uniform(0, BOOTSTRAP_JITTER_S))
                return True
        except TimeoutError:
            return False
        finally:
            self._bootstrapping = False
            self._pull_from_newest_peer()

    async def pull_from(self, address: str) -> bool:
        """Pull from one peer, or wait for the pull from it that is outstanding.

        :returns: whether this process now has at least the revision that the peer sent.
        """
        task = self._client_pulls.get(address) or self._begin_pull(address)
        return await asyncio.shield(task)

    async def send_delta(self, address: str, base: int) -> bool:
        """Send a peer the delta from a revision to the active one.

        :returns: whether it was sent.
        """
        return await self._send(self._pool.get(address), self._configuration.delta_since(base, 0))

    def _begin_pull(self, address: str) -> asyncio.Task[bool]:
        task = self._spawn(self._pull(address))
        self._client_pulls[address] = task
        task.add_done_callback(lambda _: self._client_pulls.pop(address, None))
        return task

    async def _pull(self, address: str) -> bool:
        channel = self._pool.get(address)
        have: int | None = self._configuration.number
        sent = 0
        try:
            while have is not None:
                pull = Pull(channel.next_number(), have)
                delta = await channel.call(pull, Delta, PULL_TIMEOUT_S)
                sent = delta.to
                # If the delta does not apply, the full document is pulled.
                have = None if self._apply_delta(delta) is None else 0
        except ConnectionLostError as error:
            log.debug(event("pull_failed", peer=address, reason=error))
            return False
        return self._configuration.number >= sent

    def _apply_delta(self, delta: Delta) -> int | None:
        """Apply a delta.

        :returns: the base revision for the next pull, or None if no pull follows: the delta was
            applied, is not newer, or is a full document that cannot be used.
        """
        if delta.to <= self._configuration.number:
            return None
        base_matches = delta.base in (0, self._configuration.number)
        try:
            if self._configuration.apply_delta(delta):
                metrics.CONFIGURATION_EVENTS.inc(
                    {"event": "delta_applied" if delta.base else "whole"}
                )
                return None
        except (ValueError, TypeError, KeyError) as error:
            # The digest matches, but this version of the program cannot parse an entry.
            log.error(event("delta_unreadable", revision=delta.to, reason=repr(error)))
        metrics.CONFIGURATION_EVENTS.inc(
            {"event": "delta_rejected" if base_matches else "delta_misfit"}
        )
        if delta.base == 0:
            return None
        return 0 if base_matches else self._configuration.number

    def _pull_from_newest_peer(self) -> None:
        """Pull from the peer with the highest known revision if it is still ahead."""
        address = max(self._peer_revisions, key=self._peer_revisions.__getitem__, default="")
        if address and self._peer_revisions[address] > self._configuration.number:
            self._begin_pull_unless_busy(address)

    def _begin_pull_unless_busy(self, address: str) -> None:
        if address in self._client_pulls or len(self._client_pulls) >= MAX_OUTSTANDING_PULLS:
            return
        self._begin_pull(address)

    async def _pull_from_client(self, connection: Connection, have: int) -> None:
        now_s = self._clock.monotonic_s()
        self._server_pulls = {
            peer: until_s for peer, until_s in self._server_pulls.items() if until_s > now_s
        }
        if (
            connection.peer in self._server_pulls
            or len(self._server_pulls) >= MAX_OUTSTANDING_PULLS
        ):
            return
        self._server_pulls[connection.peer] = now_s + PULL_TIMEOUT_S
        # Negative call numbers keep calls of the server side apart from those of the client.
        self._last_server_call -= 1
        await connection.send(Pull(self._last_server_call, have))

    async def _send(self, channel: Channel, message: Message) -> bool:
        try:
            await channel.send(message)
        except ConnectionLostError as error:
            log.debug(event("send_failed", peer=channel.address, reason=error))
            return False
        return True

    async def _run_heartbeat_rounds(self) -> None:
        while True:
            await self._clock.sleep(self._heartbeat_interval_s * random.uniform(0.8, 1.2))
            await self._send_heartbeat_round()

    def _on_active_revision(self, active: ActiveRevision) -> None:
        if active.number > self._announced_revision:
            self._announced_revision = active.number
            self._spawn(self._send_heartbeat_round())

    async def _send_heartbeat_round(self) -> None:
        addresses = [self._next_peer() for _ in range(PEERS_PER_ROUND)]
        await asyncio.gather(
            *(self._send_heartbeat(address) for address in set(addresses) if address)
        )

    def _next_peer(self) -> str:
        if not self._unvisited_peers:
            self._unvisited_peers = list(self._peers or self._seeds)
            random.shuffle(self._unvisited_peers)
        return self._unvisited_peers.pop() if self._unvisited_peers else ""

    async def _send_heartbeat(self, address: str) -> bool:
        channel = self._pool.get(address)
        identity = self._identity
        heartbeat = Heartbeat(
            channel.next_number(),
            identity.name,
            identity.role,
            identity.data_centre,
            self._own_address,
        )
        try:
            await channel.call(heartbeat, HeartbeatReply, HEARTBEAT_TIMEOUT_S)
        except ConnectionLostError as error:
            metrics.CONFIGURATION_EVENTS.inc({"event": "greet_failed"})
            log.debug(event("greet_failed", peer=address, reason=error))
            return False
        return True

    async def _bootstrap_once(self) -> bool:
        candidates = list({*self._peers, *self._seeds})
        if not candidates:
            return False
        contacted = random.sample(candidates, min(BOOTSTRAP_PEERS, len(candidates)))
        replied = await self._collect_heartbeat_replies(contacted)
        for address in sorted(
            replied, key=lambda item: self._peer_revisions.get(item, 0), reverse=True
        ):
            peer_revision = self._peer_revisions.get(address, 0)
            if peer_revision == 0:
                return self._configuration.number > 0
            if peer_revision <= self._configuration.number or await self.pull_from(address):
                return True
        return False

    async def _collect_heartbeat_replies(self, addresses: list[str]) -> list[str]:
        address_by_task = {
            asyncio.create_task(self._send_heartbeat_with_jitter(address)): address
            for address in addresses
        }
        replied: list[str] = []
        pending = set(address_by_task)
        timeout_s: float | None = None
        try:
            while pending and len(replied) < BOOTSTRAP_REPLIES:
                done, pending = await asyncio.wait(
                    pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
                )
                replied += [address_by_task[task] for task in done if task.result()]
                if not done:
                    break
                timeout_s = BOOTSTRAP_EXTRA_WAIT_S if replied else None
        finally:
            for task in pending:
                task.cancel()
            await asyncio.gather(*pending, return_exceptions=True)
        return replied

    async def _send_heartbeat_with_jitter(self, address: str) -> bool:
        await self._clock.sleep(random.uniform(0, BOOTSTRAP_JITTER_S))
        return await self._send_heartbeat(address)

    def _spawn(self, coroutine: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error(event("gossip_task_failed", reason=repr(task.exception())))
