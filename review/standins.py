"""Stand-ins for the systems around wallstile: state service, cloud, workers, and users behind a load balancer.

They follow PROTOCOL-wallstile.md, use the standard library alone, and listen on 127.0.0.1 on free ports. Everything
runs in one asyncio loop; the controllers are separate processes of the program that deploy/service.toml names.
Each controller gets a port of its own at the state service, so that answers can depend on who asks.
"""

import asyncio
import bisect
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = [os.path.join(ROOT, "target/release/wallstile"), "--config"]  # `run` of deploy/service.toml
HOST = "127.0.0.1"


def trouble():
    """Whether the run includes the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The record of a run: one line an event, with seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)

    def now(self):
        return time.monotonic() - self.start

    def say(self, text):
        line = f"{self.now():8.3f} {text}"
        self.file.write(line + "\n")

    def show(self, text):
        self.say(text)
        print(text, flush=True)


# HTTP/1.1, both sides


async def read_head(reader):
    line = await reader.readline()
    if not line:
        return None, None
    headers = {}
    while True:
        header = await reader.readline()
        if header in (b"\r\n", b"\n", b""):
            return line.decode().split(), headers
        name, _, value = header.decode().partition(":")
        headers[name.strip().lower()] = value.strip()


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone", 429: "Too Many Requests"}


async def serve(handle):
    """Starts a server on a free port. `handle(method, path, query, body)` returns (status, object), or None for no
    response: the connection is then closed without one."""

    async def connection(reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                if first is None:
                    break
                body = await read_body(reader, headers)
                path, _, query = first[1].partition("?")
                answer = await handle(first[0], path, query, body)
                if answer is None:
                    break
                status, value = answer
                text = json.dumps(value).encode()
                head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\ncontent-type: application/json\r\n"
                writer.write(f"{head}content-length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, HOST, 0, backlog=512)
    return server, server.sockets[0].getsockname()[1]


async def call(address, method, path, value=None, timeout=4.0):
    """Sends one request on a connection of its own. Returns (status, object), or None without a response in time."""

    async def exchange():
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            body = b"" if value is None else json.dumps(value).encode()
            head = f"{method} {path} HTTP/1.1\r\nhost: {address}\r\ncontent-type: application/json\r\n"
            writer.write(f"{head}content-length: {len(body)}\r\nconnection: close\r\n\r\n".encode() + body)
            await writer.drain()
            first, headers = await read_head(reader)
            if first is None:
                return None
            text = await read_body(reader, headers)
            try:
                return int(first[1]), json.loads(text) if text else None
            except ValueError:
                return int(first[1]), None
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return None


# State service


class Bucket:
    """A limit of `rate` a second with bursts of one second's worth."""

    def __init__(self, rate):
        self.rate, self.tokens, self.at = rate, rate, time.monotonic()

    def take(self, amount=1):
        now = time.monotonic()
        self.tokens = min(self.rate, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True


class Store:
    """The state service. `delay()` gives the seconds from a request to its response; `intercept`, if set, may decide
    otherwise about a request: it is an async function of (node, method, path, body) that returns None to go on, or a
    tuple (answer,)."""

    def __init__(self, record, limits):
        self.record, self.limits = record, limits
        self.keys, self.log, self.epoch, self.holds, self.next_hold = {}, [], 0, {}, 1
        self.requests, self.writes = Bucket(limits["rps"]), Bucket(limits["write_rps"])
        self.delay = lambda: 0.0
        self.intercept = None
        self.changed = asyncio.Event()
        self.counts, self.times = {}, []
        self.order = None

    async def start(self, node):
        async def handle(method, path, query, body):
            began = time.monotonic()
            if self.intercept:
                answer = await self.intercept(node, method, path, body)
                if answer is not None:
                    return answer[0]
            if not self.requests.take():
                status, value = 429, {"error": "rate"}
            elif path == "/follow":
                return await self.follow(query)
            else:
                status, value = self.carry_out(method, path, query, body)
            rest = self.delay() - (time.monotonic() - began)
            if rest > 0:
                await asyncio.sleep(rest)
            self.counts[status] = self.counts.get(status, 0) + 1
            self.times.append(time.monotonic() - began)
            return status, value

        server, port = await serve(handle)
        self.tasks = getattr(self, "tasks", []) + [server]
        if not getattr(self, "ticking", None):
            self.ticking = asyncio.create_task(self.tick())
        return port

    async def tick(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for hold in [hold for hold, (end, _) in self.holds.items() if end <= now]:
                self.end_hold(hold)

    def end_hold(self, hold):
        if self.holds.pop(hold, None) is None:
            return
        attached = [key for key, (_, _, tenure) in self.keys.items() if tenure == hold]
        if attached:
            self.record.say(f"state: hold {hold} ends, removed {attached}")
            self.apply([{"drop": key} for key in attached])

    def apply(self, changes):
        self.epoch += 1
        for change in changes:
            if "write" in change:
                key = change["write"]
                self.keys[key] = (change["value"], self.epoch, change.get("tenure"))
                self.log.append((self.epoch, key, {"write": key, "value": change["value"], "stamp": self.epoch}))
            else:
                key = change["drop"]
                if self.keys.pop(key, None) is not None:
                    self.log.append((self.epoch, key, {"drop": key, "stamp": self.epoch}))
        self.order = None
        self.changed.set()
        self.changed = asyncio.Event()

    def commit(self, body):
        guards, changes = body.get("guards", []), body.get("apply", [])
        if len(changes) > self.limits["txn_ops"] or len(guards) > 4 * self.limits["txn_ops"]:
            return 400, {"error": "too many operations"}
        if len(json.dumps(body)) > 64 * 1024:
            return 400, {"error": "transaction too large"}
        if any(len(json.dumps(c.get("value"))) > self.limits["value_kb"] * 1024 for c in changes if "write" in c):
            return 400, {"error": "value too large"}
        if any(c.get("tenure") is not None and c["tenure"] not in self.holds for c in changes):
            return 400, {"error": "no such lease"}
        if changes and not self.writes.take(len(changes)):
            return 429, {"error": "rate"}
        stamp = lambda key: self.keys[key][1] if key in self.keys else 0
        failed = [guard["path"] for guard in guards if stamp(guard["path"]) != guard["stamp"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if changes:
            self.apply(changes)
        return 200, {"epoch": self.epoch}

    def row(self, key):
        value, stamp, tenure = self.keys[key]
        row = {"path": key, "value": value, "stamp": stamp}
        return row | ({"tenure": tenure} if tenure is not None else {})

    def carry_out(self, method, path, query, body):
        value = json.loads(body) if body else {}
        parameters = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        if method == "POST" and path == "/commit":
            return self.commit(value)
        if method == "POST" and path == "/holds":
            hold, self.next_hold = self.next_hold, self.next_hold + 1
            self.holds[hold] = (time.monotonic() + value["life_ms"] / 1000, value["life_ms"] / 1000)
            return 200, {"tenure": hold}
        if path.startswith("/holds/"):
            hold = int(path.split("/")[2])
            if hold not in self.holds:
                return 404, {}
            if method == "DELETE":
                self.end_hold(hold)
            else:
                life = self.holds[hold][1]
                self.holds[hold] = (time.monotonic() + life, life)
            return 200, {}
        if path == "/store":
            prefix, since = parameters.get("prefix", ""), parameters.get("since", "")
            limit = min(int(parameters.get("limit", 1000)), 1000)
            if self.order is None:
                self.order = sorted(self.keys)
            first = bisect.bisect_right(self.order, since) if since else bisect.bisect_left(self.order, prefix)
            rows, size = [], 0
            for key in self.order[first:]:
                if not key.startswith(prefix):
                    if key > prefix:
                        break
                    continue
                row = self.row(key)
                size += len(json.dumps(row))
                if len(rows) >= limit or size > 500 * 1024:
                    return 200, {"rows": rows, "has_next": True, "epoch": self.epoch}
                rows.append(row)
            return 200, {"rows": rows, "has_next": False, "epoch": self.epoch}
        if path.startswith("/store/"):
            key = path[len("/store/"):]
            return (200, self.row(key)) if key in self.keys else (404, {"epoch": self.epoch})
        return 400, {}

    async def follow(self, query):
        parameters = dict(part.split("=", 1) for part in query.split("&"))
        prefix, since = parameters.get("prefix", ""), int(parameters.get("since", 0))
        end = time.monotonic() + int(parameters.get("block_ms", 0)) / 1000
        while True:
            first = bisect.bisect_right(self.log, since, key=lambda change: change[0])
            log = [entry for _, key, entry in self.log[first:] if key.startswith(prefix)]
            rest = end - time.monotonic()
            if log or rest <= 0:
                return 200, {"epoch": self.epoch, "log": log}
            try:
                await asyncio.wait_for(self.changed.wait(), rest)
            except asyncio.TimeoutError:
                pass


# Cloud and workers


class Cloud:
    """The cloud. `capacity` maps (type, zone, spot) to the machines that it still has."""

    def __init__(self, world, types, capacity, boot_s):
        self.world, self.types, self.capacity, self.boot_s = world, types, capacity, boot_s
        self.hires, self.machines, self.count = {}, {}, 0

    async def start(self):
        server, port = await serve(self.handle)
        self.server = server
        return port

    def rent(self, build, quay, loaner, boot_s):
        self.count += 1
        name = f"m-{self.count:06}"
        kind = next(t for t in self.types if t["sku"] == build)
        worker = Worker(self.world, name, kind, quay, loaner)
        self.machines[name] = worker
        worker.life = asyncio.create_task(worker.live(boot_s))
        return name

    async def handle(self, method, path, query, body):
        await asyncio.sleep(0.05)
        say = self.world.record.say
        if path == "/machine_types":
            return 200, {"builds": self.types}
        if method == "POST" and path == "/machines":
            request = json.loads(body)
            if request["hire"] in self.hires:
                return 200, {"plinths": self.hires[request["hire"]]}
            pool = (request["build"], request["quay"], request["loaner"])
            number = min(request["number"], self.capacity.get(pool, 0))
            say(f"cloud: rent {request['number']} of {pool}, gives {number}")
            if number == 0:
                return 503, {"error": "no capacity"}
            self.capacity[pool] -= number
            self.hires[request["hire"]] = [self.rent(*pool, self.boot_s) for _ in range(number)]
            return 200, {"plinths": self.hires[request["hire"]]}
        if path == "/machines/return":
            for name in json.loads(body)["plinths"]:
                worker = self.machines.pop(name, None)
                if worker:
                    say(f"cloud: {name} is returned")
                    pool = (worker.kind["sku"], worker.quay, worker.loaner)
                    self.capacity[pool] = self.capacity.get(pool, 0) + 1
                    worker.end()
            return 200, {}
        if path == "/machines":
            lag = self.world.cluster["cloud"]["list_lag_s"]
            rows = [worker.listed() for worker in self.machines.values() if worker.age() >= lag]
            since = dict(part.split("=", 1) for part in query.split("&") if "=" in part).get("since", "")
            return 200, {"plinths": [row for row in sorted(rows, key=lambda r: r["id"]) if row["id"] > since][:500],
                         "has_next": False}
        return 400, {}


class Worker:
    """One machine with its worker. Gangs of one task only."""

    def __init__(self, world, name, kind, quay, loaner):
        self.world, self.name, self.kind, self.quay, self.loaner = world, name, kind, quay, loaner
        self.rented, self.up, self.endpoint = time.monotonic(), False, None
        self.shift, self.tally, self.baton, self.lots, self.images = 1, 0, 0, {}, {}
        self.jobs = []  # asyncio tasks of this machine
        self.received = []  # bodies of the /orders requests that were carried out
        self.server = None
        self.change = asyncio.Event()
        self.answered = 0.0

    def age(self):
        return time.monotonic() - self.rented

    def listed(self):
        return {"id": self.name, "endpoint": self.endpoint, "build": self.kind["sku"], "quay": self.quay,
                "loaner": self.loaner, "phase": "running" if self.up else "starting", "age_s": self.age()}

    def say(self, text):
        self.world.record.say(f"{self.name}: {text}")

    def end(self):
        """The machine is gone with all that is on it."""
        for key in list(self.lots):
            self.leave(key, "machine gone")
        self.up = False
        for task in self.jobs + [self.life]:
            task.cancel()
        if self.server:
            self.server.close()

    def report(self):
        self.tally += 1
        lots = []
        for (lot, attempt), state in self.lots.items():
            row = {"lot": lot, "try": attempt, "phase": state["phase"]}
            lots.append(row | ({"cause": state["cause"]} if state["phase"] == "exited" else {}))
        return {"plinth": self.name, "endpoint": self.endpoint, "build": self.kind["sku"], "quay": self.quay,
                "loaner": self.loaner, "shift": self.shift, "tally": self.tally, "baton": self.baton, "warn_s": None,
                "lots": lots}

    def used(self, what):
        specs = [self.world.jobs[lot.split("/")[0]] for (lot, _), s in self.lots.items() if s["phase"] != "exited"]
        return sum(spec[what] for spec in specs)

    def room(self, spec):
        """Whether the machine is up and has room for one task of the job."""
        return self.up and all(self.used(what) + spec[what] <= self.kind[what] + 1e-9
                               for what in ("cores", "gpus", "ram_gb"))

    def leave(self, key, why):
        state = self.lots.get(key)
        if state and state.get("on"):
            state["on"] = False
            self.world.on_machine.get(key[0], set()).discard((self.name, key[1]))
            self.say(f"{key[0]} try {key[1]} is off the machine: {why}")

    def exit(self, key, cause):
        state = self.lots.get(key)
        if state is None or state["phase"] == "exited":
            return
        if state.get("task"):
            state["task"].cancel()
        self.leave(key, cause)
        state.update(phase="exited", cause=cause, task=None)
        self.change.set()

    async def run(self, key, spec):
        state = self.lots[key]
        if spec["cast"] not in self.images:
            self.images[spec["cast"]] = time.monotonic() + spec["pull_gb"] / self.kind["fetch_gb_per_s"]
        await asyncio.sleep(max(0.0, self.images[spec["cast"]] - time.monotonic()))
        elsewhere = self.world.on_machine.setdefault(key[0], set())
        self.say(f"{key[0]} try {key[1]} starts" + (f" WHILE ON {sorted(elsewhere)}" if elsewhere else ""))
        if elsewhere:
            self.world.ran_twice.append((key[0], self.name, sorted(elsewhere)))
        elsewhere.add((self.name, key[1]))
        self.world.starts.append((time.monotonic(), key[0], self.name, key[1]))
        state.update(on=True, phase="running")
        self.change.set()
        if spec["shape"] != "service" and key[0] not in self.world.done:
            await asyncio.sleep(self.world.run_s(spec))
        elif spec["shape"] == "service":
            return
        self.world.done.add(key[0])
        state["task"] = None
        self.exit(key, "done")

    def execute(self, orders):
        for order in orders:
            key = (order["lot"], order["try"])
            self.say(f"order {order['verb']} {key[0]} try {key[1]}")
            if order["verb"] == "run" and key not in self.lots:
                spec = self.world.jobs.get(key[0].split("/")[0])
                refused = None
                if spec is None:
                    refused = "unknown"
                elif any(lot == key[0] and s["phase"] != "exited" for (lot, _), s in self.lots.items()):
                    refused = "in_use"
                elif not self.room(spec):
                    refused = "no_room"
                if refused:
                    self.lots[key] = {"phase": "exited", "cause": refused}
                else:
                    self.lots[key] = {"phase": "pulling", "cause": None}
                    self.lots[key]["task"] = asyncio.create_task(self.run(key, spec))
                    self.jobs.append(self.lots[key]["task"])
                self.change.set()
            elif order["verb"] == "stop":
                self.exit(key, "halted")
            elif order["verb"] == "clear" and self.lots.get(key, {}).get("phase") == "exited":
                del self.lots[key]
                self.change.set()

    def take_baton(self, baton):
        if baton > self.baton:
            self.baton = baton
            return True
        return False

    async def orders(self, method, path, query, body):
        if not self.up:
            return None
        if method == "GET":
            return 200, self.report()
        value = json.loads(body)
        if "baton" not in value or "shift" not in value:
            return 400, {}
        if value["baton"] < self.baton or value["shift"] != self.shift:
            self.say(f"orders refused: baton {value['baton']} shift {value['shift']}, has {self.baton} {self.shift}")
            return 409, self.report()
        if self.take_baton(value["baton"]):
            self.change.set()
        self.received.append(value)
        self.execute(value["orders"])
        return 200, self.report()

    def check_lease(self):
        if time.monotonic() - self.answered > self.world.cluster["workers"]["lease_s"]:
            self.say(f"lease ended, session {self.shift + 1} begins")
            for key in list(self.lots):
                if self.lots[key].get("task"):
                    self.lots[key]["task"].cancel()
                self.leave(key, "lease ended")
            self.lots = {}
            self.shift += 1
            self.answered = time.monotonic()

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            self.check_lease()

    async def live(self, boot_s):
        await asyncio.sleep(boot_s)
        self.server, port = await serve(self.orders)
        self.endpoint = f"{HOST}:{port}"
        self.up, self.answered = True, time.monotonic()
        self.say(f"is up: {self.kind['sku']} in {self.quay}, spot {self.loaner}")
        self.jobs.append(asyncio.create_task(self.watch_lease()))
        names = list(self.world.nodes)
        at = random.randrange(len(names))
        period = self.world.cluster["workers"]["report_s"]
        last_baton_change = 0.0
        while True:
            self.change.clear()
            sent, shift = time.monotonic(), self.shift
            node = self.world.nodes[names[at]]
            answer = await call(node.public, "POST", "/v1/report", self.report(), timeout=4.0)
            pause = None
            if answer and answer[0] == 200 and answer[1] is not None:
                baton = answer[1].get("baton", 0)
                if self.world.on_answer:
                    self.world.on_answer(self, names[at], baton)
                if baton >= self.baton and baton > 0 and shift == self.shift:
                    if self.take_baton(baton) and sent - last_baton_change > self.world.cluster["workers"]["lease_s"] / 2:
                        last_baton_change = sent
                        self.change.set()
                    self.answered = max(self.answered, sent)
                    self.execute(answer[1].get("orders", []))
            elif answer and answer[0] == 421 and (answer[1] or {}).get("steward") in names \
                    and answer[1]["steward"] != names[at]:
                at = names.index(answer[1]["steward"])
                pause = 0.1
            else:
                at = (at + 1) % len(names)
                pause = 1.0
            if pause is not None:
                await asyncio.sleep(pause)
                continue
            wait = period * random.uniform(0.75, 1.25)
            end = sent + wait
            try:
                await asyncio.wait_for(self.change.wait(), max(0.0, end - time.monotonic()))
                await asyncio.sleep(max(0.0, sent + 0.5 - time.monotonic()))
            except asyncio.TimeoutError:
                pass


# Controllers and users


class Node:
    """A controller: a process of the program under review."""

    def __init__(self, world, name, zone):
        self.world, self.name, self.zone, self.process = world, name, zone, None
        self.public = self.internal = self.settings = None
        self.healthy, self.good, self.bad, self.was_healthy = False, 0, 0, False

    async def start(self):
        log = open(os.path.join(self.world.folder, f"{self.name}.log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")}
        self.process = await asyncio.create_subprocess_exec(*PROGRAM, self.settings, stderr=log, stdout=log,
                                                            cwd=ROOT, env=environment)
        self.world.record.say(f"{self.name}: process starts")

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
            self.world.record.say(f"{self.name}: process killed")

    def send(self, number):
        self.process.send_signal(number)
        self.world.record.say(f"{self.name}: {signal.Signals(number).name}")


class World:
    """A deployment with all stand-ins."""

    def __init__(self, folder, cluster, types, capacity, zones, boot_s=3.0):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="wallstile-review-")
        self.cluster, self.jobs, self.done = cluster, {}, set()
        self.on_machine, self.starts, self.ran_twice, self.on_answer = {}, [], [], None
        self.store = Store(self.record, cluster["state"])
        self.cloud = Cloud(self, types, capacity, boot_s)
        self.nodes = {f"plinth-{i}": Node(self, f"plinth-{i}", zone) for i, zone in enumerate(zones)}
        self.turn = 0
        self.run_s = lambda spec: spec["expect_s"]

    async def prepare(self):
        import socket
        held = []

        def free():
            held.append(socket.socket())
            held[-1].bind((HOST, 0))
            return f"{HOST}:{held[-1].getsockname()[1]}"

        cloud = f"{HOST}:{await self.cloud.start()}"
        for node in self.nodes.values():
            node.public, node.internal = free(), free()
        for node in self.nodes.values():
            state = f"{HOST}:{await self.store.start(node.name)}"
            settings = {"host_name": node.name, "location": node.zone, "serve_on": node.public,
                        "internal_addr": node.internal, "external": {"cloud": cloud, "state": state},
                        "known": [{"host_name": n.name, "location": n.zone, "endpoint": n.internal}
                                  for n in self.nodes.values() if n is not node], "cluster": self.cluster}
            node.settings = os.path.join(self.folder, f"{node.name}.json")
            with open(node.settings, "w") as file:
                json.dump(settings, file)
        for held_socket in held:
            held_socket.close()
        self.probes = [asyncio.create_task(self.probe(node)) for node in self.nodes.values()]

    async def probe(self, node):
        """The load balancer's health check."""
        while True:
            answer = await call(node.public, "GET", "/healthz", timeout=1.0)
            if answer and answer[0] == 200:
                node.good, node.bad = node.good + 1, 0
                if node.good >= (2 if node.was_healthy else 1):
                    node.healthy = node.was_healthy = True
            else:
                node.good, node.bad = 0, node.bad + 1
                if node.bad >= 2:
                    node.healthy = False
            await asyncio.sleep(1.0)

    async def until(self, condition, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return True
            await asyncio.sleep(0.1)
        return False

    async def user(self, method, path, value=None, timeout=5.0, node=None):
        """A user's request through the load balancer, or to one controller. Returns (status, object, controller)."""
        nodes = [node] if node else [n for n in self.nodes.values() if n.healthy]
        if not nodes:
            return None, None, "-"
        self.turn += 1
        chosen = nodes[self.turn % len(nodes)]
        answer = await call(chosen.public, method, path, value, timeout)
        status, body = answer if answer else (None, None)
        return status, body, chosen.name

    async def submit(self, spec, tries=20):
        """Submits a job as users do, until it is answered with 200 or 201. Returns the last status."""
        self.jobs[spec["id"]] = spec
        for _ in range(tries):
            status, body, node = await self.user("POST", "/api/jobs", spec)
            self.record.say(f"submit {spec['id']} at {node}: {status} {body}")
            if status in (200, 201, 400, 422):
                return status
            await asyncio.sleep(1.0)
        return status

    async def close(self):
        for node in self.nodes.values():
            await node.kill()
        for machine in list(self.cloud.machines.values()):
            machine.end()
        for node in self.nodes.values():
            path = os.path.join(self.folder, f"{node.name}.log")
            if os.path.exists(path):
                with open(path, errors="replace") as file:
                    lines = file.read().splitlines()
                for line in lines[:400]:
                    self.record.file.write(f"log {node.name}: {line}\n")
        shutil.rmtree(self.folder, ignore_errors=True)


def job(number, **fields):
    """A submission with all fields, as users send it."""
    spec = {"id": f"req-{number:06}", "berth": "misc", "crew": "team-a", "shape": "batch", "rank": "normal", "lots": 1,
            "cores": 1.0, "gpus": 0.0, "ram_gb": 1.0, "cast": "img-01", "pull_gb": 0.2, "builds": None, "quay": None,
            "same_place": False, "apart": False, "loaner": False, "expect_s": 5.0, "mark_s": 0.0, "stow_s": 0.0,
            "due_s": None}
    return spec | fields


def run_case(main, limit_s=118.0):
    """Runs a case and exits: 0 the rule held, 1 it was broken, 2 the case couldn't run."""
    if not os.access(PROGRAM[0], os.X_OK):
        print("the program isn't built")
        sys.exit(2)
    try:
        result = asyncio.run(asyncio.wait_for(main(), limit_s))
    except Exception as error:  # whatever goes wrong in the stand-ins isn't the program's fault
        print(f"the case couldn't run: {error!r}")
        result = 2
    sys.exit(result)
