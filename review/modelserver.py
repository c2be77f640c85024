"""A model server that keeps the parts of prompts that it reads, as PROTOCOL.md says.

It keeps parts under the cache salt of the request, an absent salt being one text that all share.
It uses those kept parts with which a prompt begins. Prompts are read one after the other.
"""

import asyncio

from support import Record, Run, Server, send

# Prompt tokens read in a millisecond, from the sheet for gbc-fleet.
TOKENS_PER_MS = 85.2
# Length of a step, after which the first token is there.
STEP_S = 0.00277
EVENTS = 3


class ModelServer(Server):
    """Model server with a cache of prompt parts.

    :param isolated: names of the tenants that share no part with another; changed by the script
        when a configuration that says so must be in force.
    """

    def __init__(self, name: str, record: Record, isolated: set[str]) -> None:
        super().__init__(name, "models", self.run_prompt, version=1)
        self.kept: dict[tuple[str | None, str], str] = {}
        """Tenant whose request made a part, by salt and part; None is an absent salt."""
        self.crossings = 0
        self._record = record
        self._isolated = isolated
        self._reading = asyncio.Lock()

    async def run_prompt(self, _: Server, run: Run, writer: asyncio.StreamWriter) -> None:
        """Read a prompt and answer with a stream."""
        tenant = run.message.get("X-Tenant") or ""
        salt = run.message.get("X-Cache-Salt")
        rows = [row.split(":") for row in (run.message.get("X-Prompt-Prefix") or "").split(",")]
        async with self._reading:
            makers = []
            for part, _ in rows:
                if (salt, part) not in self.kept:
                    break
                makers.append(self.kept[salt, part])
            tokens = sum(int(tokens) for _, tokens in rows[len(makers) :])
            await asyncio.sleep(tokens / TOKENS_PER_MS / 1000)
            for part, _ in rows:
                self.kept.setdefault((salt, part), tenant)
        crossed = [
            maker for maker in makers if maker != tenant and self._isolated & {maker, tenant}
        ]
        self.crossings += bool(crossed)
        self._record.add(
            f"run  {run.request_id} at {self.name} tenant={tenant} salt={salt}"
            f" expected-version={run.message.get('X-Expect-Version')} kept-parts-by={makers}"
            f"{' ACROSS THE WALL' if crossed else ''}"
        )
        await asyncio.sleep(STEP_S)
        events = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, EVENTS + 1))
        fields = self.answer_fields(run) | {"Content-Type": "text/event-stream"}
        await send(writer, 200, fields, events)
