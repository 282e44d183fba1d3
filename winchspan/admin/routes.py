"""The paths and methods of the operators' HTTP requests."""

from __future__ import annotations

from http import HTTPStatus
from typing import Final, NamedTuple

from winchspan.admin.operations import (
    INVALID_ENDPOINT_NAME,
    Operation,
    OperationResult,
    Operations,
    is_endpoint_name,
)
from winchspan.admin.request import AdminRequest

_ENDPOINT_PREFIX: Final = "/control/endpoints/"
_PLAIN_ROUTES: Final = {
    f"/control/{operation.value}": operation for operation in Operation if not operation.needs_endpoint
}
_ENDPOINT_OPERATIONS: Final = {
    operation.value: operation for operation in Operation if operation.needs_endpoint
}


class Route(NamedTuple):
    """The operation that a path names.

    Attributes:
        operation: the operation.
        endpoint_name: name of the endpoint, not validated; empty for operations without an endpoint.
    """

    operation: Operation
    endpoint_name: str = ""


def find_route(path: str) -> Route | None:
    """Return the route of a path; None if no operation has this path."""
    operation = _PLAIN_ROUTES.get(path)
    if operation is not None:
        return Route(operation)
    if not path.startswith(_ENDPOINT_PREFIX):
        return None
    endpoint_name, _, operation_name = path.removeprefix(_ENDPOINT_PREFIX).rpartition("/")
    operation = _ENDPOINT_OPERATIONS.get(operation_name)
    return None if operation is None else Route(operation, endpoint_name)


def handle_request(operations: Operations, request: AdminRequest) -> OperationResult:
    """Execute the operation that the method and the path of a request name."""
    route = find_route(request.path)
    if route is None:
        return OperationResult(
            HTTPStatus.NOT_FOUND,
            f"no call {request.path:.100}; there are {', '.join(_PLAIN_ROUTES)} and "
            "/control/endpoints/ID/offline or /online\n",
        )
    if route.operation.needs_endpoint and not is_endpoint_name(route.endpoint_name):
        return INVALID_ENDPOINT_NAME
    method = "GET" if route.operation.is_read_only else "POST"
    if request.method != method:
        return OperationResult(
            HTTPStatus.METHOD_NOT_ALLOWED,
            f"{request.path:.100} takes {method}, not {request.method}\n",
            method,
        )
    return operations.execute(route.operation, route.endpoint_name)
