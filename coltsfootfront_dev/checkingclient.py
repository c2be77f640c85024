"""Client of the system that checks the answers to its requests.

The text of a model answer is compared with the text that the engine must generate. The answer of a
plain service is only parsed as JSON.
"""

import hashlib
import json
from dataclasses import dataclass
from typing import Any

import aiohttp

from coltsfootfront.calls import blocks
from coltsfootfront_dev.generatedtext import expected_tokens
from coltsfootfront_dev.launcher import Fleet

TRANSPORT_ERRORS = (aiohttp.ClientError, OSError, TimeoutError, ValueError, KeyError)


@dataclass(frozen=True, slots=True)
class ModelCall:
    """One model request and the router that it is sent to.

    :param router_address: ``host:port`` of the router.
    :param versions: weights versions that the customer's terms allow.
    """

    router_address: str
    customer: str
    model: str
    versions: frozenset[str]
    chat: bool
    stream: bool
    prompt: str
    max_tokens: int

    def body(self) -> dict[str, Any]:
        """JSON body of the request."""
        body: dict[str, Any] = {"model": self.model, "max_tokens": self.max_tokens}
        if self.chat:
            body["messages"] = [{"role": "user", "content": self.prompt}]
        else:
            body["prompt"] = self.prompt
        if self.stream:
            body["stream"] = True
            body["stream_options"] = {"include_usage": True}
        return body

    def expected_texts(self) -> set[str]:
        """Expected answer for each allowed weights version."""
        model, _, adapter = self.model.partition(":")
        prompt = blocks.prompt_bytes(self.body(), self.chat)
        return {
            "".join(expected_tokens(prompt, model, adapter, version, self.max_tokens))
            for version in self.versions
        }


@dataclass(frozen=True, slots=True)
class Reply:
    """Outcome of one request.

    :param status: HTTP status, 0 when the connection failed.
    :param problem: what was wrong with the answer, empty when nothing was.
    :param execution_state: run state of an error answer, or an empty string.
    :param error_kind: error kind of an error answer, or an empty string.
    :param retry_after: value of ``Retry-After``, or an empty string.
    :param value: JSON value of the answer, if it was one.
    :param request_id: identifier that the router gave the request, or an empty string.
    """

    status: int
    problem: str = ""
    execution_state: str = ""
    error_kind: str = ""
    retry_after: str = ""
    value: Any = None
    request_id: str = ""

    @property
    def is_correct(self) -> bool:
        """Whether the answer has status 200 and no problem was found in it."""
        return self.status == 200 and not self.problem


class CheckingClient:
    """Sends requests to a fleet.

    :param fleet: a running fleet.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._document = fleet.parsed_document()

    def build_model_call(
        self,
        router: str,
        customer: str,
        model: str,
        prompt: str,
        max_tokens: int,
        stream: bool = True,
        chat: bool = False,
    ) -> ModelCall:
        """Build one model request.

        :param router: name of the router.
        """
        name, _, adapter = model.partition(":")
        grants = self._document.model_grants(customer, name, adapter)
        versions = frozenset(grant.version for grant in grants)
        address = self._fleet.processes[router].address
        return ModelCall(address, customer, model, versions, chat, stream, prompt, max_tokens)

    async def call_model(self, call: ModelCall) -> Reply:
        """Send a model request and check the complete answer."""
        path = "/v1/chat/completions" if call.chat else "/v1/completions"
        try:
            async with self._fleet.session.post(
                f"http://{call.router_address}{path}",
                json=call.body(),
                headers=self.headers(call.customer),
            ) as response:
                if response.status != 200:
                    return await _error_reply(response)
                if call.stream:
                    return Reply(200, await check_stream(response, call))
                value = await response.json()
                return Reply(200, check_unstreamed(value, call), value=value)
        except TRANSPORT_ERRORS as error:
            return Reply(0, repr(error))

    async def call_service(
        self,
        router: str,
        customer: str,
        service: str,
        path: str,
        body: bytes = b"",
        key: str = "",
        method: str = "POST",
    ) -> Reply:
        """Call a plain service; a JSON value with status 200 counts as a correct answer.

        :param router: name of the router.
        :param key: idempotency key, or an empty string.
        """
        headers = self.headers(customer)
        if key:
            headers["Idempotency-Key"] = key
        address = self._fleet.processes[router].address
        url = f"http://{address}/services/{service}/{path}"
        try:
            async with self._fleet.session.request(
                method, url, data=body or None, headers=headers
            ) as response:
                if response.status != 200:
                    return await _error_reply(response)
                return Reply(200, value=json.loads(await response.read()))
        except TRANSPORT_ERRORS as error:
            return Reply(0, repr(error))

    async def execution_count(self, service: str, body: bytes) -> int:
        """Count the executions of a request body by all servers of a plain service together."""
        return len(await self.executed_request_ids(service, body))

    async def executed_request_ids(self, service: str, body: bytes) -> list[str]:
        """Request ids with which the servers of a plain service executed a request body."""
        found: list[str] = []
        digest = hashlib.sha256(body).hexdigest()
        for name, target in self._document.targets.items():
            if target.service != service:
                continue
            address = self._fleet.stand_in_of(name).address
            url = f"http://{address}/control/executions"
            async with self._fleet.session.get(url) as response:
                rows = await response.json()
            found += [row["request_id"] for row in rows if row["body_sha256"] == digest]
        return found

    def headers(self, customer: str) -> dict[str, str]:
        """Authorization header of a customer."""
        return {"Authorization": f"Bearer {self._fleet.api_key(customer)}"}


async def _error_reply(response: aiohttp.ClientResponse) -> Reply:
    value = await response.json(content_type=None)
    error = value.get("error", {})
    return Reply(
        response.status,
        "refused",
        error.get("run", ""),
        error.get("kind", ""),
        response.headers.get("Retry-After", ""),
        value,
        response.headers.get("X-Request-Id", ""),
    )


async def check_stream(response: aiohttp.ClientResponse, call: ModelCall) -> str:
    """Read a stream up to ``[DONE]`` and check its text.

    :returns: what was wrong, or an empty string.
    """
    text, tokens, done = "", None, False
    async for line in response.content:
        if not line.startswith(b"data: "):
            continue
        data = line[6:].strip()
        if data == b"[DONE]":
            done = True
            break
        value = json.loads(data)
        if "error" in value:
            return f"error in the stream: {value}"
        for choice in value.get("choices", []):
            text += (choice.get("delta", {}).get("content") or "") if call.chat else choice["text"]
        tokens = (value.get("usage") or {}).get("completion_tokens", tokens)
    if not done:
        return "no end mark"
    return _check_text(text, tokens, call)


def check_unstreamed(value: dict[str, Any], call: ModelCall) -> str:
    """Check an answer that was not streamed.

    :returns: what was wrong, or an empty string.
    """
    choice = value["choices"][0]
    text = choice["message"]["content"] if call.chat else choice["text"]
    return _check_text(text, value["usage"]["completion_tokens"], call)


def _check_text(text: str, tokens: int | None, call: ModelCall) -> str:
    if text not in call.expected_texts():
        return f"wrong text {text[:60]!r}"
    return "" if tokens == call.max_tokens else f"{tokens} tokens instead of {call.max_tokens}"
