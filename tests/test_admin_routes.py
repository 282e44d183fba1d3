"""Tests of the paths and methods of operators' HTTP requests."""

from __future__ import annotations

import pytest

from winchspan.admin.operations import Operation
from winchspan.admin.request import AdminRequest, encode_response
from winchspan.admin.routes import Route, find_route, handle_request

from .test_admin_server import operations_world


@pytest.mark.parametrize(
    ("path", "route"),
    [
        ("/control/ready", Route(Operation.READY)),
        ("/control/counters", Route(Operation.COUNTERS)),
        ("/control/out-of-service", Route(Operation.OUT_OF_SERVICE)),
        ("/control/in-service", Route(Operation.IN_SERVICE)),
        ("/control/endpoints/s-1/offline", Route(Operation.OFFLINE, "s-1")),
        ("/control/endpoints/s-1/online", Route(Operation.ONLINE, "s-1")),
        ("/control/endpoints//online", Route(Operation.ONLINE, "")),
        ("/control/endpoints/a/b/online", Route(Operation.ONLINE, "a/b")),
        ("/control/endpoints/s-1/ready", None),
        ("/control/offline", None),
        ("/x/control/endpoints/s-1/offline", None),
        ("/control/ready?x", None),
        ("/", None),
    ],
)
def test_find_route_path_gives_operation_and_endpoint(path: str, route: Route | None):
    assert find_route(path) == route


@pytest.mark.parametrize(
    ("method", "path", "response"),
    [
        (
            "GET",
            "/else",
            b"HTTP/1.1 404 Not Found\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: 150\r\n"
            b"Connection: close\r\n\r\nno call /else; there are /control/ready, /control/counters, "
            b"/control/out-of-service, /control/in-service and /control/endpoints/ID/offline or /online\n",
        ),
        (
            "POST",
            "/control/ready",
            b"HTTP/1.1 405 Method Not Allowed\r\nContent-Type: text/plain; charset=utf-8\r\n"
            b"Content-Length: 35\r\nAllow: GET\r\nConnection: close\r\n\r\n"
            b"/control/ready takes GET, not POST\n",
        ),
        (
            "GET",
            "/control/endpoints/%00/offline",
            b"HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: 32\r\n"
            b"Connection: close\r\n\r\nthe endpoint's id can't be read\n",
        ),
        (
            "POST",
            "/control/endpoints/s-1/offline",
            b"HTTP/1.1 200 OK\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: 15\r\n"
            b"Connection: close\r\n\r\ns-1 is offline\n",
        ),
    ],
)
def test_handle_request_response_has_recorded_bytes(method: str, path: str, response: bytes):
    operations, _ = operations_world()
    result = handle_request(operations, AdminRequest(method, path))
    assert encode_response(*result) == response
