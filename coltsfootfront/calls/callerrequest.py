"""A caller's request after decoding, as used for placement and sending."""

from dataclasses import dataclass, field

from coltsfootfront.calls import blocks
from coltsfootfront.configuration.document import Document, Grant

KIND_COMPLETION = "completion"
KIND_CHAT = "chat"
KIND_SERVICE = "service"


@dataclass(slots=True)
class CallerRequest:
    """One caller's request.

    :param kind: ``completion``, ``chat`` or ``service``.
    :param service: name of the plain (non-model) service, empty for requests to a model.
    :param deadline_unix_s: wall-clock time after which the request must not start.
    :param prompt: text from which the block keys are computed; empty for plain services.
    :param idempotency_key: hash of the caller's idempotency key, empty without one.
    """

    request_id: str
    customer: str
    kind: str
    deadline_unix_s: float
    body: bytes
    model: str = ""
    adapter: str = ""
    prompt: bytes = b""
    service: str = ""
    method: str = "POST"
    path: str = ""
    headers: list[list[str]] = field(default_factory=list)
    idempotent: bool = True
    idempotency_key: str = ""
    _block_keys: dict[str, tuple[bytes, ...]] = field(default_factory=dict)

    def grants(self, document: Document) -> list[Grant]:
        """Grants of the targets that the configuration allows for this request."""
        if self.kind == KIND_SERVICE:
            return document.service_grants(self.customer, self.service)
        return document.model_grants(self.customer, self.model, self.adapter)

    def cache_salt(self, version: str) -> str:
        """Salt of the prompt's block keys for a weights version."""
        return blocks.compute_cache_salt(self.customer, self.model, self.adapter, version)

    def block_keys(self, version: str, document: Document) -> tuple[bytes, ...]:
        """Truncated block keys of the prompt for a weights version."""
        if self.kind == KIND_SERVICE:
            return ()
        cached_keys = self._block_keys.get(version)
        if cached_keys is None:
            model = document.models.get(self.model)
            if model is None:
                return ()
            full_keys = blocks.compute_block_keys(
                self.cache_salt(version), self.prompt, model.block_bytes
            )
            cached_keys = tuple(blocks.truncate_keys(full_keys))
            self._block_keys[version] = cached_keys
        return cached_keys
