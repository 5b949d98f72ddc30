"""Stand-ins of the users' platform on loopback: store, hosts, clients, routers and machines.

Everything runs in one asyncio process on the real clock. The balancers are started as
separate processes with the command of deploy/system.toml. The stand-ins follow PROTOCOL.md
and DEPLOY.md of the users' pages; where these are silent, they behave like sound parts.
"""
import asyncio, base64, heapq, json, os, random, re, shutil, signal, socket, struct, subprocess, tempfile
import time, tomllib, zlib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

REPO = Path(__file__).resolve().parents[2]
SYN, ACK, FIN, RST = 16, 64, 32, 1
HEAD = struct.Struct(">IHIHIIB3xHII")  # dst dport src sport sum echo flags pad len seq ack
MASK = 0xFFFFFFFF
STABLE_WINDOW_S = 4.0  # stableWindowMs of the small deployments
CLIENT_MS = 3.0  # one way, as on the sheets of the small deployments


def ip_number(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


def keyed_sum(dst, dport, src, sport, flags, seq, ack, data):
    head = struct.pack(">IHIHBHII", dst, dport, src, sport, flags & ~2, len(data), seq, ack)
    return zlib.crc32(data, zlib.crc32(b"stand-in key" + head)) or 1


def packet(dst, dport, src, sport, echo, flags, seq, ack, data=b""):
    seq &= MASK
    ack &= MASK
    return HEAD.pack(dst, dport, src, sport, keyed_sum(dst, dport, src, sport, flags, seq, ack, data),
                     echo, flags, len(data), seq, ack) + data


class Record:
    """What was sent, answered and run, one line each, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1 << 16)
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def __call__(self, *words):
        self.file.write(f"{self.now():8.3f} " + " ".join(str(word) for word in words) + "\n")

    def close(self):
        self.file.close()


async def serve_http(address, answer):
    """Serves HTTP/1.1; answer(method, path, query, body) returns (status, headers, body) or None."""

    async def connection(reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                fields = dict((k.strip().lower(), v.strip()) for k, v in
                              (line.split(":", 1) for line in lines[1:] if ":" in line))
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
                reply = await answer(method, url.path, query, body)
                if reply is None:
                    break
                status, headers, text = reply
                keep = fields.get("connection", "").lower() != "close"
                out = f"HTTP/1.1 {status} X\r\nContent-Length: {len(text)}\r\n"
                out += "".join(f"{k}: {v}\r\n" for k, v in headers.items())
                out += "" if keep else "Connection: close\r\n"
                writer.write(out.encode() + b"\r\n" + text)
                await writer.drain()
                if not keep:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, address[0], address[1], backlog=512)


class Store:
    """The platform's metadata store: linearizable, one revision counter, a history, watches."""

    def __init__(self, address):
        self.address, self.items, self.history, self.rev, self.lowest = address, {}, [], 100, 100
        self.changed = asyncio.Event()
        self.era = 1
        self.page = 500
        self.delay = 0.004
        self.fault = None  # called with (peer-independent) method, path; returns a reply or "silent"

    async def start(self):
        self.server = await serve_http(self.address, self.answer)

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value):
        self.rev += 1
        created = self.items[key][2] if key in self.items else self.rev
        self.items[key] = (value, self.rev, created)
        self.history.append((self.rev, key, value))
        self.wake()

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.rev += 1
            self.history.append((self.rev, key, None))
            self.wake()

    def row(self, key):
        value, rev, created = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "rev": rev, "created": created, "lease": 0}

    async def answer(self, method, path, query, body):
        await asyncio.sleep(self.delay)
        if self.fault:
            reply = self.fault(method, path)
            if reply == "silent":
                await asyncio.sleep(3600)
            if reply:
                return reply
        status, document = await self.call(method, path, query, body)
        headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
        return status, headers, json.dumps(document).encode()

    async def call(self, method, path, query, body):
        if (method, path) == ("GET", "/kv-key"):
            key = query.get("key", "")
            return (200, {**self.row(key), "currentRev": self.rev}) if key in self.items else (404, {})
        if (method, path) == ("GET", "/kv-range"):
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {"items": [self.row(k) for k in keys[:self.page]],
                         "hasMore": len(keys) > self.page,
                         "currentRev": self.rev}
        if (method, path) == ("GET", "/kv-watch"):
            prefix, after = query.get("prefix", ""), int(query["after"])
            until = time.monotonic() + int(query["waitMs"]) / 1000
            while True:
                if after < self.lowest or after > self.rev:
                    return 410, {}
                events = []
                for rev, key, value in reversed(self.history):
                    if rev <= after:
                        break
                    if key.startswith(prefix):
                        events.append({"key": key, "rev": rev, "deleted": True} if value is None else
                                      {"key": key, "value": base64.b64encode(value).decode(), "rev": rev,
                                       "created": rev, "lease": 0})
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events[::-1], "currentRev": self.rev}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if (method, path) == ("POST", "/kv-txn"):
            call = json.loads(body)
            rows = call.get("expectRev", [])
            if any((self.items[r["key"]][1] if r["key"] in self.items else 0) != r["rev"] for r in rows):
                return 412, {"items": [self.row(r["key"]) for r in rows if r["key"] in self.items]}
            names = [p["key"] for p in call.get("puts", [])] + call.get("remove", [])
            if any(n.startswith(("op/", "servers/")) for n in names):
                return 403, {}
            for p in call.get("puts", []):
                self.put(p["key"], base64.b64decode(p["value"]))
            for key in call.get("remove", []):
                self.remove(key)
            return 200, {"rev": self.rev}
        return 404, {}


class Retransmission:
    """Sends a packet again after 200 ms, then after twice as long each time, up to 1.6 s."""

    def __init__(self, send, most=8):
        self.send, self.left, self.delay, self.timer = send, most, 0.2, None
        self.arm()

    def arm(self):
        self.timer = asyncio.get_running_loop().call_later(self.delay, self.fire)

    def fire(self):
        self.timer = None
        if self.left == 0:
            return
        self.left -= 1
        self.delay = min(2 * self.delay, 1.6)
        self.send()
        self.arm()

    def stop(self):
        if self.timer:
            self.timer.cancel()
            self.timer = None
        self.left = 0


class HostFlow:
    def __init__(self, isn, own):
        self.isn, self.own, self.open, self.echo, self.received = isn, own, False, 0, 0
        self.expected, self.data, self.id, self.answer = (isn + 1) & MASK, b"", None, b""
        self.opening = self.sending = None
        self.sent_end = False


class Host:
    """A host: flows over UDP, health over TCP, slots and a queue, its entry in the store."""

    def __init__(self, world, number, service, zone, slots=3, queue=8, cold_ms=0):
        self.world, self.service, self.zone, self.slots, self.queue = world, service, zone, slots, queue
        self.id = f"i-{random.getrandbits(64) | 1 << 60:016x}"
        self.number = int(self.id[2:], 16)
        self.address = (f"{world.net}.128.{number}", 8080)
        self.flows, self.busy, self.waiting, self.seq = {}, 0, [], 0
        self.state, self.cold_ms = "ready", cold_ms
        self.born = int(time.time() * 1000)
        self.alive = False
        self.lost_at = None  # when a datagram of this host was lost last

    async def start(self):
        self.udp = self.world.udp(self.address, self.on_datagram)
        self.health = await serve_http(self.address, self.answer_health)
        self.alive = True
        self.write_entry()

    async def answer_health(self, method, path, query, body):
        return (200 if self.state == "ready" else 503), {"Instance": self.id}, b""

    def write_entry(self):
        self.seq += 1
        self.world.store.put("servers/" + self.id, json.dumps({
            "service": self.service, "addr": f"{self.address[0]}:{self.address[1]}", "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state, "coldLeftMs": self.cold_ms,
            "seq": self.seq, "born": self.born}).encode())

    def on_datagram(self, data, peer):
        if len(data) < 8 + HEAD.size:
            return
        if int.from_bytes(data[:8], "big") not in (0, self.number):
            self.world.count("datagrams for another host")
            return
        dst, dport, src, sport, total, echo, flags, size, seq, ack = HEAD.unpack_from(data, 8)
        payload = data[8 + HEAD.size:]
        if size != len(payload) or total != keyed_sum(dst, dport, src, sport, flags, seq, ack, payload):
            self.world.record("ALTERED at", self.id)
            self.world.count("altered")
            return
        self.on_packet(dst, dport, src, sport, echo, flags, seq, ack, payload)

    def send(self, key, echo, flags, seq, ack, data=b""):
        src, sport, dst, dport = key
        self.world.to_client(src, packet(src, sport, dst, dport, echo, flags, seq, ack, data), self, flags)

    def on_packet(self, dst, dport, src, sport, echo, flags, seq, ack, data):
        key = (src, sport, dst, dport)
        flow = self.flows.get(key)
        if flags & SYN:
            self.world.on_opening(self, key)
            if flow is None or flow.isn != seq:
                flow = self.flows[key] = HostFlow(seq, random.getrandbits(32))
            flow.echo = echo
            if flow.open:
                return
            syn_ack = lambda: self.send(key, flow.echo, SYN | ACK, flow.own, flow.isn + 1)
            syn_ack()
            if flow.opening is None:
                flow.opening = Retransmission(syn_ack)
            return
        if flow is None:
            if not flags & RST:
                self.send(key, echo, RST, ack, seq)
            return
        if not flow.open:
            if ack != (flow.own + 1) & MASK:
                # The client opened its flow at another host: this one does not hold it.
                flow.opening.stop()
                del self.flows[key]
                self.send(key, echo, RST, ack, seq)
                return
            flow.open = True
            flow.opening.stop()
            self.world.host_of[key] = self
        flow.echo = echo
        if flags & RST:
            self.close(key, flow)
            return
        if flow.sending and ack == (flow.own + 1 + len(flow.answer)) & MASK:
            flow.sending.stop()
        if data:
            flow.received += 1
            if seq == flow.expected:
                flow.expected = (seq + len(data)) & MASK
                flow.data += data
                self.on_request_bytes(key, flow)
            if flow.received % 2 == 0:
                self.send(key, flow.echo, ACK, flow.own + 1, flow.expected)
        if flags & FIN:
            self.send(key, flow.echo, ACK, flow.own + 1 + len(flow.answer), seq + 1)
            self.close(key, flow)

    def close(self, key, flow):
        for timer in (flow.opening, flow.sending):
            if timer:
                timer.stop()
        self.flows.pop(key, None)
        self.world.host_of.pop(key, None)

    def on_request_bytes(self, key, flow):
        end = flow.data.find(b"\r\n\r\n")
        if end < 0 or flow.id is not None:
            return
        head = flow.data[:end].decode()
        length = int(re.search(r"Content-Length: (\d+)", head)[1])
        if len(flow.data) < end + 4 + length:
            return
        flow.id = re.search(r"Request-Id: (\S+)", head)[1]
        work = float(re.search(r"/work/([\d.]+)", head)[1])
        if self.busy < self.slots:
            self.run(key, flow, work)
        elif len(self.waiting) < self.queue:
            self.waiting.append((key, flow, work))
        else:
            self.world.record("shed", flow.id, "at", self.id)
            self.reply(key, flow, b"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")

    def run(self, key, flow, work):
        self.busy += 1
        self.world.record("run", flow.id, "at", self.id, self.service)
        self.world.ran(flow.id, self)
        asyncio.get_running_loop().call_later(work / 1000, self.done, key, flow)

    def done(self, key, flow):
        self.busy -= 1
        body = b"answer of " + flow.id.encode()
        if self.flows.get(key) is flow:
            self.reply(key, flow, b"HTTP/1.1 200 OK\r\nResponse-Seal: " + self.id.encode() +
                       b"\r\nContent-Length: " + str(len(body)).encode() + b"\r\n\r\n" + body)
        if self.waiting and self.busy < self.slots:
            self.run(*self.waiting.pop(0))

    def reply(self, key, flow, answer):
        flow.answer = answer
        send = lambda: self.send(key, flow.echo, ACK, flow.own + 1, flow.expected, flow.answer)
        send()
        flow.sending = Retransmission(send)


class ClientFlow:
    """One attempt of a client: a flow of its own from a new port."""

    def __init__(self, world, client, port, route, id, work, done):
        self.world, self.client, self.port, self.route, self.id, self.done = world, client, port, route, id, done
        self.isn, self.echo, self.open, self.host_seq = random.getrandbits(32), 0, False, 0
        self.acked = 0
        self.syns, self.host, self.ended, self.sending, self.received = 0, None, False, None, 0
        body = b"x" * 200
        self.request = (f"POST /work/{work:.0f} HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\n"
                        f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        self.via = []
        loop = asyncio.get_running_loop()
        self.timers = [loop.call_later(s, self.send_syn) for s in (0.2, 0.6)]
        self.timers.append(loop.call_later(1.4, self.give_up))
        self.send_syn()

    def send(self, flags, seq, ack, data=b""):
        dst, dport = self.route
        self.world.to_node(self, packet(dst, dport, self.client.number, self.port, self.echo, flags, seq, ack, data))

    def path(self):
        """The machines that took the flow's packets, with their ages at the first of these."""
        return ",".join(f"{node.name}({age:.1f}s{',leaving' if leaving else ''})" for node, age, leaving in self.via)

    def send_syn(self):
        if not self.open and not self.ended:
            self.send(SYN, self.isn, self.syns)
            self.syns += 1

    def send_request(self):
        self.send(ACK, self.isn + 1, self.host_seq + 1, self.request)

    def give_up(self):
        if not self.open:
            self.end("not opened")

    def end(self, outcome):
        if self.ended:
            return
        self.ended = True
        for timer in self.timers:
            timer.cancel()
        if self.sending:
            self.sending.stop()
        self.client.flows.pop((self.port, self.route), None)
        self.done(self, outcome)

    def on_packet(self, peer, total, echo, flags, seq, ack, data):
        if flags & RST:
            distance = ((seq - self.acked + (1 << 31)) & MASK) - (1 << 31)
            if self.open and total == 0 and abs(distance) > 76800:
                self.world.record("ignored reset of", self.id, "by", peer)
                return
            self.world.on_reset(self, peer, total)
            self.end("reset while open" if self.open else "reset before open")
            return
        self.echo = echo
        if flags & SYN:
            if not self.open:
                self.open, self.host_seq, self.host = True, seq, peer
                self.acked = (seq + 1) & MASK
                self.send_request()
                self.sending = Retransmission(self.send_request)
                self.timers.append(asyncio.get_running_loop().call_later(
                    self.client.budget, self.end, "no answer"))
            return
        if not data or peer != self.host:
            return
        self.sending.stop()
        self.acked = (seq + len(data)) & MASK
        self.send(ACK, self.isn + 1 + len(self.request), seq + len(data))
        self.send(ACK | FIN, self.isn + 1 + len(self.request), seq + len(data))
        if data.startswith(b"HTTP/1.1 200") and data.endswith(b"answer of " + self.id.encode()):
            self.end("answered")
        elif data.startswith(b"HTTP/1.1 503"):
            self.end("not run")
        else:
            self.world.record("FOREIGN answer to", self.id)
            self.world.count("foreign answers")
            self.end("foreign")


class Client:
    def __init__(self, world, number, zone):
        self.world, self.zone, self.budget = world, zone, 3.0
        self.ip = f"{world.net}.64.{number}"
        self.number = ip_number(self.ip)
        self.flows, self.next_port = {}, random.randrange(20000, 40000)
        self.udp = world.udp((self.ip, world.packets_port), self.on_datagram)

    def request(self, route, id, work, done):
        self.next_port = self.next_port + 1 if self.next_port < 60000 else 20000
        flow = ClientFlow(self.world, self, self.next_port, route, id, work, done)
        self.flows[(flow.port, route)] = flow
        return flow

    def on_datagram(self, data, peer):
        if len(data) < HEAD.size:
            return
        dst, dport, src, sport, total, echo, flags, size, seq, ack = HEAD.unpack_from(data)
        payload = data[HEAD.size:]
        if total != 0 and total != keyed_sum(dst, dport, src, sport, flags, seq, ack, payload):
            self.world.record("ALTERED at client", self.ip)
            self.world.count("altered")
            return
        flow = self.flows.get((dport, (src, sport)))
        if flow:
            flow.on_packet(peer[0], total, echo, flags, seq, ack, payload)


class Node:
    """A machine of the system: its settings file and its process."""

    def __init__(self, world, number, zone, seeds):
        self.world, self.zone, self.seeds = world, zone, seeds
        self.name = f"edge-{zone}-{number}"
        self.ip = f"{world.net}.1.{number}"
        self.process, self.first, self.misses, self.in_rotation = None, True, 2, False
        self.entered = self.started = None
        self.leaving = False
        self.store_address = world.store.address
        self.file = world.folder / f"{self.name}.toml"
        self.log = world.folder / f"{self.name}.log"

    def address(self, port):
        return f"{self.ip}:{port}"

    def write_settings(self):
        # What the platform makes of platform/settings.toml.in.
        world = self.world
        text = (REPO / "platform/settings.toml.in").read_text()
        values = {"nodeId|json": json.dumps(self.name), "zone|json": json.dumps(self.zone),
                  "limits.cpuShare": "0.25", "limits.linkMbps": "1000.0",
                  "listen.packets|json": json.dumps(self.address(world.packets_port)),
                  "listen.readiness|json": json.dumps(self.address(8167)), "ip": self.ip,
                  "listen.control|json": json.dumps(self.address(8166)),
                  "platform.addr|json": json.dumps(f"{self.store_address[0]}:{self.store_address[1]}"),
                  "bounds.maxFlowS|json": "60", "bounds.drainMs": str(world.drain_ms)}
        present = {"limits.cpuShare", "limits.linkMbps", "bounds.drainMs"} | ({"bootstrap"} if self.first else set())
        text = re.sub(r"\{\{#seeds\}\}\{\{\.\}\} \{\{/seeds\}\}", "".join(s + " " for s in self.seeds), text)
        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", lambda m: m[2] if m[1] in present else "", text, flags=re.S)
        text = re.sub(r"\{\{([^}]+)\}\}", lambda m: values[m[1]], text)
        self.file.write_text(text)

    def start(self):
        self.write_settings()
        self.first = False
        command = tomllib.loads((REPO / "deploy/system.toml").read_text())["roles"]["balancer"]["run"].split()
        command = [str(REPO / command[0])] + [str(self.file) if w.endswith("settings.yaml") else w for w in command[1:]]
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["BRAMLEYLOCK_BOOT"] = str(self.file)
        with open(self.log, "a") as log:
            self.process = subprocess.Popen(command, cwd=REPO, env=environment, stdout=log, stderr=log,
                                            stdin=subprocess.DEVNULL)
        self.started, self.leaving = time.monotonic(), False
        self.world.record("start", self.name, "pid", self.process.pid)

    async def ended(self, limit):
        until = time.monotonic() + limit
        while self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.01)
        return self.process.poll()

    async def terminate(self, grace=6.0):
        """SIGTERM, and SIGKILL after graceS."""
        self.world.record("SIGTERM", self.name)
        self.leaving = True
        self.process.send_signal(signal.SIGTERM)
        code = await self.ended(grace)
        if code is None:
            self.process.kill()
            code = self.process.wait()
        self.world.record("ended", self.name, "code", code)
        return code

    async def restart(self, grace=6.0, pause=0.35):
        await self.terminate(grace)
        await asyncio.sleep(pause)
        self.start()

    async def probe_loop(self):
        """GET /ready twice per second; two misses take the node out, a 200 puts it back."""
        await asyncio.sleep(random.random() * 0.5)
        while True:
            began = time.monotonic()
            try:
                ready = await asyncio.wait_for(self.probe(), 0.45)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                ready = False
            self.misses = 0 if ready else self.misses + 1
            inside = self.misses < 2
            if inside != self.in_rotation:
                self.in_rotation = inside
                self.entered = time.monotonic() if inside else None
                self.world.record("rotation", self.name, "in" if inside else "out")
            await asyncio.sleep(max(0, began + 0.5 - time.monotonic()))

    async def probe(self):
        reader, writer = await asyncio.open_connection(self.ip, 8167, local_addr=(f"{self.world.net}.200.9", 0))
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            return (await reader.readuntil(b"\r\n")).split()[1] == b"200"
        finally:
            writer.close()


class World:
    def __init__(self, record, seed=None):
        random.seed(seed)
        # A script that is ended early ends the balancers too.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        self.record, self.packets_port, self.drain_ms = record, 8172, 3000
        self.folder = Path(tempfile.mkdtemp(prefix="bramleylock-case-"))
        self.net = self.free_net()
        self.store = Store((f"{self.net}.200.7", 8169))
        self.nodes, self.hosts, self.clients, self.host_of = [], {}, [], {}
        self.counts, self.runs, self.broken = {}, {}, []
        self.drop = lambda host, flags, client_packet: False
        self.to_node_hook = None
        self.on_opening = lambda host, key: None
        self.loop = None
        self.resets = []

    def free_net(self):
        for _ in range(50):
            net = f"127.{random.randrange(64, 250)}"
            try:
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((f"{net}.200.7", 8169))
                return net
            except OSError:
                continue
        raise OSError("no free loopback network")

    def udp(self, address, handler):
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        sock.setblocking(False)
        sock.bind(address)

        def readable():
            for _ in range(64):
                try:
                    data, peer = sock.recvfrom(2048)
                except (BlockingIOError, InterruptedError):
                    return
                handler(data, peer)

        asyncio.get_running_loop().add_reader(sock.fileno(), readable)
        return sock

    def count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1

    def ran(self, id, host):
        self.runs.setdefault(id, []).append(host)

    async def add_host(self, number, service, zone, **more):
        host = Host(self, number, service, zone, **more)
        await host.start()
        self.hosts[host.address[0]] = host
        return host

    def add_node(self, zone, seeds=None):
        number = len(self.nodes) + 1
        node = Node(self, number, zone, seeds)
        self.nodes.append(node)
        return node

    def rotation(self, zone):
        nodes = [n for n in self.nodes if n.zone == zone]
        inside = [n for n in nodes if n.in_rotation]
        if len(inside) * 2 < len(nodes) and any(n.in_rotation for n in self.nodes):
            inside = nodes if inside else [n for n in self.nodes if n.in_rotation]
        return inside

    def to_node(self, flow, data):
        """A client's packet, on its way to the node that the router selects when it arrives there."""
        asyncio.get_running_loop().call_later(CLIENT_MS / 1000, self.route, flow, data)

    def route(self, flow, data):
        nodes = self.rotation(flow.client.zone)
        self.count("datagrams")
        if not nodes:
            return
        dst, dport = flow.route
        key = struct.pack(">IHIH", dst, dport, flow.client.number, flow.port)
        node = nodes[zlib.crc32(key) % len(nodes)]
        if not flow.via or flow.via[-1][0] is not node:
            flow.via.append((node, time.monotonic() - node.started, node.leaving))
        if self.to_node_hook:
            self.to_node_hook(flow, node, data)
        try:
            flow.client.udp.sendto(data, (node.ip, self.packets_port))
        except OSError:
            self.count("client sends refused")

    def to_client(self, client_ip, data, host, flags):
        self.count("datagrams")
        if self.drop(host, flags, data):
            self.count("datagrams lost")
            host.lost_at = time.monotonic()
            return
        asyncio.get_running_loop().call_later(
            CLIENT_MS / 1000, self.send_from_host, host, data, ip_text(client_ip))

    def send_from_host(self, host, data, client_ip):
        try:
            host.udp.sendto(data, (client_ip, self.packets_port))
        except OSError:
            self.count("host sends refused")

    def on_reset(self, flow, peer, total):
        """FLOW (a): the client gets a reset of an open flow that the flow's host did not send."""
        dst, dport = flow.route
        key = (flow.client.number, flow.port, dst, dport)
        host = self.host_of.get(key)
        sender = self.hosts.get(peer)
        who = f"host {sender.id}" if total != 0 and sender else f"system at {peer}"
        self.record("reset of", flow.id, "open" if flow.open else "not open", "by", who)
        if host is None or sender is host:
            return
        if host.lost_at is not None and time.monotonic() - host.lost_at < STABLE_WINDOW_S:
            # A lost datagram is no impairment on the pages; left out all the same.
            self.record("not counted:", flow.id, "since a datagram of its host was lost")
            self.count("FLOW not counted")
            return
        self.broken.append(flow.id)
        self.count("FLOW broken")
        self.record("FLOW", flow.id, "is open at host", host.id, "and was reset by", who,
                    "via", flow.path(), "ran", len(self.runs.get(flow.id, [])))

    async def stop_quietly(self):
        """Ends the balancers, then all tasks of the stand-ins."""
        self.stop()
        me = asyncio.current_task()
        tasks = [t for t in asyncio.all_tasks() if t is not me]
        for task in tasks:
            task.cancel()
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        await asyncio.gather(*tasks, return_exceptions=True)

    async def wait_ready(self, limit=15):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if all(n.in_rotation for n in self.nodes if n.process):
                return True
            await asyncio.sleep(0.05)
        return False

    def crashed(self):
        return [n.name for n in self.nodes if n.process and n.process.poll() not in (None, 0)]

    def stop(self):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("logs:", self.folder)


def configuration(version, routes, services, idle_ms=12000):
    """op/config; routes are (name, ip, port, type, service, timeoutMs)."""
    return json.dumps({
        "version": version,
        "routes": [{"name": name, "host": ip, "prefix": f"/{port}/", "type": kind, "timeoutMs": timeout,
                    "latencyGoalMs": 300, "prio": 1, "service": service, "attempts": 2}
                   for name, ip, port, kind, service, timeout in routes],
        "services": [{"name": s, "healthPath": "/health", "maxFlows": 2000, "protocol": "h1", "tls": False}
                     for s in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": idle_ms}}).encode()
