"""The operators' operations on a courier, without I/O; the HTTP server and the control socket expose them."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from typing import Final, NamedTuple, Protocol

_ENDPOINT_NAME: Final = re.compile(r"[0-9A-Za-z._:~-]{1,200}")


class Operation(Enum):
    """An operation of an operator; the value is its name in HTTP paths and control commands."""

    READY = "ready"
    COUNTERS = "counters"
    OFFLINE = "offline"
    ONLINE = "online"
    OUT_OF_SERVICE = "out-of-service"
    IN_SERVICE = "in-service"

    @property
    def is_read_only(self) -> bool:
        """Whether the operation leaves the courier's state unchanged."""
        return self in (Operation.READY, Operation.COUNTERS)

    @property
    def needs_endpoint(self) -> bool:
        """Whether the operation acts on one endpoint."""
        return self in (Operation.OFFLINE, Operation.ONLINE)


class ServingState(Enum):
    """Phase of a courier process; readiness checks return its value while the process does not serve."""

    STARTING = "starting"
    SERVING = "serving"
    STOPPING = "stopping"


class OperationResult(NamedTuple):
    """The result of an operation, or of a request without a valid operation.

    Attributes:
        status: HTTP status of the response.
        text: body of the response; each line ends with a newline.
        allowed_method: method that the path requires, if the request used another; else empty.
    """

    status: HTTPStatus
    text: str
    allowed_method: str = ""

    @property
    def is_success(self) -> bool:
        """Whether the status is a success (2xx)."""
        return HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES


INVALID_ENDPOINT_NAME: Final = OperationResult(HTTPStatus.BAD_REQUEST, "the endpoint's id can't be read\n")


def is_endpoint_name(name: str) -> bool:
    """Return whether a text has the format of an endpoint name."""
    return _ENDPOINT_NAME.fullmatch(name) is not None


class EndpointSwitch(Protocol):
    """Interface of the endpoint directory to take endpoints offline and bring them online."""

    def knows(self, name: str) -> bool:
        """Return whether an endpoint is or was in the endpoint list."""

    def take_offline(self, name: str) -> bool:
        """Drain an endpoint regardless of discovery; return False if too many endpoints are offline."""

    def bring_online(self, name: str) -> None:
        """Follow discovery again for an endpoint that was taken offline."""


class ClientDrain(Protocol):
    """Interface of the client connections to drain them.

    Attributes:
        is_out_of_service: whether a drain is in progress.
    """

    is_out_of_service: bool

    def begin_drain(self) -> None:
        """Reject health checks, and close idle connections."""

    def end_drain(self) -> None:
        """Accept health checks and connections again."""


@dataclass(slots=True)
class Operations:
    """The operators' operations on one courier; all are idempotent.

    Attributes:
        endpoints: endpoint directory of the courier.
        clients: client connections of the courier.
        render_metrics: returns the current metrics, one per line.
        serving_state: returns the phase of the process.
    """

    endpoints: EndpointSwitch
    clients: ClientDrain
    render_metrics: Callable[[], str]
    serving_state: Callable[[], ServingState]

    def execute(self, operation: Operation, endpoint_name: str = "") -> OperationResult:
        """Execute an operation.

        Args:
            operation: operation to execute.
            endpoint_name: name of the endpoint, not validated; ignored by operations without an endpoint.
        """
        match operation:
            case Operation.READY:
                return self._ready()
            case Operation.COUNTERS:
                return OperationResult(HTTPStatus.OK, self.render_metrics())
            case Operation.OFFLINE | Operation.ONLINE:
                return self._switch_endpoint(operation, endpoint_name)
            case Operation.OUT_OF_SERVICE:
                self.clients.begin_drain()
                return OperationResult(HTTPStatus.OK, "out of service\n")
            case Operation.IN_SERVICE:
                self.clients.end_drain()
                return OperationResult(HTTPStatus.OK, "in service\n")

    def _ready(self) -> OperationResult:
        if self.clients.is_out_of_service:
            return OperationResult(HTTPStatus.SERVICE_UNAVAILABLE, "out of service\n")
        state = self.serving_state()
        if state is not ServingState.SERVING:
            return OperationResult(HTTPStatus.SERVICE_UNAVAILABLE, f"{state.value}\n")
        return OperationResult(HTTPStatus.OK, "ready\n")

    def _switch_endpoint(self, operation: Operation, name: str) -> OperationResult:
        if not is_endpoint_name(name):
            return INVALID_ENDPOINT_NAME
        if not self.endpoints.knows(name):
            return OperationResult(HTTPStatus.NOT_FOUND, f"no endpoint {name} was ever in the list\n")
        if operation is Operation.ONLINE:
            self.endpoints.bring_online(name)
            return OperationResult(HTTPStatus.OK, f"{name} is online\n")
        if not self.endpoints.take_offline(name):
            return OperationResult(HTTPStatus.SERVICE_UNAVAILABLE, "too many endpoints are offline\n")
        return OperationResult(HTTPStatus.OK, f"{name} is offline\n")
