"""Carries the messages about permits as gossip between routers."""

from coltsfootfront.direct import gossip
from coltsfootfront.direct.gossip import Gossip
from coltsfootfront.direct.permitmessages import PermitChannel, PermitRequest, PermitResponse


class GossipPermitChannel(PermitChannel):
    """Carries requests for permits as gossip.

    :param port: gossip port of all routers.
    """

    def __init__(self, sender: Gossip, port: int) -> None:
        self._gossip = sender
        self._port = port

    def send_request(self, router: str, request: PermitRequest) -> None:
        self._gossip.send(self._address(router), gossip.PERMIT_REQUEST, request.to_fields())

    def send_response(self, router: str, response: PermitResponse) -> None:
        self._gossip.send(self._address(router), gossip.PERMIT_RESPONSE, response.to_fields())

    def announce_suspicion(self, router: str, for_s: float) -> None:
        self._gossip.broadcast(gossip.ISSUER_SUSPECTED, [router, for_s])

    def send_suspicion(self, router: str, for_s: float) -> None:
        self._gossip.send(self._address(router), gossip.ISSUER_SUSPECTED, [router, for_s])

    def _address(self, router: str) -> gossip.Address:
        return router.rpartition(":")[0], self._port
