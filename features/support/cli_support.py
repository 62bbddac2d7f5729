"""Helpers and scripted servers for the steps of the command line."""

from __future__ import annotations

import json
import tempfile
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

from typer.testing import CliRunner

from alderhatch.cli.ctl import app

KEY = "operators-key-for-the-tests"


def call(context, *arguments, **env):
    """Run alderhatchctl in this process."""
    clean = {"ALDERHATCH_CONTROLS": None, "ALDERHATCH_ENTRIES": None, "ALDERHATCH_KEY_FILE": None}
    context.cli = CliRunner().invoke(app, list(arguments), env={"COLUMNS": "200", **clean, **env})
    if context.cli.exception and not isinstance(context.cli.exception, SystemExit):
        raise context.cli.exception


def new_folder(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    return Path(folder.name)


def key_file(context, mode=0o600):
    path = new_folder(context) / "key"
    path.write_text(KEY + "\n")
    path.chmod(mode)
    return str(path)


def send_json(handler, status, answer):
    data = json.dumps(answer).encode()
    handler.send_response(status)
    handler.send_header("Content-Length", str(len(data)))
    handler.end_headers()
    handler.wfile.write(data)


class ScriptedControls:
    """Control hosts that implement the part of the operator API that these tests use."""

    def __init__(self, leader):
        self.leader = leader
        self.revision = 7
        self.rules = ["linen"]
        self.answers = {}
        self.received_ids = []
        self.bodies = []
        self.applied = 0
        self.answers_to_drop = 0
        self.unconfirmed = []
        self.servers = []

    def start(self, count):
        for number in range(1, count + 1):
            server = ThreadingHTTPServer(("127.0.0.1", 0), self._handler(number))
            threading.Thread(target=server.serve_forever, args=(0.02,), daemon=True).start()
            self.servers.append(server)

    def stop(self):
        for server in self.servers:
            server.shutdown()
            server.server_close()

    @property
    def endpoints(self):
        return ",".join(f"127.0.0.1:{server.server_port}" for server in self.servers)

    def answer(self, number, method, path, body):
        if number != self.leader:
            return 503, self._no_leader()
        if method == "GET":
            return 200, {"revision": self.revision, "rules": [], "name": f"control-{number}"}
        return self._change(path, body)

    def _no_leader(self):
        leader = None
        if self.leader:
            port = self.servers[self.leader - 1].server_port
            leader = {"name": f"control-{self.leader}", "address": "127.0.0.1", "port": port}
        return {"error": "no_leader", "message": "not the leader", "leader": leader}

    def _change(self, path, body):
        self.received_ids.append(body["change_id"])
        self.bodies.append(body)
        if body["change_id"] in self.answers:
            return 200, {**self.answers[body["change_id"]], "repeated": True}
        if body["expected_revision"] != self.revision:
            won = {"revision": 7, "who": "bjorn", "summary": "moved rule linen"}
            return 409, {"error": "revision_conflict", "message": "it is 7", "won": [won]}
        name = path.split("?")[0].split("/")[3]
        if name not in self.rules:
            message = "there is no such rule"
            fault = {"position": 0, "rule": name, "field": "name", "message": message}
            return 422, {"error": "invalid_change", "message": "1 fault", "faults": [fault]}
        self.revision += 1
        self.applied += 1
        answer = {"revision": self.revision, "change_id": body["change_id"], "repeated": False}
        if "wait=in_force" in path:
            answer |= {"in_force": not self.unconfirmed, "waiting_for": self.unconfirmed}
        self.answers[body["change_id"]] = answer
        return 200, answer

    def _handler(self, number):
        controls = self

        class Handler(BaseHTTPRequestHandler):
            def _serve(self):
                assert self.headers["Authorization"] == f"Bearer {KEY}"
                length = int(self.headers.get("Content-Length") or 0)
                body = json.loads(self.rfile.read(length) or b"{}")
                status, answer = controls.answer(number, self.command, self.path, body)
                if (
                    self.command == "POST"
                    and number == controls.leader
                    and controls.answers_to_drop > 0
                ):
                    controls.answers_to_drop -= 1
                    self.close_connection = True
                    return
                send_json(self, status, answer)

            do_GET = do_POST = do_PUT = _serve

            def log_message(self, *args):
                pass

        return Handler


class ScriptedEntry:
    """An entry that answers bookings from a list and then repeats the last answer."""

    def __init__(self, answers):
        self.answers = answers
        self.request_ids = []
        self._server = ThreadingHTTPServer(("127.0.0.1", 0), self._handler())
        threading.Thread(target=self._server.serve_forever, args=(0.02,), daemon=True).start()

    @property
    def endpoint(self):
        return f"127.0.0.1:{self._server.server_port}"

    def stop(self):
        self._server.shutdown()
        self._server.server_close()

    def _addresses(self):
        return {"addresses": [{"address": "127.0.0.1", "port": self._server.server_port}]}

    def _book(self, body):
        number = min(len(self.request_ids), len(self.answers) - 1)
        self.request_ids.append(body["request_id"])
        return self.answers[number]

    def _handler(self):
        entry = self

        class Handler(BaseHTTPRequestHandler):
            def do_GET(self):
                send_json(self, 200, entry._addresses())

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                send_json(self, *entry._book(body))

            def log_message(self, *args):
                pass

        return Handler
