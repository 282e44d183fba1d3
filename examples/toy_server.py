"""A toy partner and discovery in one server: `python examples/toy_server.py [PORT]`.

The server lists itself as the only endpoint of destination 7, and as a draining endpoint of destination 8. It
answers each call with 200, and prints each delivery and each notification as a line. Use it to try a courier
by hand.
"""

from __future__ import annotations

import json
import sys
import time
from base64 import b64decode
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class ToyHandler(BaseHTTPRequestHandler):
    """Handles one connection to the toy server."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, format: str, *args: object) -> None:
        """Suppress the log: only deliveries and notifications are printed."""

    def respond(self, status: int, body: bytes = b"") -> None:
        """Send a response with a body of known length; a 204 has no body."""
        self.send_response(status)
        if status != 204:
            self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def endpoint_list(self) -> bytes:
        """Return the list, in which this server is the only endpoint in service."""
        host, port = self.connection.getsockname()[:2]
        entry = {
            "host": "s-toy",
            "dial": f"{host}:{port}",
            "site": "toy",
            "class": "large-host",
            "block": 7,
            "health": "up",
            "share": 50.0,
            "born_ms": 0,
        }
        leaving = entry | {"host": "s-leaving", "block": 8, "health": "draining"}
        return json.dumps({"seq": 1, "whole": True, "hosts": [entry, leaving]}).encode()

    def do_GET(self) -> None:
        """Serve discovery: the list, or a watch that stays open."""
        path, _, query = self.path.partition("?")
        if path != "/api/targets":
            self.respond(404)
        elif "follow=1" not in query:
            self.respond(200, self.endpoint_list())
        else:
            self.send_response(200)
            self.send_header("Transfer-Encoding", "chunked")
            self.end_headers()
            line = self.endpoint_list() + b"\n"
            try:
                while True:
                    self.wfile.write(b"%x\r\n%s\r\n" % (len(line), line))
                    line = b"\n"
                    time.sleep(2)
            except OSError:
                self.close_connection = True

    def do_POST(self) -> None:
        """Handle deliveries and notifications."""
        body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
        if self.path == "/hook":
            print("delivered", self.headers["X-Request-Id"], body.decode("utf-8", "replace"), flush=True)
            self.respond(200)
        elif self.path == "/hook/batch":
            items = json.loads(body)
            for item in items:
                print("delivered", item["id"], b64decode(item["body"]).decode("utf-8", "replace"), flush=True)
            self.respond(200, json.dumps([{"id": item["id"], "state": "ok"} for item in items]).encode())
        elif self.path == "/v1/notices":
            for line in body.splitlines():
                notice = json.loads(line)
                print(notice["state"], notice["id"], flush=True)
            self.respond(204)
        else:
            self.respond(404)


def main() -> None:
    """Serve until interrupted."""
    port = int(sys.argv[1]) if len(sys.argv) > 1 else 8500
    server = ThreadingHTTPServer(("127.0.0.1", port), ToyHandler)
    server.daemon_threads = True
    print("listening", server.server_address[1], flush=True)
    with suppress(KeyboardInterrupt):
        server.serve_forever()


if __name__ == "__main__":
    main()
