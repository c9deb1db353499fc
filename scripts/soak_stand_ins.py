"""What the soaks share: HTTP messages, the platform's list of replicas, and processes of cloverbankd.

The soaks (`soak-live-calls`, `soak-changes`, `soak-batch-results`) start real processes on loopback addresses
and play everything around them. This module has their common stand-ins and no checks.
"""
import asyncio
import collections
import importlib.machinery
import importlib.util
import json
import os
import pathlib
import re
import signal
import subprocess
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
FRONT_PORT, READY_PORT, CONTROL_PORT, PEER_PORT, CLIENT_PORT = 7080, 7081, 7082, 7083, 7084
REPLICA_PORT, LIST_PORT = 7090, 7091
ZONES = ("zone-a", "zone-b", "zone-c")
COORDINATORS = 3
READY_TIMEOUT_S = 30
STARTING_S = 1.0
CANCEL_AGAIN_S = 1.0


def load_script(name):
    """Returns a script of this folder as a module. The scripts have no .py extension, so `import` can't load them."""
    path = str(ROOT / "scripts" / name)
    loader = importlib.machinery.SourceFileLoader(name.replace("-", "_"), path)
    module = importlib.util.module_from_spec(importlib.util.spec_from_loader(loader.name, loader))
    loader.exec_module(module)
    return module


class Message:
    """One HTTP message: its start line, headers with lower-case names, and body."""

    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def status(self):
        return int(self.start.split(" ")[1])


async def read_head(reader):
    """Returns (start line, headers), or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
        return None
    start, *lines = head.decode("latin-1").split("\r\n")
    headers = dict((name.lower(), value.strip())
                   for name, _, value in (line.partition(":") for line in lines if line))
    return start, headers


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
    """Returns the bytes of a message with a length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items()), f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def event(number, call_id):
    return f"id: {number}\ndata: {call_id}-{number}\n\n".encode()


class Gateway:
    """One cloverbankd process on an edge machine, with the settings that the platform would write."""

    template = "front.toml"

    def __init__(self, number, options, folder):
        self.name = f"edge-{number + 1}"
        self.address = f"{options.network}.1.{number + 1}"
        self.zone = ZONES[number % len(ZONES)]
        self.counts = number < COORDINATORS
        builds = [options.build, *options.other_build]
        self.programs = [str(pathlib.Path(build).resolve() / "bin/cloverbankd") for build in builds]
        self.starts = number
        self.folder = folder
        self.options = options
        self.process = None
        self.failures = []
        self.expected_end = False
        self.started_at = 0.0

    def start(self, first=False):
        settings = self.folder / f"{self.name}.toml"
        text = render((ROOT / "deploy" / self.template).read_text(), self.fields(first))
        settings.write_text(text.replace('level = "warning"', f'level = "{self.options.log_level}"'))
        log = open(self.folder / f"{self.name}.log", "ab")
        self.expected_end = False
        self.started_at = time.monotonic()
        program = self.programs[self.starts % len(self.programs)]
        self.starts += 1
        self.process = subprocess.Popen([program], stdout=log, stderr=log, cwd=ROOT,
                                        env={**os.environ, "CLOVERBANK_CONFIG": str(settings)})
        log.close()

    def fields(self, first):
        network = self.options.network
        data = self.folder / "data" / self.name
        data.mkdir(parents=True, exist_ok=True)
        return {"node": self.name, "zone": self.zone, "zones": {zone: "region" for zone in ZONES},
                "counts_as_loss": self.counts, "data_dir": str(data), "ip": self.address,
                "port_range": [PEER_PORT, CLIENT_PORT], "bootstrap": first, "tolerate": {"machines": 1},
                "listen": {"front": f"{self.address}:{FRONT_PORT}", "ready": f"{self.address}:{READY_PORT}",
                           "control": f"{self.address}:{CONTROL_PORT}"},
                "seeds": [f"{network}.1.{number + 1}:{CONTROL_PORT}" for number in range(COORDINATORS)],
                "cloud": {"addr": f"{network}.3.1:{LIST_PORT}"}}

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def reload(self):
        """Sends SIGHUP, but not in the second after a start, in which RULES.md ("Own ends") counts no end: a SIGHUP
        before the program runs ends any process."""
        if time.monotonic() - self.started_at > STARTING_S:
            self.signal(signal.SIGHUP)

    def stop(self):
        self.expected_end = True
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.process.wait()


def lookup(fields, path):
    """Returns the value at a dotted path such as "port_range.0", or None."""
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


async def call_once(address, port, message, timeout_s):
    """Sends one request on a new connection. Returns its response, or None."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(address, port), 1)
        writer.write(message)
        head = await asyncio.wait_for(read_head(reader), timeout_s)
        if head is None:
            return None
        return Message(head[0], head[1], await read_body(reader, head[1]))
    except (OSError, asyncio.TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def wait_until_ready(gateways):
    deadline = time.monotonic() + READY_TIMEOUT_S
    waiting = list(gateways)
    while waiting and time.monotonic() < deadline:
        response = await call_once(waiting[0].address, READY_PORT,
                                   format_message("GET /readyz HTTP/1.1", {"Host": "ready"}), 1)
        if response is not None and response.status == 200:
            waiting.pop(0)
        else:
            await asyncio.sleep(0.1)
    return not waiting


def add_common_arguments(parser, network):
    """Adds the arguments that all soaks have. `network`: first two numbers of the loopback addresses."""
    parser.add_argument("build")
    parser.add_argument("--other-build", action="append", default=[], metavar="BUILD",
                        help="a second build: machines and their restarts take the builds by turns")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--calm", action="store_true", help="no disturbances and no changes")
    parser.add_argument("--log-level", default="warning", help="level of the processes' logs")
    parser.add_argument("--network", default=network, help="first two numbers of the loopback addresses")
    parser.add_argument("--keep", help="folder for settings, data and logs; kept after the run")


class Store(Gateway):
    """One cloverbankd process on a store machine."""

    template = "store.toml"

    def __init__(self, number, options, folder):
        super().__init__(number, options, folder)
        self.name = f"store-{number + 1}"
        self.address = f"{options.network}.4.{number + 1}"
        self.counts = True


async def serve_list(address, replicas):
    """Serves the platform's list of replicas; each has id, service, zone, address and slots."""

    def body():
        entries = [{"service": replica.service, "addr": f"{replica.address}:{REPLICA_PORT}", "zone": replica.zone,
                    "version": "v1", "slots": replica.slots, "state": "ready", "cold_left_ms": 0, "id": replica.id}
                   for replica in replicas]
        return json.dumps({"instances": entries, "next_token": None}).encode()

    async def on_connection(reader, writer):
        try:
            while await read_head(reader) is not None:
                writer.write(format_message("HTTP/1.1 200 OK", {"Content-Type": "application/json"}, body()))
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    await asyncio.start_server(on_connection, address, LIST_PORT)


class Connections:
    """Connections of clients, each kept until its gateway closes it or is gone."""

    def __init__(self):
        self.idle = collections.defaultdict(list)  # address -> [(reader, writer)]

    async def call(self, address, message, timeout_s):
        """Sends one request. Returns its response, or None."""
        connection = self.idle[address].pop() if self.idle[address] else None
        response = None
        try:
            if connection is None:
                connection = await asyncio.wait_for(asyncio.open_connection(address, FRONT_PORT), 1)
            reader, writer = connection
            writer.write(message)
            head = await asyncio.wait_for(read_head(reader), timeout_s)
            if head is not None:
                response = Message(head[0], head[1], await read_body(reader, head[1]))
        except (OSError, asyncio.TimeoutError):
            pass
        keep = (response is not None and response.body is not None
                and response.headers.get("connection", "").lower() != "close")
        if keep:
            self.idle[address].append(connection)
        elif connection is not None:
            connection[1].close()
        return response

    def close(self):
        for _, writer in sum(self.idle.values(), []):
            writer.close()
        self.idle.clear()


async def cancel_other_tasks():
    """Ends what is left of the stand-ins' connections."""
    await cancel_tasks(asyncio.all_tasks() - {asyncio.current_task()})


async def cancel_tasks(tasks):
    """Cancels tasks, again and again until all have ended: before Python 3.12 asyncio.wait_for drops a cancellation
    that comes together with its result."""
    waiting = set(tasks)
    while waiting:
        for task in waiting:
            task.cancel()
        _, waiting = await asyncio.wait(waiting, timeout=CANCEL_AGAIN_S)
    await asyncio.gather(*tasks, return_exceptions=True)


def report(world, most_failures):
    """Prints the figures and the first failures of a run. Returns the exit code."""
    print(f"seed {world.options.seed}: {json.dumps(dict(sorted(world.figures.items())))}")
    for failure in world.failures[:most_failures]:
        print("FAILED:", failure)
    print(f"{len(world.failures)} failures")
    return 1 if world.failures else 0
