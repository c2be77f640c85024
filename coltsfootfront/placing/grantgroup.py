"""Cached grants (permissions to use targets) for requests of the same kind."""

from collections import Counter, OrderedDict

from coltsfootfront.calls.callerrequest import CallerRequest
from coltsfootfront.configuration.document import Document, Grant

# With 350 targets, the grants of one kind of request take about 60 KB.
MAX_CACHED_KINDS = 32

RequestKind = tuple[str, str, str, str]


class GrantGroup:
    """Targets that a request may use, either all local or all in other regions.

    :param grants: grants ordered by target name.
    """

    __slots__ = ("by_target", "grants", "priority", "version")

    def __init__(self, grants: list[Grant]) -> None:
        self.grants = grants
        self.by_target = {grant.target: grant for grant in grants}
        counts = Counter(grant.version for grant in grants)
        self.version = max(counts, key=lambda version: (counts[version], version), default="")
        """Weights version of most targets; ties go to the highest, so that all routers agree."""
        self.priority = min((grant.priority for grant in grants), default=0)

    def excluding(self, names: set[str], version: str | None = None) -> "GrantGroup":
        """Return the group without some targets, restricted to a version if one is given."""
        if version is None and names.isdisjoint(self.by_target):
            return self
        return GrantGroup(
            [
                grant
                for grant in self.grants
                if grant.target not in names and version in (None, grant.version)
            ]
        )


class GrantCache:
    """Caches local and remote grants by kind of request.

    :param data_centre: data centre of this router.
    """

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._document: Document | None = None
        self._groups: OrderedDict[RequestKind, tuple[GrantGroup, GrantGroup]] = OrderedDict()

    def get(
        self, caller_request: CallerRequest, document: Document
    ) -> tuple[GrantGroup, GrantGroup]:
        """Return the local and the remote group of a request.

        :param document: active document; a new one invalidates the cache.
        """
        if document is not self._document:
            self._document = document
            self._groups.clear()
        request_kind = (
            caller_request.customer,
            caller_request.model,
            caller_request.adapter,
            caller_request.service,
        )
        groups = self._groups.get(request_kind)
        if groups is None:
            groups = self._split(caller_request, document)
            self._groups[request_kind] = groups
            if len(self._groups) > MAX_CACHED_KINDS:
                self._groups.popitem(last=False)
        self._groups.move_to_end(request_kind)
        return groups

    def _split(
        self, caller_request: CallerRequest, document: Document
    ) -> tuple[GrantGroup, GrantGroup]:
        own_region = document.region_of(self._data_centre)
        local: list[Grant] = []
        remote: list[Grant] = []
        for grant in caller_request.grants(document):
            region = document.region_of(document.targets[grant.target].data_centre)
            (local if region == own_region else remote).append(grant)
        return GrantGroup(local), GrantGroup(remote)
