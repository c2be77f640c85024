"""Grants of one kind of request, prepared for many placements under one revision."""

from collections import Counter, OrderedDict

from coltsfootfront.calls.callerrequest import CallerRequest
from coltsfootfront.configuration.document import Document, Grant

# Kinds of requests whose grants are kept; with 350 targets each takes about 60 KB.
KEPT_KINDS = 32

Kind = tuple[str, str, str, str]


class GrantGroup:
    """Targets on one side of the region's border that a request may use.

    :param grants: grants ordered by target name.
    """

    __slots__ = ("by_target", "grants", "priority", "version")

    def __init__(self, grants: list[Grant]) -> None:
        self.grants = grants
        self.by_target = {grant.target: grant for grant in grants}
        counts = Counter(grant.version for grant in grants)
        self.version = max(counts, key=lambda version: (counts[version], version), default="")
        """Version of most targets; every router finds the same one from the document."""
        self.priority = min((grant.priority for grant in grants), default=0)

    def without(self, names: set[str], version: str | None = None) -> "GrantGroup":
        """The same group without some targets, and with one version only."""
        if version is None and names.isdisjoint(self.by_target):
            return self
        return GrantGroup(
            [
                grant
                for grant in self.grants
                if grant.target not in names and version in (None, grant.version)
            ]
        )


class GrantGroups:
    """Local and remote grants by kind of request.

    :param data_centre: data centre of this router.
    """

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._document: Document | None = None
        self._groups: OrderedDict[Kind, tuple[GrantGroup, GrantGroup]] = OrderedDict()

    def get(self, job: CallerRequest, document: Document) -> tuple[GrantGroup, GrantGroup]:
        """Return the local and the remote group of a request.

        :param document: document in force; groups of an earlier one are forgotten.
        """
        if document is not self._document:
            self._document = document
            self._groups.clear()
        kind = (job.customer, job.model, job.adapter, job.service)
        found = self._groups.get(kind)
        if found is None:
            found = self._split(job, document)
            self._groups[kind] = found
            if len(self._groups) > KEPT_KINDS:
                self._groups.popitem(last=False)
        self._groups.move_to_end(kind)
        return found

    def _split(self, job: CallerRequest, document: Document) -> tuple[GrantGroup, GrantGroup]:
        own = document.region_of(self._data_centre)
        local: list[Grant] = []
        remote: list[Grant] = []
        for grant in job.grants(document):
            region = document.region_of(document.targets[grant.target].data_centre)
            (local if region == own else remote).append(grant)
        return GrantGroup(local), GrantGroup(remote)
