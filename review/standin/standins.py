"""Stand-ins for the platform: its store, its workers and the cloud API, and a client.

They follow the pages (PROTOCOL, DEPLOY) for what the daemon uses, on loopback addresses, with Python's
standard library only. Everything runs in one process; the daemons are processes of their own.
"""
import base64
import http.client
import http.server
import json
import os
import signal
import socket
import socketserver
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target/release/stackpier-node"
SERVICE, HOST, PREFIX = "loan-desk", "queue.example", "/jobs/"
ZONES = ["ikeja", "lekki", "yaba"]
# Bounds of the sheet of ksf-ho.
BOUNDS = {"leaseMs": 3000, "maxHoldMs": 10000, "stop_ms": 900, "cancel_ms": 3000, "drainMs": 2000,
          "early_ms": 250, "status_s": 120, "graceS": 6, "harm_ms": 4000, "contactMs": 3000}
BEGIN = time.monotonic()


def now():
    """Seconds since this program began, on the steady clock."""
    return time.monotonic() - BEGIN


class Record:
    """What was sent, answered and run, in the order seen."""

    def __init__(self, path):
        self.file, self.lock = open(path, "w"), threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{now():8.3f} {text}\n")
            self.file.flush()


def free_port(ip="127.0.0.1"):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads, allow_reuse_address, request_queue_size = True, True, 128

    def handle_error(self, request, client_address):
        pass


def serve(reply, ip="127.0.0.1"):
    """Serves reply(method, path, query, headers, body) -> (status, value), None for no answer, or "reset"."""

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version, disable_nagle_algorithm = "HTTP/1.1", True
        wbufsize = -1

        def answer(self):
            size = int(self.headers.get("Content-Length") or 0)
            body = json.loads(self.rfile.read(size)) if size else None
            url = urllib.parse.urlsplit(self.path)
            query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
            answer = reply(self.command, url.path, query, self.headers, body)
            if answer is None:
                # Once an answer is lost on a connection, it says nothing further.
                while self.connection.recv(4096):
                    pass
                self.close_connection = True
                return
            if answer == "reset":
                self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                self.close_connection = True
                return
            status, value = answer
            text = json.dumps(value).encode()
            self.send_response_only(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(text)))
            self.end_headers()
            self.wfile.write(text)
            self.wfile.flush()

        do_GET = do_POST = do_DELETE = answer

        def log_message(self, *words):
            pass

    server = Server((ip, 0), Handler)
    threading.Thread(target=server.serve_forever, args=(0.05,), daemon=True).start()
    return "%s:%d" % server.server_address


class Store:
    """The platform's store. Each daemon gets an address of its own, so that calls can be told apart."""

    def __init__(self, record):
        self.record, self.changed = record, threading.Condition()
        self.items, self.events, self.revision, self.last_writer = {}, [], 0, None
        # fault(daemon, method, path, body) -> None, "busy", "silent", "lost", or ("late", seconds)
        self.fault = lambda *call: None

    def address_for(self, daemon):
        return serve(lambda *call: self.reply(daemon, *call))

    def put(self, key, value):
        with self.changed:
            self.revision += 1
            made = self.items[key]["made"] if key in self.items else self.revision
            self.items[key] = {"privateKey": key, "value": base64.b64encode(value).decode(),
                               "revision": self.revision, "made": made, "lease": 0}
            self.events.append(dict(self.items[key]))
            self.changed.notify_all()

    def put_json(self, key, value):
        self.put(key, json.dumps(value).encode())

    def remove(self, key):
        with self.changed:
            if self.items.pop(key, None):
                self.revision += 1
                self.events.append({"privateKey": key, "revision": self.revision, "gone": True})
                self.changed.notify_all()

    def commit(self, daemon, body):
        with self.changed:
            rows = body.get("expectedRev") or []
            revision = lambda key: self.items.get(key, {}).get("revision", 0)
            if any(revision(row["privateKey"]) != row["revision"] for row in rows):
                found = [self.items[row["privateKey"]] for row in rows if row["privateKey"] in self.items]
                return 412, {"items": found}
            for row in body.get("put") or []:
                self.put(row["privateKey"], base64.b64decode(row["value"]))
                self.record(f"store: {daemon} writes {row['privateKey']}")
            for key in body.get("remove") or []:
                self.remove(key)
            if rows:
                self.last_writer = daemon
            return 200, {"revision": self.revision}

    def watch(self, query):
        prefix, after = query["pathPrefix"], int(query["sinceRev"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        with self.changed:
            while True:
                events = [e for e in self.events if e["revision"] > after and e["privateKey"].startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": max(self.revision, after)}
                self.changed.wait(left)

    def reply(self, daemon, method, path, query, headers, body):
        fault = self.fault(daemon, method, path, body)
        if fault == "busy":
            return 503, {}
        if fault == "silent":
            return None
        time.sleep(0.004)
        if path == "/v1/kv-key":
            with self.changed:
                item = self.items.get(query["privateKey"])
                return (200, dict(item, at=self.revision)) if item else (404, {})
        if path == "/v1/kv-range":
            with self.changed:
                after = query.get("sinceRev", "")
                keys = sorted(k for k in self.items if k.startswith(query["pathPrefix"]) and k > after)
                page = [self.items[key] for key in keys[:500]]
                return 200, {"items": page, "more": len(keys) > 500, "at": self.revision}
        if path == "/v1/kv-watch":
            return self.watch(query)
        if path == "/v1/kv-txn":
            if isinstance(fault, tuple):
                threading.Timer(fault[1], self.commit, (daemon, body)).start()
                return None
            answer = self.commit(daemon, body)
            return None if fault == "lost" else answer
        return 404, {}


class Worker:
    """A worker: runs tasks under leases. A task's time, by step, stands in the job's text:
    "2000,500" are 2 s for step 0 and 0.5 s for step 1; 0 is a task that lasts."""

    def __init__(self, record, store, name, zone, rack, cpu=32000):
        self.record, self.store, self.name = record, store, name
        self.lock = threading.RLock()
        self.runs, self.ends, self.blocked, self.count, self.fence, self.lease = {}, [], {}, 0, 0, 0.0
        self.cpu, self.hold_fault = cpu, None
        self.address = serve(self.reply)
        self.entry = {"service": SERVICE, "address": self.address, "zone": zone, "version": "v1", "slots": 8,
                      "state": "ready", "coldLeftMs": 0, "machine": "m-" + name,
                      "capacity": {"cpu": cpu, "memMb": 128000, "gpu": 0}, "labels": ["a", rack], "seqNo": 1}
        store.put_json("servers/" + name, self.entry)

    def clock(self):
        return int(now() * 1000) + 1000

    def end(self, key, how):
        run = self.runs.pop(key)
        self.count += 1
        self.blocked[key] = run["run"]
        self.ends.append([self.count, key, run["run"], how, ""])
        self.record(f"worker {self.name}: {key} run {run['run']} ends {how}")
        ENDS.append((now(), key, how))

    def advance(self):
        with self.lock:
            clock = self.clock()
            for key, run in list(self.runs.items()):
                if run["until"] and clock >= run["until"] and run["until"] <= self.lease:
                    self.end(key, "stopped" if run["stopping"] else "done")
                elif clock >= self.lease:
                    self.end(key, "lapsed")

    def reply(self, method, path, query, headers, body):
        if headers.get("Expect-Instance") != self.name:
            return 421, {}
        with self.lock:
            self.advance()
            if body.get("fencingToken", 0) < self.fence:
                return 409, {"clockMs": self.clock(), "reason": "fence"}
            self.fence = max(self.fence, body.get("fencingToken", 0))
            if path == "/v1/run-start":
                return self.start(body)
            if path == "/v1/run-stop":
                run = self.runs.get(body["task"])
                self.blocked[body["task"]] = max(self.blocked.get(body["task"], 0), body["runId"])
                if run and run["run"] == body["runId"] and not run["stopping"]:
                    run["stopping"], run["until"] = True, self.clock() + 50
                return 200, {"clockMs": self.clock()}
            if path == "/v1/pace":
                return 200, {"clockMs": self.clock()}
            self.extend(body)
            self.ends = [end for end in self.ends if end[0] > body.get("lastSeen", 0)]
        until = time.monotonic() + min(body.get("waitMs", 0), 2000) / 1000
        while True:
            with self.lock:
                self.advance()
                if self.ends or time.monotonic() >= until:
                    clock = self.clock()
                    rows = [[k, r["run"], "", r["percent"](clock)] for k, r in self.runs.items()]
                    return 200, {"clockMs": clock, "running": rows, "endTime": self.ends[:500]}
            time.sleep(0.005)

    def extend(self, body):
        if body.get("deadlineMs"):
            self.lease = max(self.lease, min(body["deadlineMs"], self.clock() + BOUNDS["maxHoldMs"]))

    def start(self, body):
        clock, key, number = self.clock(), body["task"], body["runId"]
        refused = lambda reason: (409, {"clockMs": clock, "reason": reason})
        if body["deadlineMs"] <= clock:
            return refused("late")
        self.extend(body)
        run = self.runs.get(key)
        if run and run["run"] == number:
            return 200, {"clockMs": clock}
        if run or number <= self.blocked.get(key, 0):
            return refused("old")
        step = int(key.split(".")[2])
        ms = int(body["spec"].split(",")[step])
        percent = (lambda at: 100) if not ms else (lambda at: min(99, (at - clock) * 100 // ms))
        self.runs[key] = {"run": number, "until": clock + ms if ms else 0, "stopping": False, "percent": percent}
        self.record(f"worker {self.name}: {key} run {number} starts, fence {body['fencingToken']}")
        on_start(key, number, self.name)
        return 200, {"clockMs": clock}


STARTS, ENDS = [], []


def on_start(key, number, worker):
    STARTS.append((now(), key, number, worker))


class Daemon:
    """A daemon, as a process of its own."""

    def __init__(self, folder, store, number, hosts=""):
        self.ip = f"127.0.1.{number + 1}"
        self.name, self.zone = f"edge-{ZONES[number % 3]}-{number // 3 + 1}", ZONES[number % 3]
        port = lambda: free_port(self.ip)
        self.callers, self.ready = (self.ip, port()), (self.ip, port())
        self.path, self.log = folder / f"{self.name}.json", folder / f"{self.name}.log"
        self.settings = {
            "vm": self.name, "data_centre": self.zone,
            "callers": "%s:%d" % self.callers, "readiness": "%s:%d" % self.ready,
            "peers": f"{self.ip}:{port()}", "metrics": f"{self.ip}:{port()}",
            "store": store.address_for(self.name), "adviser": "", "hosts": hosts,
            "turn_gap_ms": BOUNDS["leaseMs"], "longest_lease_ms": BOUNDS["maxHoldMs"],
            "stop_ms": BOUNDS["stop_ms"], "cancel_ms": BOUNDS["cancel_ms"], "drain_ms": BOUNDS["drainMs"],
            "early_ms": BOUNDS["early_ms"], "shown_s": BOUNDS["status_s"], "grace_s": BOUNDS["graceS"],
            "cores": 0.25, "link_mbps": 1000.0, "worker_heartbeat_ms": 1500,
            "max_over_target_ms": BOUNDS["harm_ms"], "admission_objectives": 3.0, "without": [],
        }
        self.path.write_text(json.dumps(self.settings))
        self.process = None
        self.start()

    def start(self):
        environment = {**os.environ, "STACKPIER_CONFIG": str(self.path)}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([PROGRAM], cwd=ROOT, env=environment, stdout=log, stderr=log)

    def signal(self, number):
        self.process.send_signal(number)

    def stop(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()

    def is_ready(self):
        try:
            return request(self.ready, "GET", "/v1/readiness", timeout=1.0)[0] == 200
        except OSError:
            return False


def request(address, method, path, body=None, timeout=3.0):
    """Sends a request on a connection of its own and returns status and body. It closes the
    connection after the answer, or when the time is up, as a client that leaves does."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        headers = {"Host": HOST, "Deadline-Ms": str(int(timeout * 1000))}
        if body is not None:
            headers["Content-Type"] = "application/json"
        connection.request(method, path, json.dumps(body) if body is not None else None, headers)
        answer = connection.getresponse()
        return answer.status, answer.read().decode()
    except http.client.HTTPException as error:
        raise OSError(str(error)) from error
    finally:
        connection.close()


def config(version=1):
    route = {"name": "r-jobs", "host": HOST, "pathPrefix": PREFIX, "type": "non_idempotent", "timeoutMs": 3000,
             "targetLatencyMs": 1000, "priority": 0, "service": SERVICE, "attempts": 4, "stretch": 2.0}
    service = {"name": SERVICE, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": False,
               "enforcesCapacity": True, "headroom": False}
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    return {"version": version, "routes": [route], "services": [service], "limits": limits}


class Deployment:
    """A store, workers and daemons. `with` ends all processes."""

    def __init__(self, folder, daemons=4, workers=6):
        self.record = Record(folder / "record.txt")
        self.store = Store(self.record)
        self.store.put_json("op/config", config())
        make = lambda n: Worker(self.record, self.store, f"i-{n}", ZONES[n % 3], f"r-{n % 2}")
        self.workers = [make(n) for n in range(workers)]
        self.temporary = tempfile.TemporaryDirectory()
        self.daemons = []
        for number in range(daemons):
            self.daemons.append(Daemon(Path(self.temporary.name), self.store, number))

    def __enter__(self):
        # A script that is told to stop ends its processes, too.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        return self

    def __exit__(self, *error):
        for daemon in self.daemons:
            daemon.stop()
        if os.environ.get("KEEP_LOGS"):
            for daemon in self.daemons:
                Path(os.environ["KEEP_LOGS"], daemon.log.name).write_bytes(daemon.log.read_bytes())
        self.temporary.cleanup()

    def wait_ready(self, limit=15):
        end = time.monotonic() + limit
        while not all(daemon.is_ready() for daemon in self.daemons):
            if time.monotonic() > end:
                return False
            time.sleep(0.1)
        return True

    def owner(self):
        """The daemon that last wrote to the store under a condition."""
        return next(daemon for daemon in self.daemons if daemon.name == self.store.last_writer)

    def ask(self, daemon, method, job, body=None, timeout=3.0):
        """Sends a request about a job to a daemon, and records it with the answer."""
        self.record(f"client: {method} {job} to {daemon.name}")
        try:
            status, text = request(daemon.callers, method, PREFIX + job, body, timeout)
        except OSError as error:
            status, text = None, f"no answer: {error}"
        self.record(f"client: {method} {job} at {daemon.name} gets {status} {text}")
        return status, text


def job(text, *steps):
    """The body of a job; each step is (count, milliseconds, further fields)."""
    rows = [{"count": count, "cpu": 2000, "memMb": 1000, "estRuntimeMs": ms, **more} for count, ms, more in steps]
    return {"spec": text, "steps": rows}
