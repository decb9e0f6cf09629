"""Stand-ins for the second review: state service, cloud, workers and users of a small deployment, in one process, with
the controllers as separate processes of the program under review. They follow the protocol page; where it is silent
they behave like sound programs. Only the standard library is used, and only loopback addresses."""

import asyncio
import collections
import json
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "127.0.0.1"
MAX_BODY = 64 * 1024
REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           429: "Too Many Requests", 503: "Service Unavailable"}


def run_command():
    """The program and its arguments, as the deploy file has them."""
    with open(os.path.join(ROOT, "deploy", "service.toml")) as file:
        for line in file:
            key, _, value = line.partition("=")
            if key.strip() == "run":
                return shlex.split(json.loads(value.strip()))
    raise SystemExit(2)


def free_ports(count):
    """Free ports below the range from which the system takes those of outgoing connections."""
    ports = []
    for port in random.sample(range(12_000, 32_000), 4_000):
        with socket.socket() as one:
            try:
                one.bind((HOST, port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise CannotRun


class Bucket:
    """A rate limit that allows bursts of `burst_s` seconds' worth."""

    def __init__(self, rate, burst_s):
        self.rate, self.most, self.left, self.at = rate, rate * burst_s, rate * burst_s, time.monotonic()

    def take(self, count=1):
        now = time.monotonic()
        self.left = min(self.most, self.left + (now - self.at) * self.rate)
        self.at = now
        if self.left < count:
            return False
        self.left -= count
        return True


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    return lines[0], headers, body


async def serve(port, handler):
    """Serves HTTP. `handler(method, path, query, body)` returns a status and a value, or None for no answer."""

    async def connection(reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                path, _, query = target.partition("?")
                answer = await handler(method, path, dict(urllib.parse.parse_qsl(query)), body)
                if answer is None:
                    await asyncio.sleep(30)
                    break
                status, value = answer
                data = json.dumps(value, separators=(",", ":")).encode()
                head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n" \
                       f"content-type: application/json\r\ncontent-length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, HOST, port)


async def call(port, method, path, body=None, timeout=5.0):
    """One request over a connection of its own. Returns status, value and headers; status 0 if there was no answer."""
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(HOST, port)
        data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
        head = f"{method} {path} HTTP/1.1\r\nhost: {HOST}:{port}\r\nconnection: close\r\n" \
               f"content-type: application/json\r\ncontent-length: {len(data)}\r\n\r\n"
        writer.write(head.encode() + data)
        await writer.drain()
        first, headers, answer = await read_message(reader)
        try:
            value = json.loads(answer) if answer else None
        except ValueError:
            value = None
        return int(first.split(" ")[1]), value, headers

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
        return 0, None, {}
    finally:
        if writer is not None:
            writer.close()


class Store:
    """The state service."""

    def __init__(self, lab):
        limits = lab.cluster["state"]
        self.lab, self.epoch, self.rows, self.log = lab, 0, {}, collections.deque(maxlen=10_000)
        self.forgotten_through = 0
        self.holds, self.next_hold = {}, 0
        self.requests, self.writes = Bucket(limits["rps"], 1.0), Bucket(limits["write_rps"], 1.0)
        self.value_bytes, self.txn_ops = limits["value_kb"] * 1024, limits["txn_ops"]
        self.latency_s = 0.006
        self.down = False
        self.refused = set()
        self.changed = asyncio.Event()
        self.commits = []  # (time, status, keys, bytes, why)

    def apply(self, changes):
        self.epoch += 1
        for key, value, hold in changes:
            if len(self.log) == self.log.maxlen:
                self.forgotten_through = self.log[0][0]
            if value is None:
                if self.rows.pop(key, None) is None:
                    continue
                self.log.append((self.epoch, {"drop": key, "stamp": self.epoch}))
            else:
                self.rows[key] = (value, self.epoch, hold)
                self.log.append((self.epoch, {"write": key, "value": value, "stamp": self.epoch}))
        self.changed.set()
        self.changed = asyncio.Event()

    def end_hold(self, hold):
        self.holds.pop(hold, None)
        keys = [key for key, row in self.rows.items() if row[2] == hold]
        if keys:
            self.apply([(key, None, None) for key in keys])

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for hold in [hold for hold, (_, ends) in self.holds.items() if ends <= now]:
                self.end_hold(hold)

    def set_down(self, down):
        self.down = down
        if not down:
            now = time.monotonic()
            self.holds = {hold: (life, now + life) for hold, (life, _) in self.holds.items()}

    def handler(self, node):
        async def handle(method, path, query, body):
            if len(body) > MAX_BODY:
                await asyncio.sleep(self.latency_s)
                self.note_commit(400, path, body, "body over 64 KiB")
                return 400, {"error": "over 64 KiB"}
            if self.down or node in self.refused:
                return 503, {"error": "trouble"}
            if not self.requests.take():
                return 429, {"error": "too many requests"}
            if path == "/follow":
                return await self.follow(query, node)
            await asyncio.sleep(self.latency_s)
            if self.down or node in self.refused:
                return 503, {"error": "trouble"}
            return self.request(method, path, query, body)
        return handle

    def note_commit(self, status, path, body, why):
        if path != "/commit":
            return
        try:
            keys = [change.get("write") or change.get("drop") for change in json.loads(body)["apply"]]
        except (ValueError, KeyError):
            keys = []
        self.commits.append((time.monotonic(), status, keys, len(body), why))

    def request(self, method, path, query, body):
        if path == "/store":
            return self.range(query)
        if method == "GET" and path.startswith("/store/"):
            key = path[len("/store/"):]
            row = self.rows.get(key)
            if row is None:
                return 404, {"epoch": self.epoch}
            return 200, {"path": key, "value": row[0], "stamp": row[1], "tenure": row[2]}
        try:
            value = json.loads(body) if body else {}
        except ValueError:
            return 400, {"error": "malformed"}
        if path == "/commit":
            status, answer, why = self.commit(value)
            self.note_commit(status, path, body, why)
            return status, answer
        if path == "/holds":
            life = value.get("life_ms", 0) / 1000
            if not 0.1 <= life <= 600:
                return 400, {"error": "malformed"}
            self.next_hold += 1
            self.holds[self.next_hold] = (life, time.monotonic() + life)
            return 200, {"tenure": self.next_hold}
        if path.startswith("/holds/"):
            hold = int(path.split("/")[2])
            if hold not in self.holds:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                self.end_hold(hold)
            else:
                life, _ = self.holds[hold]
                self.holds[hold] = (life, time.monotonic() + life)
            return 200, {}
        return 400, {"error": "malformed"}

    def range(self, query):
        prefix, since = query.get("prefix", ""), query.get("since", "")
        limit = min(int(query.get("limit", 1000)), 1000)
        keys = sorted(key for key in self.rows if key.startswith(prefix) and key > since)
        rows, size = [], 0
        for key in keys[:limit]:
            row = {"path": key, "value": self.rows[key][0], "stamp": self.rows[key][1]}
            size += len(json.dumps(row))
            if size > 512 * 1024:
                break
            rows.append(row)
        return 200, {"rows": rows, "has_next": len(rows) < len(keys), "epoch": self.epoch}

    def commit(self, value):
        guards, changes = value.get("guards") or [], value.get("apply") or []
        if len(changes) > self.txn_ops or len(guards) > 4 * self.txn_ops:
            return 400, {"error": "too many"}, "too many changes"
        if changes and not self.writes.take(len(changes)):
            return 429, {"error": "too many changes"}, "rate"
        for change in changes:
            if "write" in change:
                if len(json.dumps(change["value"], separators=(",", ":"))) > self.value_bytes:
                    return 400, {"error": "value too large"}, "value too large"
                hold = change.get("tenure")
                if hold is not None and hold not in self.holds:
                    return 400, {"error": "no such lease"}, "no such lease"
        failed = [guard["path"] for guard in guards
                  if self.rows.get(guard["path"], (None, 0, None))[1] != guard["stamp"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}, "failed " + " ".join(failed)
        if changes:
            self.apply([(change["write"], change["value"], change.get("tenure")) if "write" in change
                        else (change["drop"], None, None) for change in changes])
        return 200, {"epoch": self.epoch}, ""

    async def follow(self, query, node):
        prefix, since = query.get("prefix", ""), int(query.get("since", 0))
        ends = time.monotonic() + min(int(query.get("block_ms", 0)), 60_000) / 1000
        while True:
            if since < self.forgotten_through:
                return 410, {"error": "too old"}
            served = not self.down and node not in self.refused
            log = [change for epoch, change in self.log
                   if epoch > since and (change.get("write") or change.get("drop")).startswith(prefix)]
            left = ends - time.monotonic()
            if served and (log or left <= 0):
                return 200, {"epoch": self.epoch, "log": log}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), min(left, 0.5) if left > 0 else 0.05)
            except asyncio.TimeoutError:
                pass


class Worker:
    """A machine's worker. Tasks hold their resources from the start command until they exit."""

    def __init__(self, lab, name, port, kind, zone, loaner):
        self.lab, self.name, self.port, self.kind, self.zone, self.loaner = lab, name, port, kind, zone, loaner
        self.shift, self.tally, self.baton = 1, 0, 0
        self.tasks, self.images = {}, {}
        self.gone = False
        self.server = None
        self.lease_from = time.monotonic()
        self.node = random.randrange(len(lab.nodes))
        self.dirty = asyncio.Event()
        self.jobs = []

    async def start(self):
        self.lease_from = time.monotonic()
        self.server = await serve(self.port, self.handle)
        self.jobs = [asyncio.create_task(self.report_loop()), asyncio.create_task(self.work_loop())]

    def die(self):
        """The machine stops with all that is on it."""
        if self.gone:
            return
        self.gone = True
        for job in self.jobs:
            job.cancel()
        if self.server is not None:
            self.server.close()
        for key in list(self.tasks):
            self.leave(key)
        self.tasks.clear()
        self.lab.note(f"machine {self.name} gone")

    def report(self):
        self.tally += 1
        lots = []
        for (lot, attempt), task in self.tasks.items():
            entry = {"lot": lot, "try": attempt, "phase": task["phase"]}
            if task["phase"] == "exited":
                entry["cause"] = task["cause"]
                if task["cause"] == "halted":
                    entry["kept"] = task.get("kept", False)
            lots.append(entry)
        return {"plinth": self.name, "endpoint": f"{HOST}:{self.port}", "build": self.kind, "quay": self.zone,
                "loaner": self.loaner, "shift": self.shift, "tally": self.tally, "baton": self.baton, "warn_s": None,
                "lots": lots}

    async def handle(self, method, path, query, body):
        if self.gone:
            return None
        if path == "/status":
            return 200, self.report()
        try:
            message = json.loads(body)
            baton, shift = message["baton"], message["shift"]
        except (ValueError, KeyError):
            return 400, {"error": "malformed"}
        self.check_lease()
        if baton < self.baton or shift != self.shift:
            return 409, self.report()
        self.baton = max(self.baton, baton)
        self.execute(message.get("orders", []))
        return 200, self.report()

    def free(self):
        machine = self.lab.kinds[self.kind]
        cores, gpus, ram = machine["cores"], machine["gpus"], machine["ram_gb"]
        for task in self.tasks.values():
            if task["phase"] != "exited":
                cores, gpus, ram = cores - task["cores"], gpus - task["gpus"], ram - task["ram_gb"]
        return cores + 1e-6, gpus + 1e-6, ram + 1e-6

    def execute(self, orders):
        for order in orders:
            key = (order["lot"], order["try"])
            if order["verb"] == "run":
                if key not in self.tasks:
                    self.tasks[key] = self.begin(*key)
                    self.dirty.set()
            elif order["verb"] == "stop":
                task = self.tasks.get(key)
                if task and task["phase"] != "exited":
                    self.exit(key, "halted")
            elif order["verb"] == "clear":
                task = self.tasks.get(key)
                if task and task["phase"] == "exited":
                    del self.tasks[key]
                    self.lab.cleared += 1

    def begin(self, lot, attempt):
        name, _, index = lot.partition("/")
        job = self.lab.jobs.get(name)
        if job is None or not 0 <= int(index) < job["lots"]:
            return {"phase": "exited", "cause": "unknown"}
        if any(other == lot and task["phase"] != "exited" for (other, _), task in self.tasks.items()):
            return {"phase": "exited", "cause": "in_use"}
        need = {part: job[part] for part in ("cores", "gpus", "ram_gb")}
        cores, gpus, ram = self.free()
        if need["cores"] > cores or need["gpus"] > gpus or need["ram_gb"] > ram:
            return {"phase": "exited", "cause": "no_room"}
        now = time.monotonic()
        ready = self.images.setdefault(job["cast"], now + job["pull_gb"] / self.lab.kinds[self.kind]["fetch_gb_per_s"])
        return {"phase": "pulling", "ready_at": max(now, ready), "job": job, **need}

    def exit(self, key, cause):
        task = self.tasks[key]
        self.leave(key)
        task.update(phase="exited", cause=cause)
        if cause == "done":
            self.lab.results.add(key[0])
        self.dirty.set()

    def leave(self, key):
        task = self.tasks[key]
        if task.get("on"):
            task["on"] = False
            self.lab.ended(self, key)

    async def work_loop(self):
        while True:
            await asyncio.sleep(0.05)
            self.check_lease()
            now = time.monotonic()
            for key, task in list(self.tasks.items()):
                if task["phase"] == "pulling" and task["ready_at"] <= now:
                    task["on"] = True
                    task["phase"] = "running"
                    task["ends_at"] = now + (0 if key[0] in self.lab.results else task["job"]["run_s"])
                    self.lab.started(self, key)
                    self.dirty.set()
                if task["phase"] == "running" and task["job"]["shape"] != "service" and task["ends_at"] <= now:
                    self.exit(key, "done")

    def check_lease(self):
        if time.monotonic() - self.lease_from > self.lab.cluster["workers"]["lease_s"]:
            self.lab.note(f"machine {self.name} lost its lease, session {self.shift}, tasks {len(self.tasks)}")
            for key in list(self.tasks):
                self.leave(key)
            self.tasks.clear()
            self.shift, self.tally = self.shift + 1, 0
            self.lease_from = time.monotonic()
            self.dirty.set()

    async def report_loop(self):
        every = self.lab.cluster["workers"]["report_s"]
        while True:
            self.dirty.clear()
            sent, shift, before = time.monotonic(), self.shift, self.baton
            status, answer, _ = await call(self.lab.nodes[self.node].serve, "POST", "/v1/report", self.report(), 4.0)
            self.check_lease()
            pause = None
            if status == 200:
                if shift == self.shift and answer.get("baton", -1) >= self.baton and answer.get("baton"):
                    self.baton = answer["baton"]
                    self.lease_from = max(self.lease_from, sent)
                    self.execute(answer.get("orders", []))
            elif status == 421 and answer and answer.get("steward") in self.lab.names \
                    and self.lab.names[answer["steward"]] != self.node:
                self.node = self.lab.names[answer["steward"]]
                pause = random.random() * 0.5
            else:
                self.node = (self.node + 1) % len(self.lab.nodes)
                pause = 1.0
            if pause is None:
                pause = every * random.uniform(0.75, 1.25)
                if self.baton > before:
                    self.dirty.set()
                await asyncio.sleep(0.5)
                try:
                    await asyncio.wait_for(self.dirty.wait(), max(pause - 0.5, 0.01))
                except asyncio.TimeoutError:
                    pass
            else:
                await asyncio.sleep(pause)


class Cloud:
    """The cloud. `capacity` gives the number of machines for each (type, zone, spot)."""

    def __init__(self, lab, capacity):
        self.lab, self.capacity, self.machines, self.hires = lab, dict(capacity), {}, {}
        self.rate = Bucket(lab.cluster["cloud"]["rps"], 2.0)
        self.down = False
        self.history = []

    def rent(self, kind, zone, loaner, boot_s):
        name = f"m-{len(self.machines) + 1:06d}"
        worker = Worker(self.lab, name, self.lab.port(), kind, zone, loaner)
        machine = {"worker": worker, "kind": kind, "zone": zone, "loaner": loaner, "rented": time.monotonic(),
                   "up": None, "gone": None}
        self.machines[name] = machine
        asyncio.create_task(self.boot(machine, boot_s))
        return name

    async def boot(self, machine, boot_s):
        await asyncio.sleep(boot_s)
        if machine["gone"] is None:
            machine["up"] = time.monotonic()
            await machine["worker"].start()
            self.lab.note(f"machine {machine['worker'].name} up, {machine['kind']} in {machine['zone']}")

    def end(self, name):
        machine = self.machines.get(name)
        if machine and machine["gone"] is None:
            machine["gone"] = time.monotonic()
            key = (machine["kind"], machine["zone"], machine["loaner"])
            self.capacity[key] = self.capacity.get(key, 0) + 1
            if machine["up"] is not None:
                machine["worker"].die()

    async def handle(self, method, path, query, body):
        await asyncio.sleep(0.2)
        if self.down:
            return 503, {"error": "trouble"}
        if not self.rate.take():
            return 429, {"error": "too many requests"}
        if path == "/machine_types":
            return 200, {"builds": list(self.lab.kinds.values())}
        if path == "/machines" and method == "GET":
            return self.list(query)
        value = json.loads(body)
        if path == "/machines/return":
            for name in value["plinths"]:
                self.lab.note(f"cloud takes back {name}")
                self.end(name)
            return 200, {}
        if value["hire"] in self.hires:
            return 200, {"plinths": self.hires[value["hire"]]}
        key = (value["build"], value["quay"], value["loaner"])
        count = min(value["number"], self.capacity.get(key, 0))
        if count == 0:
            return 503, {"error": "no capacity"}
        self.capacity[key] -= count
        boot = self.lab.kinds[value["build"]]["startup_s"] * random.uniform(0.6, 1.5)
        names = [self.rent(*key, boot) for _ in range(count)]
        self.hires[value["hire"]] = names
        return 200, {"plinths": names}

    def list(self, query):
        at = time.monotonic() - self.lab.cluster["cloud"]["list_lag_s"]
        listed = []
        for name, machine in sorted(self.machines.items()):
            if name <= query.get("since", "") or machine["rented"] > at:
                continue
            if machine["gone"] is not None and machine["gone"] <= at:
                continue
            up = machine["up"] is not None and machine["up"] <= at
            listed.append({"id": name, "endpoint": f"{HOST}:{machine['worker'].port}", "build": machine["kind"],
                           "quay": machine["zone"], "loaner": machine["loaner"],
                           "phase": "running" if up else "starting", "age_s": at - machine["rented"]})
        limit = min(int(query.get("limit", 500)), 500)
        return 200, {"plinths": listed[:limit], "has_next": len(listed) > limit}


class Node:
    """A controller process."""

    def __init__(self, lab, index, name, zone):
        self.lab, self.index, self.name, self.zone, self.process = lab, index, name, zone, None
        self.serve, self.internal, self.store, self.cloud = (lab.port() for _ in range(4))

    def write_settings(self):
        others = [node for node in self.lab.nodes if node is not self]
        settings = {
            "host_name": self.name, "location": self.zone, "serve_on": f"{HOST}:{self.serve}",
            "internal_addr": f"{HOST}:{self.internal}",
            "known": [{"host_name": node.name, "location": node.zone, "endpoint": f"{HOST}:{node.internal}"}
                      for node in others],
            "external": {"cloud": f"{HOST}:{self.cloud}", "state": f"{HOST}:{self.store}"},
            "cluster": self.lab.cluster}
        self.path = os.path.join(self.lab.folder, f"{self.name}.json")
        with open(self.path, "w") as file:
            json.dump(settings, file)

    async def start(self):
        log = open(os.path.join(self.lab.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *self.lab.command, self.path, cwd=ROOT, stderr=log, stdout=log, stdin=asyncio.subprocess.DEVNULL,
            env={**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")})
        log.close()

    def send(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.send(signal.SIGKILL)
        if self.process:
            await self.process.wait()


class Lab:
    """One run: a folder for settings and logs, the stand-ins, the controllers, and the record."""

    def __init__(self, here, cluster, kinds, zones, capacity):
        self.here, self.cluster = here, cluster
        self.kinds = {kind["sku"]: kind for kind in kinds}
        self.begun = time.monotonic()
        self.record = open(os.path.join(here, "record.txt"), "w")
        self.folder = tempfile.mkdtemp(prefix="wallstile-review-")
        self.ports = iter(free_ports(220))
        self.command = run_command()
        self.jobs, self.results, self.cleared = {}, set(), 0
        self.starts, self.on = [], {}
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.nodes = []
        self.nodes = [Node(self, index, f"plinth-{index}", zone) for index, zone in enumerate(zones)]
        self.names = {node.name: node.index for node in self.nodes}
        self.store, self.cloud = Store(self), Cloud(self, capacity)
        self.background = []

    def port(self):
        return next(self.ports)

    def note(self, text):
        self.record.write(f"{time.monotonic() - self.begun:8.3f} {text}\n")
        self.record.flush()

    def started(self, worker, key):
        places = self.on.setdefault(key[0], [])
        self.starts.append((time.monotonic(), worker.name, key[0], key[1], list(places)))
        places.append(worker.name)
        self.note(f"run {key[0]} attempt {key[1]} on {worker.name}")

    def ended(self, worker, key):
        self.on[key[0]].remove(worker.name)
        self.note(f"end {key[0]} attempt {key[1]} on {worker.name}")

    async def open(self, machines=()):
        """Starts the stand-ins, the machines that are up at the start, and the controllers."""
        if not os.path.exists(os.path.join(ROOT, self.command[0])):
            print("the program isn't built")
            raise CannotRun
        self.background.append(asyncio.create_task(self.store.expire()))
        for node in self.nodes:
            await serve(node.store, self.store.handler(node.name))
            await serve(node.cloud, self.cloud.handle)
            node.write_settings()
        for kind, zone, loaner in machines:
            self.cloud.rent(kind, zone, loaner, 0.0)
        for node in self.nodes:
            await node.start()

    async def ready(self, within_s=25.0):
        """Waits until all controllers are healthy and a leader has loaded the cluster state."""
        ends = time.monotonic() + within_s
        while time.monotonic() < ends:
            answers = [await call(node.serve, "GET", "/healthz", timeout=1.0) for node in self.nodes]
            if all(status == 200 for status, _, _ in answers) and self.leader() is not None:
                return
            await asyncio.sleep(0.2)
        print("the controllers did not become healthy")
        raise CannotRun

    def leader(self):
        row = self.store.rows.get("ctl/leader")
        return None if row is None else self.nodes[self.names[row[0]["node"]]]

    async def submit(self, job, run_s, node=None, first=True, within_s=60.0):
        """Submits a job as users do, with retries for up to 60 s. Returns the last status and answer."""
        self.jobs[job["id"]] = {**job, "run_s": run_s}
        begun, status, answer = time.monotonic(), 0, None
        while True:
            target = node or random.choice(self.nodes)
            status, answer, headers = await call(target.serve, "POST", "/api/jobs", job, 5.0)
            if status in (200, 201, 400, 422) or time.monotonic() - begun > within_s:
                break
            await asyncio.sleep(max(1.0, min(30.0, float(headers.get("retry-after", 1)))))
        self.note(f"submit {job['id']} to {target.name}: {status} {json.dumps(answer)}")
        return status, answer

    async def poll(self, name, node=None, timeout=2.0):
        target = node or random.choice(self.nodes)
        status, answer, _ = await call(target.serve, "GET", f"/api/jobs/{name}", timeout=timeout)
        return status, answer, target

    async def withdraw(self, name, node=None):
        begun = time.monotonic()
        while True:
            target = node or random.choice(self.nodes)
            status, answer, _ = await call(target.serve, "POST", f"/api/jobs/{name}/withdraw", timeout=5.0)
            if status == 200 or time.monotonic() - begun > 60:
                break
            await asyncio.sleep(1.0)
        self.note(f"withdraw {name} at {target.name}: {status} {json.dumps(answer)}")
        return status, answer

    async def close(self):
        for node in self.nodes:
            await node.kill()
        for machine in self.cloud.machines.values():
            if machine["up"] is not None:
                machine["worker"].die()
        for task in self.background:
            task.cancel()
        if os.environ.get("KEEP"):
            self.note(f"logs kept in {self.folder}")
        else:
            for name in os.listdir(self.folder):
                os.unlink(os.path.join(self.folder, name))
            os.rmdir(self.folder)
        self.record.close()


class CannotRun(Exception):
    """The case couldn't run: exit status 2."""


def main(make_lab, case, most_s=115.0):
    """Runs a case: `case(lab)` returns whether the rule held."""

    async def play():
        lab = make_lab()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            held = await asyncio.wait_for(case(lab), most_s)
            verdict = "the rule held" if held else "the rule was broken"
            lab.note(verdict)
            print(verdict)
            return 0 if held else 1
        except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError) as error:
            lab.note(f"the case couldn't run: {type(error).__name__}")
            print("the case couldn't run")
            return 2
        finally:
            await lab.close()

    try:
        status = asyncio.run(play())
    except Exception as error:  # a fault of the case itself
        print(f"the case couldn't run: {error!r}")
        status = 2
    sys.exit(status)


# A small deployment: sizes, limits and machine types of the hosting deployment's first page.
HOSTING_KINDS = [
    {"sku": "pieni", "cores": 8.0, "gpus": 0.0, "ram_gb": 16.0, "local_gb": 25.0, "fetch_gb_per_s": 0.2, "price": 0.42,
     "market_price": 0.19, "startup_s": 20.0, "quays": ["oulu", "tampere"]},
    {"sku": "iso", "cores": 64.0, "gpus": 0.0, "ram_gb": 512.0, "local_gb": 60.0, "fetch_gb_per_s": 0.3, "price": 4.28,
     "market_price": 1.92, "startup_s": 20.0, "quays": ["oulu", "espoo", "tampere"]},
]


def hosting_cluster():
    return {
        "count": 3, "zones": ["espoo", "oulu", "tampere"],
        "teams": [{"name": f"hosting-ops-{number:02d}", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}
                  for number in range(16)],
        "objectives": [{"kind": "wait", "class": "alert-feed", "within_s": 8.0, "share": 0.9},
                       {"kind": "deadline", "class": "gauge-ingest", "share": 0.95, "times": 1.0}],
        "workers": {"report_s": 1.5, "lease_s": 10.0, "gang_wait_s": 45.0, "gang_peer_s": 8.0, "cancel_s": 30.0},
        "state": {"rps": 200.0, "write_rps": 20.0, "value_kb": 32.0, "txn_ops": 12},
        "cloud": {"rps": 8.0, "list_lag_s": 10.0},
        "limits": {"cpu": 0.08, "ram_mb": 72.0, "fd_limit": 1000}, "skew_ms": 250.0}


# The same of Annex B.
YARDBOX = {"sku": "yardbox", "cores": 8.0, "gpus": 0.0, "ram_gb": 32.0, "local_gb": 80.0, "fetch_gb_per_s": 0.3,
           "price": 0.55, "market_price": 0.13, "startup_s": 15.0, "quays": ["cork", "dundalk"]}
VISIONBOX = {"sku": "visionbox", "cores": 16.0, "gpus": 2.0, "ram_gb": 128.0, "local_gb": 120.0, "fetch_gb_per_s": 1.0,
             "price": 4.51, "market_price": 1.07, "startup_s": 30.0, "quays": ["cork", "dundalk"]}


def annex_cluster():
    return {
        "count": 3, "zones": ["cork", "dundalk"],
        "teams": [{"name": f"yard-systems-{number:02d}", "cpus": 24.0, "cpus_max": 150.0, "gpus": 0.0, "gpus_max": 0.0}
                  for number in range(16)],
        "objectives": [{"kind": "finished", "class": "stock-rotation", "within_s": 250.0, "share": 0.94},
                       {"kind": "wait", "class": "recall-trace", "within_s": 18.0, "share": 0.9}],
        "workers": {"report_s": 3.0, "lease_s": 24.0, "gang_wait_s": 40.0, "gang_peer_s": 8.0, "cancel_s": 44.0},
        "state": {"rps": 200.0, "write_rps": 40.0, "value_kb": 8.0, "txn_ops": 32},
        "cloud": {"rps": 2.0, "list_lag_s": 12.0},
        "limits": {"cpu": 0.16, "ram_mb": 104.0, "fd_limit": 1500}, "skew_ms": 25.0}


def job(number, shape="batch", rank="normal", berth="gauge-ingest", lots=1, cores=1.0, ram_gb=1.8, expect_s=20.0, **more):
    return {"id": f"req-{number:06d}", "berth": berth, "crew": "hosting-ops-00", "shape": shape, "rank": rank,
            "lots": lots, "cores": cores, "gpus": 0.0, "ram_gb": ram_gb, "cast": "img-01", "pull_gb": 1.0,
            "builds": None, "quay": None, "same_place": False, "apart": False, "loaner": False,
            "expect_s": expect_s, "mark_s": 0.0, "stow_s": 0.0, "due_s": None, **more}
