"""Stand-ins for the cases of this review: a small deployment of cloverbank and what surrounds it.

A `Deployment` starts the daemon with the `run` commands of deploy/system.toml and the settings templates
named there, filled as the users' platform fills them, on loopback addresses of its own. The replicas, the
platform's list, the operator and the clients live in this process. Everything that was sent, answered and
run goes into record.txt. All bounds are those of the site kuusela-tallennus.
"""
import asyncio
import base64
import itertools
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
ZONES = ("espoo-a", "vantaa-b", "kerava-c")
REGION = "fi-south"
HOST = "review.example"
# Bounds and limits of the site kuusela-tallennus, in seconds.
CONTACT_S, ACK_S, EVAC_S, SETTLE_S, CONFIG_S, FINISH_S = 3.0, 4.0, 5.0, 1.0, 2.0, 10.0
OPERATOR_TIMEOUT_S = 1.0  # "a second without a response"
READY_TIMEOUT_S = 30.0
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be set up or carried out as described, so it shows nothing."""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, event, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{self.now():8.3f} {event} {text}\n")
        self.file.flush()


# ---- HTTP ----

class Answer:
    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Returns (start line, headers with lower-case names), or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    start, *lines = head.decode("latin-1").split("\r\n")
    return start, {name.lower(): value.strip()
                   for name, _, value in (line.partition(":") for line in lines if line)}


async def read_body(reader, headers):
    """Returns the body of a message with a length or in chunks, or None if it is incomplete."""
    try:
        if "chunked" not in headers.get("transfer-encoding", ""):
            return await reader.readexactly(int(headers.get("content-length", 0)))
        body = b""
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    except (asyncio.IncompleteReadError, ValueError, OSError):
        return None


def format_message(start, headers, body=b""):
    lines = [start, *(f"{name}: {value}" for name, value in headers.items()), f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(address, port, method, path, headers=None, body=b"", timeout_s=2.0):
    """Sends one request on a new connection. Returns the answer, or None if there is no complete one.

    After `timeout_s` the connection is closed, as by a caller that goes on to another machine.
    """
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(address, port, limit=1 << 23)
        writer.write(format_message(f"{method} {path} HTTP/1.1", {"Host": HOST, **(headers or {})}, body))
        head = await read_head(reader)
        if head is None:
            return None
        content = await read_body(reader, head[1])
        return None if content is None else Answer(int(head[0].split(" ")[1]), head[1], content)

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


# ---- Replicas and the platform's list ----

class Replica:
    """A sound model replica: a number of slots, streams of events, its id in every answer."""

    numbers = itertools.count(1)

    def __init__(self, deployment, service, zone, address, slots, event_s):
        self.id = f"i-{next(self.numbers):08x}"
        self.deployment = deployment
        self.service = service
        self.zone = zone
        self.address = address
        self.slots = slots
        self.event_s = event_s
        self.running = 0
        self.runs = []  # (seconds, address of the sender, request id, path)

    async def serve(self):
        await asyncio.start_server(self.on_connection, self.address, self.deployment.replica_port,
                                   backlog=512, limit=1 << 23)

    async def on_connection(self, reader, writer):
        sender = writer.get_extra_info("peername")[0]
        try:
            while (head := await read_head(reader)) is not None:
                start, headers = head
                method, path, _ = start.split(" ")
                if await read_body(reader, headers) is None:
                    break
                if method == "GET":
                    writer.write(format_message("HTTP/1.1 200 OK", {"Instance-Id": self.id}))
                else:
                    await self.answer(path, headers, sender, writer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, path, headers, sender, writer):
        request_id = headers.get("request-id", "")
        refused = {"Request-Id": request_id, "Not-Run": "1"}
        if headers.get("expect-instance", self.id) != self.id:
            writer.write(format_message("HTTP/1.1 421 Misdirected Request", refused))
            return
        if self.running >= self.slots:
            writer.write(format_message("HTTP/1.1 503 Service Unavailable", refused))
            return
        self.runs.append((self.deployment.record.now(), sender, request_id, path))
        self.deployment.record.write("run", replica=self.id, zone=self.zone, sender=sender, request=request_id)
        self.running += 1
        try:
            writer.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                          f"Transfer-Encoding: chunked\r\nRequest-Id: {request_id}\r\n"
                          f"Response-Stamp: {self.id}.{request_id}\r\n\r\n").encode())
            for number in range(int(headers.get("last-event-id", -1)) + 1, 6):
                await asyncio.sleep(self.event_s)
                piece = f"id: {number}\ndata: {request_id}-{number}\n\n".encode()
                writer.write(f"{len(piece):x}\r\n".encode() + piece + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1


# ---- Machines ----

def lookup(fields, path):
    value = fields
    for key in path.split("."):
        if isinstance(value, list):
            value = value[int(key)] if int(key) < len(value) else None
        else:
            value = value.get(key) if isinstance(value, dict) else None
        if value is None:
            return None
    return value


def render(template, fields):
    """Fills a settings template: {{a}}, {{a|json}}, and {{#a}}...{{/a}} with {{@}}, {{.}} and {{,}}."""

    def section(match):
        value, inner = lookup(fields, match.group(1)), match.group(2)
        if not value:
            return ""
        if not isinstance(value, dict):
            return inner
        parts = []
        for position, (key, entry) in enumerate(value.items()):
            comma = "," if position + 1 < len(value) else ""
            parts.append(inner.replace("{{@}}", key).replace("{{.}}", str(entry)).replace("{{,}}", comma))
        return "".join(parts)

    def gap(match):
        value = lookup(fields, match.group(1))
        return json.dumps(value) if match.group(2) else str("" if value is None else value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", gap, text)


class Machine:
    """One process of the system, started with the command and the settings of the deploy file."""

    def __init__(self, deployment, name, zone, address, role, counts):
        self.deployment = deployment
        self.name = name
        self.zone = zone
        self.address = address
        self.role = role
        self.counts = counts
        self.process = None
        self.frozen = False

    def start(self, first=False):
        deployment = self.deployment
        data = deployment.folder / "data" / self.name
        data.mkdir(parents=True, exist_ok=True)
        fields = {"node": self.name, "zone": self.zone, "zones": {zone: REGION for zone in ZONES},
                  "counts_as_loss": self.counts, "data_dir": str(data), "ip": self.address,
                  "port_range": [deployment.peer_port, deployment.client_port], "bootstrap": first,
                  "tolerate": {"machines": 1, "zones": 1, "regions": 0},
                  "listen": {"front": f"{self.address}:{deployment.front_port}",
                             "ready": f"{self.address}:{deployment.ready_port}",
                             "control": f"{self.address}:{deployment.control_port}"},
                  "seeds": [f"{machine.address}:{deployment.control_port}"
                            for machine in deployment.fronts if machine.counts],
                  "cloud": {"addr": f"{deployment.list_address}:{deployment.list_port}"}}
        settings = deployment.folder / f"{self.name}.toml"
        settings.write_text(render((ROOT / self.role["template"]).read_text(), fields))
        with open(deployment.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                [str(ROOT / word) if number == 0 else word
                 for number, word in enumerate(self.role["run"].split(" "))],
                stdin=subprocess.DEVNULL, stdout=log, stderr=log, cwd=ROOT,
                env={"PATH": os.environ.get("PATH", ""), "CLOVERBANK_CONFIG": str(settings)})

    def freeze(self):
        self.process.send_signal(signal.SIGSTOP)
        self.frozen = True
        self.deployment.record.write("freeze", machine=self.name, address=self.address)

    def thaw(self):
        self.process.send_signal(signal.SIGCONT)
        self.frozen = False
        self.deployment.record.write("thaw", machine=self.name)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Deployment:
    """3 edge machines with a disk, `diskless` without, 3 store machines; model replicas in three zones."""

    def __init__(self, case_folder, diskless=6, replicas_per_zone=3, slots=64, event_s=0.01):
        self.record = Record(case_folder / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="cloverbank-review-"))
        self.network = self.find_network()
        (self.front_port, self.ready_port, self.control_port, self.peer_port, self.client_port,
         self.replica_port, self.list_port) = range(7310, 7317)
        with open(ROOT / "deploy/system.toml", "rb") as file:
            roles = tomllib.load(file)["roles"]
        self.fronts = [Machine(self, f"edge-{number + 1}", ZONES[number % 3], f"{self.network}.{number + 1}",
                               roles["front"], counts=number < 3) for number in range(3 + diskless)]
        self.stores = [Machine(self, f"store-{number + 1}", ZONES[number], f"{self.network}.{number + 51}",
                               roles["keeper"], counts=True) for number in range(3)]
        self.list_address = f"{self.network}.200"
        self.replicas = [Replica(self, "kertoja", ZONES[number % 3], f"{self.network}.{number + 101}", slots, event_s)
                         for number in range(3 * replicas_per_zone)]
        self.version = 0
        self.random = random.Random(1)

    @staticmethod
    def find_network():
        """Returns the first three numbers of loopback addresses on which nobody listens yet."""
        for _ in range(50):
            network = f"127.{random.randint(30, 250)}.{random.randint(1, 250)}"
            try:
                for port in range(7310, 7317):
                    with socket.socket() as probe:
                        probe.bind((f"{network}.1", port))
                return network
            except OSError:
                continue
        raise CannotRun("no free loopback addresses were found")

    async def start(self, configuration):
        """Starts everything and has the first configuration acknowledged."""
        for replica in self.replicas:
            await replica.serve()
        await asyncio.start_server(self.on_list_connection, self.list_address, self.list_port)
        for machine in self.fronts + self.stores:
            machine.start(first=True)
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not await self.put(configuration, self.random.choice(self.fronts)):
            if time.monotonic() > deadline:
                raise CannotRun("the first configuration was not acknowledged")
            await asyncio.sleep(0.3)
        for machine in self.fronts:
            while not await self.is_ready(machine):
                if time.monotonic() > deadline:
                    raise CannotRun(f"{machine.name} was not ready in time")
                await asyncio.sleep(0.1)
        await asyncio.sleep(CONTACT_S)

    def add_store(self, zone):
        """Starts one more store machine, with an empty disk."""
        number = len(self.stores) + 1
        store = Machine(self, f"store-{number}", zone, f"{self.network}.{number + 50}", self.stores[0].role, counts=True)
        self.stores.append(store)
        store.start()
        self.record.write("add", machine=store.name)
        return store

    def remove(self, machine):
        """Ends a machine without warning and takes away its disk."""
        machine.end()
        shutil.rmtree(self.folder / "data" / machine.name, ignore_errors=True)
        self.record.write("remove_with_disk", machine=machine.name)

    async def kill_all(self, down_s):
        """Ends every process at the same moment; their disks stay. All are back after `down_s`."""
        running = [machine for machine in self.fronts + self.stores if machine.process.poll() is None]
        for machine in running:
            machine.process.send_signal(signal.SIGKILL)
        for machine in running:
            machine.process.wait()
        self.record.write("kill_all", machines=len(running))
        await asyncio.sleep(down_s)
        for machine in running:
            machine.start()

    async def is_ready(self, machine):
        answer = await call(machine.address, self.ready_port, "GET", "/readyz", timeout_s=1)
        return answer is not None and answer.status == 200

    async def on_list_connection(self, reader, writer):
        try:
            while await read_head(reader) is not None:
                entries = [{"service": replica.service, "addr": f"{replica.address}:{self.replica_port}",
                            "zone": replica.zone, "version": "v1", "slots": replica.slots, "state": "ready",
                            "cold_left_ms": 0, "id": replica.id, "stage": "both",
                            "models": [{"name": "m", "version": 1, "adapters": []}]}
                           for replica in self.replicas]
                body = json.dumps({"instances": entries, "next_token": None}).encode()
                writer.write(format_message("HTTP/1.1 200 OK", {"Content-Type": "application/json"}, body))
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    # ---- Clients ----

    async def live_call(self, number, machine):
        """One short stream request on a new connection; it is recorded with its answer."""
        request = f"c{number:015x}"
        headers = {"Request-Id": request, "Model": "m", "Token-Count": "628,15", "Deadline-Ms": 5000,
                   "Prompt-Prefix": f"5c1e{number % 40:02x}:119,{number:08x}:509"}
        self.record.write("call", request=request, machine=machine.name)
        answer = await call(machine.address, self.front_port, "POST", f"/live/{number}", headers, b"x" * 200, 5)
        self.record.write("answer", request=request, status=answer and answer.status)

    # ---- The operator ----

    async def order(self, machine, path, headers=None, body=b""):
        """Sends one order to one machine. Returns the status, or None after a second without a response."""
        answer = await call(machine.address, self.control_port, "POST", path, headers, body, OPERATOR_TIMEOUT_S)
        status = None if answer is None else answer.status
        self.record.write("order", path=path, machine=machine.name, status=status)
        return status

    async def order_until_acknowledged(self, path, machines, headers=None, body=b""):
        """The operator goes through `machines`, then through any, until one acknowledges the order."""
        pause_s = 0.05
        deadline = time.monotonic() + 3 * ACK_S
        others = itertools.cycle(machine for machine in self.fronts if machine not in machines)
        for machine in itertools.chain(machines, others):
            status = await self.order(machine, path, headers, body)
            if status == 200:
                return self.record.now()
            if status is not None and 400 <= status < 500 and status not in (408, 429):
                raise CannotRun(f"the order {path} was refused with {status}")
            if time.monotonic() > deadline:
                raise CannotRun(f"the order {path} was not acknowledged")
            await asyncio.sleep(pause_s)
            pause_s = min(1.0, 2 * pause_s)

    async def put(self, configuration, machine):
        headers = {"Base-Version": self.version, "Content-Type": "application/json"}
        status = await self.order(machine, "/config/put", headers, json.dumps(configuration).encode())
        if status == 200:
            self.version = configuration["version"]
        return status == 200

    def end(self):
        for machine in self.fronts + self.stores:
            machine.end()
        shutil.rmtree(self.folder, ignore_errors=True)


def stream_route(name, prefix, service="kertoja"):
    return {"name": name, "host": HOST, "prefix": prefix, "kind": "stream", "timeout_ms": 5000, "target_ms": 250,
            "priority": 0, "service": service, "attempts": 2, "sticky": True, "resumable": True,
            "gap_target_ms": 250}


def batch_route(name, prefix, max_queued=1_400_000, service="kertoja"):
    return {"name": name, "host": HOST, "prefix": prefix, "kind": "batch", "timeout_ms": 8000, "target_ms": 400,
            "run_target_ms": 8000, "retain_s": 40, "priority": 2, "service": service, "attempts": 3,
            "sticky": True, "resumable": True, "gap_target_ms": 250, "max_queued": max_queued}


def service(name):
    return {"name": name, "health_path": "/healthz", "max_conns": 390, "proto": "h1", "tls": False, "cold_s": 3.0,
            "cold_per_s": 36.0, "engine": {"slots": 64, "kv_tokens": 776570, "models": [{"name": "m"}]}}


def configuration(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


def batch_body(batch_id, prefix, items, tokens=900, body_bytes=0):
    """Returns the body of a batch job whose items have ids made from its own."""
    return json.dumps({"items": [
        {"id": f"{batch_id}{number:04x}", "path": f"{prefix}{number:x}/{batch_id}",
         "headers": {"Model": "m", "Token-Count": "768,34", "Prompt-Prefix": f"9c2e41:300,{number:04x}aa:468"},
         "body": base64.b64encode(f"{batch_id}/{number}".encode().ljust(body_bytes, b".")).decode(),
         "tokens": tokens}
        for number in range(items)]}).encode()


def run_case(main, **options):
    """Runs `main(deployment)`, which returns the breaches, and exits as the review's cases do."""
    case_folder = pathlib.Path(sys.argv[1]).resolve()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: sys.exit(EXIT_NOT_RUN))  # `play` ends what was started.
    try:
        deployment = Deployment(case_folder, **options)
    except (CannotRun, OSError) as error:
        print(f"could not run: {error}")
        sys.exit(EXIT_NOT_RUN)
    deployment.record.write("start", trouble=int(trouble()))

    async def play():
        try:
            return await asyncio.wait_for(main(deployment), 110)
        finally:
            deployment.end()
            await asyncio.sleep(0.2)  # The connections of the ended processes close.

    try:
        breaches = asyncio.run(play())
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        deployment.record.write("could_not_run", error=repr(error))
        print(f"could not run: {error!r}")
        sys.exit(EXIT_NOT_RUN)
    for breach in breaches:
        deployment.record.write("BROKEN", what=breach)
        print("BROKEN:", breach)
    deployment.record.write("end", broken=len(breaches))
    print(f"{len(breaches)} breaches")
    sys.exit(EXIT_BROKEN if breaches else EXIT_HELD)
