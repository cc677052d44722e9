"""Stand-ins on loopback for the second review: state service, cloud, workers, users, and
the controllers as processes of their own. They follow the users' protocol page; where that page is
silent they behave like a sound server or client.

One process holds all stand-ins (asyncio). Each controller gets ports of its own for the state
service and the cloud, so that a fault can concern one of them.
"""

import asyncio
import bisect
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
MAX_BODY = 64 * 1024


def now():
    return time.monotonic()


class Record:
    """Writes `record.txt`: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = now()

    def __call__(self, *words):
        line = f"{now() - self.start:8.3f} " + " ".join(str(w) for w in words)
        self.file.write(line + "\n")

    def say(self, *words):
        self(*words)
        print(*words, flush=True)

    def close(self):
        self.file.close()


# HTTP


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).strip(), 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    else:
        length = int(headers.get("content-length", "0"))
        if length:
            body = await reader.readexactly(length)
    return lines[0], headers, body


async def serve_http(handler, port=0):
    """Serves `handler(method, path, query, body) -> (status, value)`; None leaves a request
    without an answer and closes its connection."""

    async def connection(reader, writer):
        try:
            while True:
                first, _, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                path, _, query = target.partition("?")
                pairs = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
                answer = await handler(method, path, pairs, body)
                if answer is None:
                    break
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, "127.0.0.1", port, limit=1 << 24, backlog=1024)
    return server, server.sockets[0].getsockname()[1]


class Connection:
    """Client connection that stays open between requests."""

    live = set()

    def __init__(self, port):
        self.port = port
        self.reader = self.writer = None

    async def request(self, method, path, body=None, timeout=5.0):
        """Returns status, value and headers, or None without an answer."""
        try:
            return await asyncio.wait_for(self._request(method, path, body), timeout)
        except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return None

    async def _request(self, method, path, body):
        if self.writer is None:
            Connection.live.add(self)
            self.reader, self.writer = await asyncio.open_connection(
                "127.0.0.1", self.port, limit=1 << 24
            )
        data = b"" if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
        self.writer.write(
            f"{method} {path} HTTP/1.1\r\nhost: 127.0.0.1\r\ncontent-type: application/json\r\n"
            f"content-length: {len(data)}\r\n\r\n".encode() + data
        )
        await self.writer.drain()
        first, headers, answer = await read_message(self.reader)
        status = int(first.split(" ")[1])
        if headers.get("connection", "").lower() == "close":
            self.close()
        try:
            value = json.loads(answer) if answer else None
        except ValueError:
            value = None
        return status, value, headers

    def close(self):
        if self.writer is not None:
            self.writer.close()
        Connection.live.discard(self)
        self.reader = self.writer = None


# State service


async def once(port, method, path, body=None, timeout=5.0):
    """One request on a connection of its own."""
    connection = Connection(port)
    try:
        return await connection.request(method, path, body, timeout)
    finally:
        connection.close()


class StateService:
    def __init__(self, settings):
        self.limits = settings
        self.keys = {}  # key: (data, mark, tether)
        self.revision = 0
        self.history = []  # (revision, event)
        self.holds = {}  # id: [ttl, ends]
        self.next_hold = 0
        self.changed = asyncio.Event()
        self.down = False
        self.refused = set()  # nodes that get 503
        self.silent = set()  # nodes that get no answer
        self.lost = {}  # node: delays with which its transactions are executed, without an answer
        self.latency = lambda: 0.003
        self.requests = 0
        self.rate = [settings["rps"], now()]
        self.write_rate = [settings["write_rps"], now()]
        self.limited = 0
        self.claims = {}  # revision of each claim: label of the node

    def _take(self, bucket, limit, amount):
        t = now()
        bucket[0] = min(limit, bucket[0] + (t - bucket[1]) * limit)
        bucket[1] = t
        if bucket[0] < amount:
            return False
        bucket[0] -= amount
        return True

    def _bump(self, events):
        self.revision += 1
        for event in events:
            event["mark"] = self.revision
            self.history.append((self.revision, event))
        if len(self.history) > 10_000:
            del self.history[: len(self.history) - 10_000]
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            if self.down:
                continue
            for hold in [h for h, (_, ends) in self.holds.items() if now() > ends]:
                self.end_hold(hold)

    def end_hold(self, hold):
        del self.holds[hold]
        gone = [k for k, (_, _, tether) in self.keys.items() if tether == hold]
        for key in gone:
            del self.keys[key]
        if gone:
            self._bump([{"delete": key} for key in gone])

    def set_down(self, down):
        if self.down and not down:
            for hold in self.holds.values():
                hold[1] = now() + hold[0]
        self.down = down

    def handler(self, node):
        async def handle(method, path, query, body):
            await asyncio.sleep(self.latency())
            if node in self.silent:
                await asyncio.sleep(30)
                return None
            if self.down or node in self.refused:
                return 503, {"error": "outage"}
            if path == "/txn" and self.lost.get(node) and random.random() < 0.4:
                asyncio.ensure_future(self.execute_late(random.choice(self.lost[node]), body))
                await asyncio.sleep(20)
                return None
            if not self._take(self.rate, self.limits["rps"], 1):
                self.limited += 1
                return 429, {"error": "rate"}
            if path == "/txn" and self.slow_prefix and f'"set":"{self.slow_prefix[0]}'.encode() in body:
                delay, self.slow_prefix = self.slow_prefix[1], None
                self.slowed = json.loads(body)["apply"][0]["set"]
                await asyncio.sleep(delay)
            return await self.execute(node, method, path, query, body)

        return handle

    slow_prefix = None  # (prefix, delay): the next transaction that sets such a key takes so long

    async def execute_late(self, delay, body):
        await asyncio.sleep(delay)
        self.transaction(body)

    async def execute(self, node, method, path, query, body):
        self.requests += 1
        if path.startswith("/kv/"):
            key = path[4:]
            if key not in self.keys:
                return 404, {"logline": self.revision}
            data, mark, tether = self.keys[key]
            return 200, {"key": key, "data": data, "mark": mark, "tether": tether}
        if path == "/kv":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            names = sorted(k for k in self.keys if k.startswith(prefix) and k > after)
            page = min(int(query.get("page", 200)), 1000)
            items, size = [], 0
            for key in names[:page]:
                data, mark, _ = self.keys[key]
                size += len(json.dumps(data)) + len(key) + 40
                if size > 512 * 1024:
                    break
                items.append({"key": key, "data": data, "mark": mark})
            return 200, {"items": items, "more": len(items) < len(names), "logline": self.revision}
        if path == "/watch":
            after, wait = int(query["after"]), int(query.get("wait_ms", 0)) / 1000
            prefix, until = query.get("prefix", ""), now() + wait
            while True:
                if self.down or node in self.refused:
                    # During an outage open watches stay open.
                    await asyncio.sleep(0.05)
                    if now() >= until:
                        return 200, {"logline": after, "events": []}
                    continue
                if self.history and after < self.history[0][0] - 1:
                    return 410, {}
                at = bisect.bisect_right(self.history, after, key=lambda entry: entry[0])
                events = [
                    event
                    for _, event in self.history[at:]
                    if (event.get("set") or event.get("delete")).startswith(prefix)
                ]
                if events or now() >= until:
                    return 200, {"logline": self.revision, "events": events}
                changed = self.changed
                try:
                    await asyncio.wait_for(changed.wait(), min(until - now(), 0.5))
                except asyncio.TimeoutError:
                    pass
        if path == "/holds":
            self.next_hold += 1
            ttl = json.loads(body)["ttl_ms"] / 1000
            self.holds[self.next_hold] = [ttl, now() + ttl]
            return 200, {"tether": self.next_hold}
        if path.startswith("/holds/"):
            hold = int(path.split("/")[2])
            if hold not in self.holds:
                return 404, {}
            if method == "DELETE":
                self.end_hold(hold)
            else:
                self.holds[hold][1] = now() + self.holds[hold][0]
            return 200, {}
        if path == "/txn":
            return self.transaction(body)
        return 400, {"error": "malformed"}

    def transaction(self, body):
        if len(body) > MAX_BODY:
            return 400, {"error": "too large"}
        txn = json.loads(body)
        when, apply = txn.get("when") or [], txn.get("apply") or []
        if len(apply) > self.limits["txn_ops"] or len(when) > 4 * self.limits["txn_ops"]:
            return 400, {"error": "too many changes"}
        if apply and not self._take(self.write_rate, self.limits["write_rps"], len(apply)):
            self.limited += 1
            return 429, {"error": "write rate"}
        for change in apply:
            if "set" in change:
                if len(json.dumps(change["data"], separators=(",", ":"))) > self.limits["value_kb"] * 1024:
                    return 400, {"error": "value too large"}
                if change.get("tether") and change["tether"] not in self.holds:
                    return 400, {"error": "no such lease"}
        failed = [c["key"] for c in when if self.keys.get(c["key"], (0, 0, 0))[1] != c["mark"]]
        if failed:
            return 409, {"failed": failed, "logline": self.revision}
        if not apply:
            return 200, {"logline": self.revision}
        revision, events = self.revision + 1, []
        for change in apply:
            if "set" in change:
                self.keys[change["set"]] = (change["data"], revision, change.get("tether"))
                events.append({"set": change["set"], "data": change["data"]})
                if change["set"] == "live/leader":
                    self.claims[revision] = change["data"]["node"]
            elif self.keys.pop(change["delete"], None) is not None:
                events.append({"delete": change["delete"]})
        self._bump(events)
        return 200, {"logline": revision}


# Workers


class Task:
    def __init__(self, job, attempt, index):
        self.job, self.attempt, self.index = job, attempt, index
        self.state, self.why, self.kept = "pulling", None, False
        self.on_machine = False
        self.ends_at = None

    def exit(self, why, kept=False):
        self.state, self.why, self.kept = "exited", why, kept

    def entry(self):
        entry = {"string": f"{self.job['uid']}/{self.index}", "try": self.attempt, "attitude": self.state}
        if self.why:
            entry["downcause"] = self.why
            if self.kept:
                entry["kept"] = True
        return entry


class Worker:
    def __init__(self, world, name, frame, field, gusts):
        self.world, self.name, self.frame, self.field, self.gusts = world, name, frame, field, gusts
        self.size = world.frames[frame]
        self.session, self.seq, self.token = 1, 0, 0
        self.tasks = {}
        self.images = {}  # name: time from which it is cached
        self.lease_from = now()
        self.gone = False
        self.hung = False
        self.reachable = lambda node: True  # from this worker to a node
        self.reports_late = None  # delays with which its reports arrive, after it has given up
        self.directs_held = None  # list of held requests while direct commands are held
        self.wake = asyncio.Event()
        self.node = random.randrange(len(world.nodes))
        self.connection = None
        self.resume = asyncio.Event()
        self.resume.set()
        self.recall_at = None
        self.rejected = 0
        self.largest = 0
        self.expired = 0

    async def start(self):
        self.server, self.port = await serve_http(self.handle)
        self.world.spawn(self.report_loop())
        self.world.spawn(self.run_loop())

    def report(self):
        self.seq += 1
        return {
            "perch": self.name,
            "endpoint": f"127.0.0.1:{self.port}",
            "frame": self.frame,
            "field": self.field,
            "gusts": self.gusts,
            "launch": self.session,
            "tick": self.seq,
            "handle": self.token,
            "recall_s": None if self.recall_at is None else max(0.0, self.recall_at - now()),
            "strings": [task.entry() for task in self.tasks.values()],
        }

    def expire_lease(self):
        if now() > self.lease_from + self.world.workers["lease_s"]:
            lost = [t for t in self.tasks.values()]
            done = sum(1 for t in lost if t.why == "done")
            if lost:
                self.expired += 1
                self.world.record(
                    "worker", self.name, "lease expired in session", self.session, "with", len(lost),
                    "tasks, of which done and not forgotten:", done,
                )
            for task in lost:
                self.world.left(self, task, "lease")
            self.tasks = {}
            self.session += 1
            self.seq = 0
            self.lease_from = now()

    async def handle(self, method, path, query, body):
        if self.gone:
            await asyncio.sleep(30)
            return None
        request = json.loads(body) if body else {}
        cut = self.world.cut_between(self, self.world.state.claims.get(request.get("handle", 0) >> 16))
        if cut is not None:
            await cut.wait()
        if self.directs_held is not None:
            gate = asyncio.Event()
            self.directs_held.append(gate)
            await gate.wait()
        await self.resume.wait()
        if self.gone:
            await asyncio.sleep(30)
            return None
        self.expire_lease()
        if path == "/show":
            return 200, self.report()
        if "handle" not in request or "launch" not in request:
            return 400, {}
        if request["handle"] < self.token or request["launch"] != self.session:
            return 409, self.report()
        if request["handle"] > self.token:
            self.token = request["handle"]
        self.execute(request.get("signals", []), "direct")
        self.wake.set()
        return 200, self.report()

    def used(self):
        live = [t.job for t in self.tasks.values() if t.state != "exited"]
        return tuple(sum(job[k] for job in live) for k in ("cpus", "gpus", "mem_gb"))

    def execute(self, signals, path):
        changed = False
        for signal_ in signals:
            key = (signal_["string"], signal_["try"])
            kind = signal_["signal"]
            if kind == "start":
                if key in self.tasks:
                    continue
                changed = True
                uid, index = signal_["string"].rsplit("/", 1)
                job = self.world.jobs.get(uid)
                if job is None:
                    task = Task({"uid": uid, "cpus": 0, "gpus": 0, "mem_gb": 0}, signal_["try"], int(index))
                    task.exit("no_such")
                    self.tasks[key] = task
                    self.world.note_unknown(self, signal_)
                    continue
                task = Task(job, signal_["try"], int(index))
                busy = any(k[0] == key[0] and t.state != "exited" for k, t in self.tasks.items())
                used = self.used()
                fits = all(
                    u + job[k] <= self.size[k] + 1e-6
                    for u, k in zip(used, ("cpus", "gpus", "mem_gb"))
                )
                if busy:
                    task.exit("in_use")
                elif not fits:
                    task.exit("no_room")
                else:
                    self.images.setdefault(job["sail"], now() + job["size_gb"] / self.size["fetch_gb_per_s"])
                self.tasks[key] = task
                self.world.record("start", signal_["string"], "try", signal_["try"], "on", self.name,
                                  "by", path, task.why or "")
            elif kind == "kill":
                task = self.tasks.get(key)
                if task is None or task.state == "exited":
                    continue
                changed = True
                if self.world.on_kill is not None:
                    self.world.on_kill(self, task)
                self.world.record("kill", signal_["string"], "try", signal_["try"], "on", self.name)
                if (task.state == "running" and task.job["tether_s"] > 0
                        and signal_.get("glide_s", 0) >= task.job["reel_s"]):
                    task.state, task.ends_at = "saving", now() + task.job["reel_s"]
                elif task.state == "saving" and signal_.get("glide_s", 0) > 0:
                    pass
                else:
                    self.world.left(self, task, "killed")
                    task.exit("halted")
            elif kind == "reap":
                task = self.tasks.get(key)
                if task is not None and task.state == "exited":
                    del self.tasks[key]
                    changed = True
        if changed:
            self.advance()
            self.wake.set()

    def advance(self):
        """Advances the tasks; returns whether anything changed."""
        changed = False
        t = now()
        for task in list(self.tasks.values()):
            job = task.job
            if task.state == "pulling" and t >= self.images[job["sail"]]:
                changed = True
                string = f"{job['uid']}/{task.index}"
                if string in self.world.results:
                    task.exit("done")
                    continue
                self.world.arrived(self, task)
                if job["shape"] == "group":
                    task.state, task.ends_at = "waiting", t + self.world.workers["gang_wait_s"]
                    self.world.gang(job, task.attempt)
                else:
                    self.run(task)
            elif task.state == "running" and task.ends_at is not None and t >= task.ends_at:
                changed = True
                self.world.left(self, task, "done" if job.get("fails") is None else "error")
                if job.get("fails") is None:
                    self.world.completed(self, task)
                    task.exit("done")
                else:
                    task.exit("error")
            elif task.state == "waiting" and t >= task.ends_at:
                changed = True
                self.world.left(self, task, "incomplete")
                task.exit("incomplete")
            elif task.state == "saving" and t >= task.ends_at:
                changed = True
                self.world.left(self, task, "saved")
                task.exit("halted", True)
        return changed

    def run(self, task):
        task.state = "running"
        job = task.job
        task.ends_at = None if job["shape"] == "standing" else now() + job["run_s"]
        self.wake.set()

    async def run_loop(self):
        while not self.gone:
            if self.hung:
                # It does nothing, and may go on only within its lease.
                if self.tasks:
                    self.expire_lease()
                await asyncio.sleep(0.05)
                continue
            self.expire_lease()
            if self.advance():
                self.wake.set()
            await asyncio.sleep(0.05)

    async def report_loop(self):
        """Reports regularly, and on changes at most every half second."""
        interval = self.world.workers["report_s"]
        last = 0.0
        while not self.gone:
            pause = interval * random.uniform(0.75, 1.25)
            try:
                await asyncio.wait_for(self.wake.wait(), max(0.0, last + pause - now()))
            except asyncio.TimeoutError:
                pass
            await asyncio.sleep(max(0.0, last + 0.5 - now()))
            await self.resume.wait()
            self.wake.clear()
            if self.gone:
                break
            last = now()
            await self.send_report()

    async def send_report(self):
        self.expire_lease()
        sent, session = now(), self.session
        data = json.dumps(self.report(), separators=(",", ":")).encode()
        self.largest = max(self.largest, len(data))
        node = self.world.nodes[self.node]
        if self.connection is None or self.connection.port != node.api_port:
            if self.connection is not None:
                self.connection.close()
            self.connection = Connection(node.api_port)
        cut = self.world.cut_between(self, node.label)
        if cut is not None:
            # Held back in the network, and delivered in order after the interruption.
            self.world.spawn(self.send_after(cut, node.api_port, data))
            await asyncio.sleep(4.0)
            answer = None
        elif self.reports_late is not None:
            delay = random.choice(self.reports_late)
            self.world.spawn(self.send_late(node.api_port, data, delay))
            await asyncio.sleep(4.0)
            answer = None
        elif self.reachable(self.node):
            answer = await self.connection.request("POST", "/checkin", data, 4.0)
        else:
            await asyncio.sleep(4.0)
            answer = None
        if not self.reachable(self.node):
            answer = None
        await self.resume.wait()
        if self.gone:
            return
        status, value, _ = answer or (0, None, None)
        if status == 200 and self.session == session and now() <= sent + 4.0:
            token = value.get("handle")
            if token is None or token < self.token:
                self.world.record("worker", self.name, "dropped an answer with a lower token")
                return
            if token > self.token:
                self.token = token
                self.wake.set()
            self.lease_from = max(self.lease_from, sent)
            self.expire_lease()
            self.execute(value.get("signals", []), "answer")
        elif status == 200:
            pass
        elif status == 421 and isinstance(value, dict) and self.world.index_of(value.get("spotter")) not in (None, self.node):
            self.connection.close()
            self.node = self.world.index_of(value["spotter"])
            await asyncio.sleep(random.uniform(0, 0.4))
            self.wake.set()
        else:
            if status not in (0, 421, 503):
                self.rejected += 1
                self.world.record("worker", self.name, "report of", len(data), "bytes and",
                                  len(self.tasks), "tasks answered", status, value)
            self.connection.close()
            self.node = (self.node + 1) % len(self.world.nodes)
            await asyncio.sleep(1.0)
            self.wake.set()

    async def send_after(self, cut, port, data):
        await cut.wait()
        await once(port, "POST", "/checkin", data, 4.0)

    async def send_late(self, port, data, delay):
        await asyncio.sleep(delay)
        await once(port, "POST", "/checkin", data, 4.0)

    def hang(self, hung):
        self.hung = hung
        if hung:
            self.resume.clear()
        else:
            self.resume.set()


# Controllers


class Node:
    def __init__(self, world, index):
        self.world, self.index, self.label = world, index, f"perch-{index}"
        self.process = None
        self.stopped = False

    async def start(self):
        self.log = open(os.path.join(self.world.folder, f"{self.label}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *self.world.command, self.settings_path, stdout=self.log, stderr=self.log,
            env={**os.environ, "LOG_LEVEL": self.world.log_level}, cwd=ROOT,
        )
        self.world.record("node", self.label, "started, process", self.process.pid)

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.world.record("node", self.label, "gets", signal.Signals(number).name)
            self.process.send_signal(number)

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.signal(signal.SIGKILL)
            await self.process.wait()

    def rss_mb(self):
        try:
            with open(f"/proc/{self.process.pid}/status") as f:
                for line in f:
                    if line.startswith("VmRSS"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0


def free_ports(count):
    """Free ports below the range from which outgoing connections take theirs: a controller binds
    its ports a little later."""
    sockets, source = [], random.SystemRandom()
    while len(sockets) < count:
        s = socket.socket()
        try:
            s.bind(("127.0.0.1", source.randrange(15_000, 30_000)))
            sockets.append(s)
        except OSError:
            s.close()
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class Relay:
    """TCP relay for the connections from one controller to another. While it holds, it delivers
    nothing; afterwards it delivers everything in order."""

    def __init__(self, target):
        self.target = target
        self.open = asyncio.Event()
        self.open.set()

    async def start(self):
        self.server = await asyncio.start_server(self.connection, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def hold(self, held):
        self.open.clear() if held else self.open.set()

    async def connection(self, reader, writer):
        try:
            await self.open.wait()
            out_reader, out_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.close()
            return

        async def pump(source, sink):
            try:
                while True:
                    data = await source.read(65536)
                    await self.open.wait()
                    if not data:
                        break
                    sink.write(data)
                    await sink.drain()
            except OSError:
                pass
            finally:
                sink.close()

        await asyncio.gather(pump(reader, out_writer), pump(out_reader, writer))


class World:
    """All stand-ins of one run, and what they saw."""

    def __init__(self, record, *, nodes=3, frames, fields, teams, workers, state, cloud, resources,
                 objectives=(), command=None, log_level="info"):
        self.record = record
        self.frames = {f["label"]: f for f in frames}
        self.fields, self.teams, self.workers = fields, {t["name"]: t for t in teams}, workers
        self.state_limits, self.cloud_limits, self.resources = state, cloud, resources
        self.objectives = list(objectives)
        self.state = StateService(state)
        self.nodes = [Node(self, i) for i in range(nodes)]
        self.machines = {}
        self.listed = []  # (time, name) rented
        self.deleted = {}
        self.next_machine = 0
        self.charters = {}
        self.capacity = {}  # (frame, field, gusts): machines that may still be rented
        self.jobs = {}
        self.results = set()
        self.cancelled = {}  # uid: time of the answer
        self.accepted = {}
        self.broken = []
        self.tasks_running = []
        self.where = {}  # string: {worker name: task}
        self.usage = {}
        self.ran = {}  # string: number of completions
        self.cloud_down = False
        self.command = command or deploy_command()
        self.log_level = log_level
        self.folder = tempfile.mkdtemp(prefix="kiteyard-review-")
        self.max_usage = {}

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks_running.append(task)
        return task

    def index_of(self, label):
        for node in self.nodes:
            if node.label == label:
                return node.index
        return None

    def cut_between(self, worker, label):
        """The event that ends the cut between a worker and a node, or None without one."""
        if self.cut_field is None or label is None:
            return None
        inside = self.fields[self.index_of(label) % len(self.fields)] == self.cut_field
        return None if inside == (worker.field == self.cut_field) else self.cut_end

    def cut(self, field):
        """Cuts a zone off from everything: its machines and controllers reach only one another."""
        self.cut_field, self.cut_end = field, asyncio.Event()
        inside = [n.index for n in self.nodes if self.fields[n.index % len(self.fields)] == field]
        self.state.silent.update(inside)
        for (a, b), relay in self.relays.items():
            if (a in inside) != (b in inside):
                relay.hold(True)
        for index in inside:
            self.nodes[index].stopped = True  # users do not reach it either
        self.record("zone", field, "is cut off, with controllers", inside)

    def heal(self):
        self.state.silent.clear()
        for relay in self.relays.values():
            relay.hold(False)
        for node in self.nodes:
            node.stopped = False
        self.cut_field = None
        self.cut_end.set()
        self.record("the zone is reached again")

    cut_field = cut_end = None
    on_kill = None  # called with the worker and the task before a `kill` is executed

    def violate(self, rule, *words):
        text = " ".join(str(w) for w in words)
        self.broken.append((rule, text))
        self.record.say("BROKEN", rule, text)

    # What tasks do.

    def arrived(self, worker, task):
        """A task has its image: it is on the machine from now on."""
        job, string = task.job, f"{task.job['uid']}/{task.index}"
        task.on_machine = True
        others = {w: t for w, t in self.where.get(string, {}).items() if w != worker.name}
        if others:
            self.violate("ran_twice", string, "starts on", worker.name, "try", task.attempt, "while on", list(others))
        self.where.setdefault(string, {})[worker.name] = task
        cancelled = self.cancelled.get(job["uid"])
        if cancelled is not None and now() > cancelled + self.workers["cancel_s"]:
            self.violate("ran_cancelled", string, "starts", round(now() - cancelled, 1), "s after cancellation")
        allowed = ((not job.get("frames") or worker.frame in job["frames"])
                   and (not job.get("field") or job["field"] == worker.field)
                   and (job["gusts"] or not worker.gusts))
        if not allowed:
            self.violate("wrong_place", string, "on", worker.name)
        fields = [self.machines[w].field for s, ws in self.where.items() if s.rsplit("/", 1)[0] == job["uid"]
                  for w in ws] if (job["same_place"] or job["spread"]) else []
        if job["same_place"] and len(set(fields)) > 1:
            self.violate("wrong_place", string, "same_place in", sorted(set(fields)))
        if job["spread"] and max((fields.count(f) for f in set(fields)), default=0) > (job["strings"] + 1) // 2:
            self.violate("wrong_place", string, "spread in", fields)
        usage = self.usage.setdefault(job["crew"], [0.0, 0.0])
        usage[0] += job["cpus"]
        usage[1] += job["gpus"]
        team = self.teams[job["crew"]]
        best = self.max_usage.setdefault(job["crew"], [0.0, 0.0])
        best[0], best[1] = max(best[0], usage[0]), max(best[1], usage[1])
        for at, limit in ((0, team["cpus_max"]), (1, team["gpus_max"])):
            if limit > 0 and usage[at] > limit + 1e-6:
                self.violate("quota", job["crew"], "uses", usage[at], "of", limit)

    def left(self, worker, task, why):
        if not task.on_machine:
            return
        task.on_machine = False
        string = f"{task.job['uid']}/{task.index}"
        if why != "done":
            self.record("end", string, "try", task.attempt, "on", worker.name, why)
        self.where.get(string, {}).pop(worker.name, None)
        if not self.where.get(string):
            self.where.pop(string, None)
        usage = self.usage.setdefault(task.job["crew"], [0.0, 0.0])
        usage[0] -= task.job["cpus"]
        usage[1] -= task.job["gpus"]

    def completed(self, worker, task):
        string = f"{task.job['uid']}/{task.index}"
        self.results.add(string)
        if task.job["shape"] == "group":
            for index in range(task.job["strings"]):
                self.results.add(f"{task.job['uid']}/{index}")
        self.ran[string] = self.ran.get(string, 0) + 1
        self.record("done", string, "try", task.attempt, "on", worker.name)

    def gang(self, job, attempt):
        members = [(w, t) for w in self.machines.values() for t in w.tasks.values()
                   if t.job["uid"] == job["uid"] and t.attempt == attempt and t.state == "waiting"]
        if len(members) == job["strings"]:
            for worker, task in members:
                worker.run(task)

    def note_unknown(self, worker, signal_):
        self.violate("invented", "start of", signal_["string"], "which nobody submitted")

    async def check_cancelled(self):
        """Judges `ran_cancelled` for tasks that are still on a machine."""
        told = set()
        while True:
            await asyncio.sleep(0.1)
            for uid, at in self.cancelled.items():
                if uid in told or now() <= at + self.workers["cancel_s"]:
                    continue
                still = [s for s in self.where if s.rsplit("/", 1)[0] == uid]
                if still:
                    told.add(uid)
                    self.violate("ran_cancelled", still[:3], "on", [list(self.where[s]) for s in still[:3]],
                                 "after", self.workers["cancel_s"], "s")

    # Cloud

    async def rent(self, frame, field, gusts, boot_s=None):
        self.next_machine += 1
        name = f"vm-{self.next_machine:06}"
        worker = Worker(self, name, frame, field, gusts)
        self.machines[name] = worker
        worker.rented_at = now()
        worker.up_at = now() + (self.frames[frame]["boot_s"] if boot_s is None else boot_s)
        self.spawn(self.boot(worker))
        return name

    async def boot(self, worker):
        await asyncio.sleep(max(0.0, worker.up_at - now()))
        if not worker.gone:
            worker.lease_from = now()
            await worker.start()

    def remove(self, name, why):
        worker = self.machines.get(name)
        if worker is None or worker.gone:
            return
        worker.gone = True
        worker.gone_at = now()
        for task in worker.tasks.values():
            self.left(worker, task, why)
        worker.tasks = {}
        worker.resume.set()
        self.record("machine", name, "gone:", why)

    def cloud_handler(self, node):
        async def handle(method, path, query, body):
            await asyncio.sleep(0.05)
            if self.cloud_down:
                return 503, {"error": "trouble"}
            if path == "/flavors":
                return 200, {"frames": list(self.frames.values())}
            if path == "/hosts" and method == "GET":
                at = now() - self.cloud_limits["list_lag_s"]
                listed = []
                for name in sorted(self.machines):
                    w = self.machines[name]
                    if name <= query.get("after", "") or w.rented_at > at or (w.gone and w.gone_at <= at):
                        continue
                    port = getattr(w, "port", 1)
                    listed.append({"uid": name, "endpoint": f"127.0.0.1:{port}", "frame": w.frame,
                                   "field": w.field, "gusts": w.gusts,
                                   "attitude": "running" if w.up_at <= at else "starting",
                                   "age_s": at - w.rented_at})
                return 200, {"perches": listed[:500], "more": len(listed) > 500}
            request = json.loads(body)
            if path == "/hosts":
                if request["charter"] in self.charters:
                    return 200, {"perches": self.charters[request["charter"]]}
                kind = (request["frame"], request["field"], request["gusts"])
                count = min(request["how_many"], self.capacity.get(kind, 0))
                if request["how_many"] > 50:
                    return 400, {"error": "malformed"}
                if count == 0:
                    return 503, {"error": "no capacity"}
                self.capacity[kind] -= count
                names = [await self.rent(*kind) for _ in range(count)]
                self.charters[request["charter"]] = names
                self.record("cloud: rented", names, "for", request["charter"])
                return 200, {"perches": names}
            if path == "/hosts/release":
                if len(request["perches"]) > 100:
                    return 400, {"error": "malformed"}
                for name in request["perches"]:
                    w = self.machines.get(name)
                    if w is not None and not w.gone:
                        self.capacity[(w.frame, w.field, w.gusts)] = self.capacity.get((w.frame, w.field, w.gusts), 0) + 1
                    self.remove(name, f"released by {node}")
                return 200, {}
            return 400, {"error": "malformed"}

        return handle

    # Controllers

    async def start(self, machines):
        """Starts stand-ins, machines [(frame, field, gusts)], and the controllers."""
        ports = free_ports(2 * len(self.nodes))
        for node in self.nodes:
            node.api_port, node.peer_port = ports[2 * node.index], ports[2 * node.index + 1]
        self.relays = {}
        for a in self.nodes:
            for b in self.nodes:
                if a is not b:
                    relay = Relay(b.peer_port)
                    await relay.start()
                    self.relays[(a.index, b.index)] = relay
        for node in self.nodes:
            _, state_port = await serve_http(self.state.handler(node.index))
            _, cloud_port = await serve_http(self.cloud_handler(node.label))
            settings = {
                "label": node.label,
                "site": self.fields[node.index % len(self.fields)],
                "api_addr": f"127.0.0.1:{node.api_port}",
                "cluster_listen": f"127.0.0.1:{node.peer_port}",
                "known": [
                    {"label": other.label, "site": self.fields[other.index % len(self.fields)],
                     "peer_addr": f"127.0.0.1:{self.relays[(node.index, other.index)].port}"}
                    for other in self.nodes if other is not node
                ],
                "outside": {"cloud": f"127.0.0.1:{cloud_port}", "state": f"127.0.0.1:{state_port}"},
                "params": {
                    "initial_size": len(self.nodes),
                    "zones": sorted(self.fields),
                    "teams": list(self.teams.values()),
                    "objectives": self.objectives,
                    "workers": self.workers,
                    "state": self.state_limits,
                    "cloud": self.cloud_limits,
                    "resources": self.resources,
                    "time_bound_ms": 100.0,
                },
            }
            node.settings_path = os.path.join(self.folder, f"{node.label}.json")
            with open(node.settings_path, "w") as f:
                json.dump(settings, f)
        self.spawn(self.state.expire())
        self.spawn(self.check_cancelled())
        for frame, field, gusts in machines:
            await self.rent(frame, field, gusts, boot_s=0.0)
        for node in self.nodes:
            await node.start()

    async def wait_ready(self, seconds=30.0):
        until = now() + seconds
        while now() < until:
            ready = 0
            for node in self.nodes:
                answer = await once(node.api_port, "GET", "/ready", None, 1.0)
                ready += answer is not None and answer[0] == 200
            if ready == len(self.nodes):
                return True
            await asyncio.sleep(0.2)
        return False

    def leader(self):
        """The node that holds the leader key, by the state service."""
        entry = self.state.keys.get("live/leader")
        return None if entry is None else self.index_of(entry[0]["node"])

    async def wait_leader(self, seconds=20.0):
        until = now() + seconds
        while now() < until:
            if self.leader() is not None:
                return self.leader()
            await asyncio.sleep(0.1)
        return None

    async def stop(self):
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                try:
                    node.process.send_signal(signal.SIGCONT)
                    node.process.kill()
                except ProcessLookupError:
                    pass
                await node.process.wait()
        for task in self.tasks_running:
            task.cancel()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    # Users

    def job(self, uid, **fields):
        job = {
            "uid": uid, "flight": "work", "crew": next(iter(self.teams)), "shape": "array",
            "lift": "standard", "strings": 1, "cpus": 1.0, "gpus": 0.0, "mem_gb": 1.0, "sail": "img-01",
            "size_gb": 0.1, "frames": None, "field": None, "same_place": False, "spread": False,
            "gusts": True, "airtime_s": 1.0, "tether_s": 0.0, "reel_s": 0.0, "landby_s": None,
        }
        run_s = fields.pop("run_s", None)
        fails = fields.pop("fails", None)
        job.update(fields)
        self.jobs[uid] = {**job, "run_s": job["airtime_s"] if run_s is None else run_s, "fails": fails}
        return job

    def pick(self):
        live = [n for n in self.nodes if n.process is not None and n.process.returncode is None and not n.stopped]
        return random.choice(live or self.nodes)

    async def submit(self, job, seconds=60.0, node=None):
        """Submits as a user does: retried for up to 60 s. Returns the final status."""
        until = now() + seconds
        status = None
        while True:
            target = node or self.pick()
            answer = await once(target.api_port, "POST", "/work", job, 5.0)
            status = None if answer is None else answer[0]
            self.record("user: submit", job["uid"], "at", target.label, "->", status,
                        None if answer is None else answer[1])
            if status in (200, 201):
                self.accepted.setdefault(job["uid"], now())
                return status
            if status in (400, 422):
                if job["uid"] in self.accepted:
                    self.violate("forgotten", job["uid"], "resubmitted, answered", status)
                return status
            pause = 1.0
            if answer is not None:
                pause = max(pause, min(30.0, float(answer[2].get("retry-after", 0))))
            if now() + pause > until:
                return status
            await asyncio.sleep(pause)

    async def poll(self, uid, node=None):
        target = node or self.pick()
        asked = now()
        final_before = self.final.get(uid) if hasattr(self, "final") else None
        if not hasattr(self, "final"):
            self.final = {}
        answer = await once(target.api_port, "GET", f"/work/{uid}", None, 2.0)
        if answer is None:
            return None
        status, value, _ = answer
        if status == 404 and uid in self.accepted and self.accepted[uid] < asked:
            self.violate("forgotten", uid, "accepted, answered 404 by", target.label)
        if status == 200 and uid not in self.jobs:
            self.violate("invented", uid)
        if status == 200:
            attitude = value["attitude"]
            if final_before and attitude != final_before:
                self.violate("went_back", uid, "was", final_before, "now", attitude, "at", target.label)
            if attitude == "cancelled" and uid not in self.withdrawing:
                self.violate("went_back", uid, "cancelled, by no user")
            if attitude == "done":
                self.judge_done(uid, target)
            if attitude in ("done", "cancelled"):
                self.final.setdefault(uid, attitude)
        return status, value

    withdrawing = set()

    def judge_done(self, uid, target):
        job = self.jobs[uid]
        missing = [i for i in range(job["strings"]) if f"{uid}/{i}" not in self.results]
        if missing:
            self.violate("not_done", uid, "called done by", target.label, "without", missing[:5])

    async def withdraw(self, uid, seconds=60.0):
        if not hasattr(self, "final"):
            self.final = {}
        until = now() + seconds
        self.withdrawing.add(uid)
        while True:
            target = self.pick()
            answer = await once(target.api_port, "POST", f"/work/{uid}/withdraw", None, 5.0)
            self.record("user: withdraw", uid, "at", target.label, "->", answer and answer[:2])
            if answer is not None and answer[0] == 200:
                attitude = answer[1]["attitude"]
                if attitude == "cancelled":
                    self.cancelled.setdefault(uid, now())
                elif attitude == "done":
                    self.judge_done(uid, target)
                self.final.setdefault(uid, attitude)
                return attitude
            if now() + 1.0 > until:
                return None
            await asyncio.sleep(1.0)

    async def wait_done(self, uid, seconds):
        until = now() + seconds
        while now() < until:
            answer = await self.poll(uid)
            if answer and answer[0] == 200 and answer[1]["attitude"] in ("done", "cancelled"):
                self.record("user: poll", uid, "->", answer[1])
                return answer[1]["attitude"]
            await asyncio.sleep(1.0)
        answer = await self.poll(uid)
        self.record("user: poll", uid, "->", answer)
        return answer[1]["attitude"] if answer and answer[0] == 200 else None


def deploy_command():
    """The command of the deploy file, without the path of the settings."""
    with open(os.path.join(ROOT, "deploy", "service.toml")) as f:
        for line in f:
            if line.startswith("run"):
                words = line.split("=", 1)[1].strip().strip('"').split()
                return [os.path.join(ROOT, words[0])] + words[1:]
    raise SystemExit("no run line in the deploy file")


def pilbara(record, **changes):
    """Settings like those of the pilbara-noms deployment at its small size."""
    settings = dict(
        nodes=3,
        fields=["perth-north", "perth-east", "karratha-edge"],
        frames=[
            {"label": "wellhead-small", "cpus": 8.0, "gpus": 0.0, "mem_gb": 64.0, "local_gb": 25.0,
             "fetch_gb_per_s": 0.3, "hourly": 0.54, "market_price": 0.19, "boot_s": 30.0,
             "fields": ["karratha-edge", "perth-east", "perth-north"]},
            {"label": "compressor-large", "cpus": 64.0, "gpus": 0.0, "mem_gb": 512.0, "local_gb": 35.0,
             "fetch_gb_per_s": 0.3, "hourly": 4.02, "market_price": 1.31, "boot_s": 15.0,
             "fields": ["karratha-edge", "perth-east", "perth-north"]},
        ],
        teams=[
            {"name": "nominations-desk", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0},
            {"name": "curtin-hydraulics", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0},
        ],
        workers={"report_s": 0.8, "lease_s": 10.0, "gang_wait_s": 30.0, "gang_peer_s": 5.0, "cancel_s": 30.0},
        state={"rps": 80.0, "write_rps": 30.0, "value_kb": 16.0, "txn_ops": 16},
        cloud={"rps": 8.0, "list_lag_s": 10.0},
        resources={"cpu_share": 0.2, "memory_mb": 40.0, "sockets": 700},
    )
    settings.update(changes)
    return World(record, **settings)


def cielo(record, **changes):
    """Settings like those of the cielo-archivo deployment at its small size."""
    fields = ["heredia-a", "heredia-b", "cartago-main", "guanacaste-dr"]
    settings = dict(
        nodes=3,
        fields=fields,
        frames=[
            {"label": "quetzal-node", "cpus": 4.0, "gpus": 0.0, "mem_gb": 16.0, "local_gb": 40.0,
             "fetch_gb_per_s": 0.15, "hourly": 0.16, "market_price": 0.07, "boot_s": 25.0, "fields": fields},
        ],
        teams=[
            {"name": "archive-ops", "cpus": 40.0, "cpus_max": 128.0, "gpus": 0.0, "gpus_max": 0.0},
            {"name": "customer-care", "cpus": 64.0, "cpus_max": 184.0, "gpus": 0.0, "gpus_max": 0.0},
        ],
        workers={"report_s": 2.0, "lease_s": 10.0, "gang_wait_s": 30.0, "gang_peer_s": 5.0, "cancel_s": 40.0},
        state={"rps": 80.0, "write_rps": 20.0, "value_kb": 16.0, "txn_ops": 16},
        cloud={"rps": 4.0, "list_lag_s": 6.0},
        resources={"cpu_share": 0.12, "memory_mb": 72.0, "sockets": 1500},
    )
    settings.update(changes)
    return World(record, **settings)


def pigrun(record, **changes):
    """Settings like those of the pigrun-integrity deployment at its small size."""
    fields = ["kwinana-core", "pilbara-south", "geraldton-west"]
    settings = dict(
        nodes=3,
        fields=fields,
        frames=[
            {"label": "gpu-wide-64", "cpus": 64.0, "gpus": 8.0, "mem_gb": 384.0, "local_gb": 150.0,
             "fetch_gb_per_s": 0.25, "hourly": 27.74, "market_price": 9.91, "boot_s": 25.0, "fields": fields},
        ],
        teams=[
            {"name": "integrity-analytics", "cpus": 0.0, "cpus_max": 0.0, "gpus": 104.0, "gpus_max": 272.0},
            {"name": "field-pigging", "cpus": 0.0, "cpus_max": 0.0, "gpus": 40.0, "gpus_max": 152.0},
            {"name": "defect-review", "cpus": 0.0, "cpus_max": 0.0, "gpus": 80.0, "gpus_max": 232.0},
        ],
        workers={"report_s": 8.0, "lease_s": 42.0, "gang_wait_s": 40.0, "gang_peer_s": 4.0, "cancel_s": 67.0},
        state={"rps": 250.0, "write_rps": 50.0, "value_kb": 32.0, "txn_ops": 16},
        cloud={"rps": 8.0, "list_lag_s": 5.0},
        resources={"cpu_share": 0.24, "memory_mb": 200.0, "sockets": 3500},
    )
    settings.update(changes)
    return World(record, **settings)


def main(case, path, seconds=118.0):
    """Runs `case(record, trouble)`, which returns None if it held, or a reason why not."""
    record = Record(os.path.join(path, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say("trouble:", "on" if trouble else "off")

    async def run():
        # An early end still ends the controllers.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            return await asyncio.wait_for(case(record, trouble), seconds)
        finally:
            for connection in list(Connection.live):
                connection.close()
            await asyncio.sleep(0.2)

    try:
        broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:  # The case could not run.
        record.say("could not run:", type(error).__name__, error)
        record.close()
        sys.exit(2)
    record.say("rule broken: " + broken if broken else "rule held")
    record.close()
    sys.exit(1 if broken else 0)
