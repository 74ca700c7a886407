"""Stand-in for a plain service whose calls are not idempotent."""

import msgspec

from tamaracktray import headers as names
from tamaracktray.http_messages import Request
from tamaracktray.responders import Responder
from tamaracktray_emulator.endpoint import EndpointStandIn
from tamaracktray_emulator.standin import JSON


class ServiceStandIn(EndpointStandIn):
    """Confirms every order with a consecutive number."""

    async def answer(self, request: Request, responder: Responder) -> None:
        """Answer an order or a control call of a test."""
        if await self.answer_control(request, responder):
            return
        await self.run(request, responder)

    async def write_answer(self, request: Request, responder: Responder) -> None:
        """Answer an order with its confirmation number."""
        number = len(self.runs_by_id)
        await self.spend_time(self.behavior.service_s)
        if self.behavior.cut:
            await responder.abort()
            return
        body = msgspec.json.encode({"confirmation": number})
        headers = [(names.REQUEST_ID, self.answer_id(request)), *JSON]
        await responder.respond(200, headers, body)
