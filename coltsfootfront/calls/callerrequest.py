"""One caller's request in the form in which it is placed and sent."""

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
    :param service: name of the plain service, empty for a model.
    :param deadline_unix_s: wall-clock time after which the request must not start.
    :param prompt: text that decides which cached blocks match; empty for services.
    :param idempotency_key: hash of the caller's key or an empty string.
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
    _keys: dict[str, tuple[bytes, ...]] = field(default_factory=dict)

    def grants(self, document: Document) -> list[Grant]:
        """Targets that the terms in force allow for this request."""
        if self.kind == KIND_SERVICE:
            return document.service_grants(self.customer, self.service)
        return document.model_grants(self.customer, self.model, self.adapter)

    def cache_salt(self, version: str) -> str:
        """Salt of the cached blocks under one weights version."""
        return blocks.compute_cache_salt(self.customer, self.model, self.adapter, version)

    def block_keys(self, version: str, document: Document) -> tuple[bytes, ...]:
        """Short block keys of the prompt under one weights version."""
        if self.kind == KIND_SERVICE:
            return ()
        known = self._keys.get(version)
        if known is None:
            model = document.models.get(self.model)
            if model is None:
                return ()
            chain = blocks.compute_block_keys(self.cache_salt(version), self.prompt, model.block_bytes)
            known = tuple(blocks.truncate_keys(chain))
            self._keys[version] = known
        return known
