"""All balancers are killed and start again; a host that has just started drains meanwhile.

The second page of the entries reaches one balancer, the one that reads the store for the others,
250 ms late, as if one packet had been lost and sent again. With TROUBLE=0 the balancers are not
killed, and the rest is the same.
"""
import asyncio, json, os, random, sys, time
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))
import standins as P

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUTE = ("127.18.0.1", 443)
# The bounds and the page of ctw-kolkata-grown. With COLD=0 the hosts write no second change.
DRAIN_MS, STABLE_MS, HEARTBEAT_S, COLD_MS = 5000, 5000, 1.2, int(os.environ.get("COLD", "3000"))
PAGE, HOSTS, PAUSE_S, LATE_S = 50, 56, 0.35, 0.25


async def rank(node):
    reader, writer = await asyncio.open_connection(node.ip, 9464)
    writer.write(b"GET /status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    text = (await reader.read()).split(b"\r\n\r\n", 1)[1]
    writer.close()
    return json.loads(text)["reader_rank"]


async def play(world):
    record, store, outcomes, sent = world.record, world.store, {}, [0]
    world.drain_ms = DRAIN_MS
    store.page = PAGE
    await store.start()
    store.put("op/config", P.configuration(
        7, [("bookings", ROUTE[0], ROUTE[1], "unsafe", "desk", 3000)], ["desk"]))
    for i in range(HOSTS):
        await world.add_host(10 + i, "desk", "east")

    # A path to the store on which the second page can be late.
    late_pages = [0]

    async def answer_late(method, path, query, body):
        if path == "/kv-range" and query.get("after") and late_pages[0] > 0:
            late_pages[0] -= 1
            record("the second page is late")
            await asyncio.sleep(LATE_S)
        return await store.answer(method, path, query, body)

    late_address = (f"{world.net}.200.8", 8169)
    late_server = await P.serve_http(late_address, answer_late)
    for _ in range(4):
        world.add_node("east")
    for node in world.nodes:
        node.seeds = [n.address(8166) for n in world.nodes[:3]]
        node.store_address = late_address
        node.start()
        asyncio.ensure_future(node.probe_loop())
    for i in range(8):
        world.clients.append(P.Client(world, 1 + i, "east"))
    if not await world.wait_ready():
        return None
    flows, acked, late = {}, {}, []

    def done(flow, outcome):
        outcomes[outcome] = outcomes.get(outcome, 0) + 1

    async def traffic():
        while True:
            await asyncio.sleep(random.expovariate(300))
            sent[0] += 1
            flow = random.choice(world.clients).request(
                (P.ip_number(ROUTE[0]), ROUTE[1]), f"q{sent[0]}", 20, done)
            flow.sent_at = time.monotonic()
            flows[(flow.client.number, flow.port)] = flow

    def on_opening(host, key):
        flow = flows.get(key[:2])
        if host not in acked or flow is None:
            return
        after_ms = (flow.sent_at - acked[host]) * 1000
        node, age, _ = flow.via[-1]
        in_touch = (flow.sent_at - node.started) * 1000 > STABLE_MS
        if after_ms > DRAIN_MS and in_touch:
            late.append(flow.id)
            record("DRAIN", flow.id, f"sent {after_ms:.0f} ms after the ack, taken by", host.id, "via", flow.path())

    world.on_opening = on_opening
    asyncio.ensure_future(traffic())
    await asyncio.sleep(8)
    ranks = {node: await rank(node) for node in world.nodes}
    reader = min(ranks, key=ranks.get)
    record("the reader is", reader.name)
    for node in world.nodes:
        node.store_address = late_address if node is reader else store.address

    # Hosts that have just started: cold, and on the second page.
    new = []
    while len(new) < 3:
        host = P.Host(world, 10 + HOSTS + len(new), "desk", "east", cold_ms=COLD_MS)
        host.id = "i-f" + host.id[3:]
        host.number = int(host.id[2:], 16)
        new.append(host)
        await host.start()
        world.hosts[host.address[0]] = host
    started = time.monotonic()

    async def beats(host):
        while host.alive:
            await asyncio.sleep(HEARTBEAT_S)
            left = max(0, COLD_MS - int((time.monotonic() - started) * 1000))
            if left != host.cold_ms:  # the entry changes when more than seq changes
                host.cold_ms = left
                host.write_entry()

    await asyncio.sleep(0.3)
    if TROUBLE:
        for node in world.nodes:
            node.process.kill()
        for node in world.nodes:
            node.process.wait()
        record("all balancers are killed")
    await asyncio.sleep(PAUSE_S)
    late_pages[0] = 1
    if TROUBLE:
        for node in world.nodes:
            node.start()
    await asyncio.sleep(0.15)
    for host in new:
        host.state = "draining"
        host.write_entry()
        acked[host] = time.monotonic()
        record("draining", host.id)
        asyncio.ensure_future(beats(host))
    await asyncio.sleep(14)
    for host in new:
        host.alive = False
    late_server.close()
    print(f"requests {sent[0]}, {outcomes}, {world.counts}, opened late: {len(late)}")
    return bool(late)


async def main():
    record = P.Record(Path(__file__).with_name("record.txt"))
    world = P.World(record)
    broken = None
    try:
        broken = await play(world)
    except Exception as problem:
        print("the case could not run:", repr(problem))
    finally:
        await world.stop_quietly()
        record.close()
    return 2 if broken is None else int(broken)


sys.exit(asyncio.run(main()))
