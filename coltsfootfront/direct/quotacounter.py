"""Counts requests against the quotas of their customers, as they are admitted and sent."""

from coltsfootfront.common.errors import ErrorKind, ExecutionState, Failure
from coltsfootfront.direct.requeststate import RefusedError, RequestState
from coltsfootfront.quotas.quotas import Quotas

QUOTA_MESSAGE = "the customer's quota is used up"


class QuotaCounter:
    """Counts each run of a request.

    :param quotas: quotas of the customers.
    """

    __slots__ = ("_quotas",)

    def __init__(self, quotas: Quotas) -> None:
        self._quotas = quotas

    async def count(self, state: RequestState) -> None:
        """Count a request that has been admitted otherwise.

        :raises RefusedError: if the quota is used up.
        """
        if state.customer is None:
            return
        request = state.request
        await self._quotas.wait_for_peers(state.customer.name)
        room_after_s = self._quotas.admit(
            state.customer.name, request.prompt_tokens, request.output_tokens
        )
        if room_after_s is not None:
            raise RefusedError(
                Failure(ErrorKind.RATE_LIMITED, QUOTA_MESSAGE, retry_after_s=room_after_s)
            )
        state.is_counted = True

    def count_further_run(self, state: RequestState) -> None:
        """Count a request once more that may have run already, and is sent again."""
        if state.customer is not None and state.execution_state is not ExecutionState.NOT_RUN:
            request = state.request
            self._quotas.charge(state.customer.name, request.prompt_tokens, request.output_tokens)

    def refund_unrun(self, state: RequestState) -> None:
        """Take a request that did not run off the quota of its customer."""
        if state.customer is None or not state.is_counted:
            return
        if state.execution_state is ExecutionState.NOT_RUN and not state.has_response_begun:
            request = state.request
            self._quotas.refund(state.customer.name, request.prompt_tokens, request.output_tokens)
