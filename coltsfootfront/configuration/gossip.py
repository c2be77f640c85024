"""Gossip of the configuration between processes.

Every message carries the sender's revision. Whichever side is behind pulls a delta, or the
whole, from the side that is ahead: a client with a call, a server with a ``pull`` on the
connection that the client opened. Greetings make sure that messages flow.
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
from coltsfootfront.configuration.activeconfiguration import ActiveRevision, ActiveConfiguration
from coltsfootfront.peers.channel import Channel, ChannelPool
from coltsfootfront.peers.connection import Connection, ConnectionLostError, Identity
from coltsfootfront.peers.messages import Delta, Heartbeat, HeartbeatReply, Message, Pull

log = logbook.Logger(__name__)

T = TypeVar("T")

GREET_TIMEOUT_S = 1.0
# A pull that is not answered within this time may be repeated, also from the same peer.
PULL_TIMEOUT_S = 2.0
PEERS_PER_ROUND = 2
# Pulls of one process that may be outstanding; a second one covers for a peer that is frozen.
MAX_PULLS = 2
# Peers asked at start, and the answers after which the highest revision among them is taken.
BOOTSTRAP_PEERS = 5
BOOTSTRAP_ANSWERS = 3
BOOTSTRAP_JITTER_S = 0.2
# Wait for further answers after the first one, so that one frozen peer does not delay a start.
BOOTSTRAP_GRACE_S = 0.3


class ConfigurationGossip:
    """Keeps this process's revision up to date from peers, and peers' from this process.

    The channels of the pool take :meth:`note_revision` as ``on_revision`` and :meth:`answer` as
    ``on_request``.

    :param identity: identity of this process.
    :param revision: holder of the configuration in force.
    :param pool: channels to peers; the owner closes it.
    :param clock: time source.
    :param seeds: peer addresses that are asked as long as no other peers are set.
    :param own_address: peer address of this process, never greeted; may be empty.
    :param greet_interval_s: time between rounds of greetings.
    """

    def __init__(
        self,
        identity: Identity,
        revision: ActiveConfiguration,
        pool: ChannelPool,
        clock: Clock,
        seeds: list[str],
        own_address: str,
        greet_interval_s: float,
    ) -> None:
        self._identity = identity
        self._revision = revision
        self._pool = pool
        self._clock = clock
        self._seeds = [address for address in seeds if address != own_address]
        self._own_address = own_address
        self._greet_interval_s = greet_interval_s
        self._peers: list[str] = []
        self._turn: list[str] = []
        self._seen: dict[str, int] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._client_pulls: dict[str, asyncio.Task[bool]] = {}
        self._server_pulls: dict[str, float] = {}
        self._server_calls = 0
        self._bootstrapping = False
        self._supervisor = Supervisor("spread", clock)
        self._subscription: DisposableBase | None = None
        self._greeted_for = revision.number

    async def start(self) -> None:
        """Start to greet peers at intervals and after each new revision."""
        self._subscription = self._revision.changes.subscribe(self._on_change)
        self._supervisor.add("greetings", self._greet_peers)
        await self._supervisor.start()

    async def close(self) -> None:
        """Stop greeting and drop outstanding pulls."""
        if self._subscription is not None:
            self._subscription.dispose()
        await self._supervisor.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def set_peers(self, addresses: list[str]) -> None:
        """Replace the peers that are greeted; without any the seeds are greeted."""
        self._peers = [address for address in addresses if address != self._own_address]
        known = {*self._peers, *self._seeds}
        self._turn = [address for address in self._turn if address in known]
        self._seen = {key: value for key, value in self._seen.items() if key in known}

    def on_peer_revision(self, channel: Channel, number: int) -> None:
        """Take note of a peer's revision and pull if it is ahead.

        :param channel: channel on which the message arrived.
        :param number: the peer's revision.
        """
        self._seen[channel.address] = number
        if number > self._revision.number and not self._bootstrapping:
            self._pull_soon(channel.address)

    def on_server_message(self, channel: Channel, message: Message) -> None:
        """Serve a request that a server sent to this client."""
        if isinstance(message, Pull):
            delta = self._revision.delta_since(message.have, message.call)
            self._spawn(self._send(channel, delta))
        elif isinstance(message, Delta) and self._adopt(message) is not None:
            self._pull_soon(channel.address)

    async def handle_client_message(self, connection: Connection, message: Message, revision: int) -> bool:
        """Serve one message from a client.

        :param connection: connection on which it arrived.
        :param revision: the sender's revision.
        :returns: whether the message belonged to the spread of the configuration.
        :raises ConnectionLostError: the connection broke while answering.
        """
        if isinstance(message, Delta):
            self._server_pulls.pop(connection.peer, None)
            have = self._adopt(message)
            if have is not None:
                await self._pull_from_client(connection, have)
            return True
        if revision > self._revision.number:
            await self._pull_from_client(connection, self._revision.number)
        if isinstance(message, Heartbeat):
            await connection.send(HeartbeatReply(message.call, self._identity.name))
            return True
        if isinstance(message, Pull):
            await connection.send(self._revision.delta_since(message.have, message.call))
            return True
        return False

    async def bootstrap(self, timeout_s: float) -> bool:
        """Take the highest valid revision from several peers.

        Used at start, and after a pause of the process.

        :param timeout_s: limit for the whole.
        :returns: whether peers answered and the highest revision seen among them is in force.
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
            self._catch_up()

    async def pull_from(self, address: str) -> bool:
        """Pull from one peer, or wait for the pull from it that is outstanding.

        :returns: whether this process now has at least the revision that the peer sent.
        """
        task = self._client_pulls.get(address) or self._begin_pull(address)
        return await asyncio.shield(task)

    async def send_delta(self, address: str, base: int) -> bool:
        """Send a peer the delta from a revision to the one in force.

        :returns: whether it was sent.
        """
        return await self._send(self._pool.get(address), self._revision.delta_since(base, 0))

    def _begin_pull(self, address: str) -> asyncio.Task[bool]:
        task = self._spawn(self._pull(address))
        self._client_pulls[address] = task
        task.add_done_callback(lambda _: self._client_pulls.pop(address, None))
        return task

    async def _pull(self, address: str) -> bool:
        channel = self._pool.get(address)
        have: int | None = self._revision.number
        sent = 0
        try:
            while have is not None:
                pull = Pull(channel.next_number(), have)
                delta = await channel.call(pull, Delta, PULL_TIMEOUT_S)
                sent = delta.to
                # A delta that does not fit is followed by a pull of the whole.
                have = None if self._adopt(delta) is None else 0
        except ConnectionLostError as error:
            log.debug(event("pull_failed", peer=address, reason=error))
            return False
        return self._revision.number >= sent

    def _adopt(self, delta: Delta) -> int | None:
        """Put a delta in force.

        :returns: the revision that the next pull shall name, or None if no pull shall follow:
            the delta is in force, is not newer, or was the whole and cannot be used.
        """
        if delta.to <= self._revision.number:
            return None
        fits = delta.base in (0, self._revision.number)
        try:
            if self._revision.apply_delta(delta):
                metrics.CONFIGURATION_EVENTS.inc({"event": "delta_applied" if delta.base else "whole"})
                return None
        except (ValueError, TypeError, KeyError) as error:
            # The digest was right, but this version of the program cannot read an entry.
            log.error(event("delta_unreadable", revision=delta.to, reason=repr(error)))
        metrics.CONFIGURATION_EVENTS.inc({"event": "delta_rejected" if fits else "delta_misfit"})
        if delta.base == 0:
            return None
        return 0 if fits else self._revision.number

    def _catch_up(self) -> None:
        """Pull from the peer with the highest revision seen if it is still ahead."""
        address = max(self._seen, key=self._seen.__getitem__, default="")
        if address and self._seen[address] > self._revision.number:
            self._pull_soon(address)

    def _pull_soon(self, address: str) -> None:
        if address in self._client_pulls or len(self._client_pulls) >= MAX_PULLS:
            return
        self._begin_pull(address)

    async def _pull_from_client(self, connection: Connection, have: int) -> None:
        now_s = self._clock.monotonic_s()
        self._server_pulls = {
            peer: until_s for peer, until_s in self._server_pulls.items() if until_s > now_s
        }
        if connection.peer in self._server_pulls or len(self._server_pulls) >= MAX_PULLS:
            return
        self._server_pulls[connection.peer] = now_s + PULL_TIMEOUT_S
        # Calls of the server side count downwards, apart from the numbers of the client's calls.
        self._server_calls -= 1
        await connection.send(Pull(self._server_calls, have))

    async def _send(self, channel: Channel, message: Message) -> bool:
        try:
            await channel.send(message)
        except ConnectionLostError as error:
            log.debug(event("send_failed", peer=channel.address, reason=error))
            return False
        return True

    async def _greet_peers(self) -> None:
        while True:
            await self._clock.sleep(self._greet_interval_s * random.uniform(0.8, 1.2))
            await self._greet_round()

    def _on_change(self, in_force: ActiveRevision) -> None:
        if in_force.number > self._greeted_for:
            self._greeted_for = in_force.number
            self._spawn(self._greet_round())

    async def _greet_round(self) -> None:
        addresses = [self._next_peer() for _ in range(PEERS_PER_ROUND)]
        await asyncio.gather(*(self._greet(address) for address in set(addresses) if address))

    def _next_peer(self) -> str:
        if not self._turn:
            self._turn = list(self._peers or self._seeds)
            random.shuffle(self._turn)
        return self._turn.pop() if self._turn else ""

    async def _greet(self, address: str) -> bool:
        channel = self._pool.get(address)
        identity = self._identity
        greet = Heartbeat(
            channel.next_number(),
            identity.name,
            identity.role,
            identity.data_centre,
            self._own_address,
        )
        try:
            await channel.call(greet, HeartbeatReply, GREET_TIMEOUT_S)
        except ConnectionLostError as error:
            metrics.CONFIGURATION_EVENTS.inc({"event": "greet_failed"})
            log.debug(event("greet_failed", peer=address, reason=error))
            return False
        return True

    async def _bootstrap_once(self) -> bool:
        candidates = list({*self._peers, *self._seeds})
        if not candidates:
            return False
        asked = random.sample(candidates, min(BOOTSTRAP_PEERS, len(candidates)))
        answered = await self._greet_several(asked)
        for address in sorted(answered, key=lambda item: self._seen.get(item, 0), reverse=True):
            wanted = self._seen.get(address, 0)
            if wanted == 0:
                return self._revision.number > 0
            if wanted <= self._revision.number or await self.pull_from(address):
                return True
        return False

    async def _greet_several(self, addresses: list[str]) -> list[str]:
        greetings = {
            asyncio.create_task(self._greet_later(address)): address for address in addresses
        }
        answered: list[str] = []
        pending = set(greetings)
        timeout_s: float | None = None
        try:
            while pending and len(answered) < BOOTSTRAP_ANSWERS:
                done, pending = await asyncio.wait(
                    pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
                )
                answered += [greetings[task] for task in done if task.result()]
                if not done:
                    break
                timeout_s = BOOTSTRAP_GRACE_S if answered else None
        finally:
            for task in pending:
                task.cancel()
            await asyncio.gather(*pending, return_exceptions=True)
        return answered

    async def _greet_later(self, address: str) -> bool:
        await self._clock.sleep(random.uniform(0, BOOTSTRAP_JITTER_S))
        return await self._greet(address)

    def _spawn(self, body: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        task = asyncio.create_task(body)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error(event("spread_task_failed", reason=repr(task.exception())))
