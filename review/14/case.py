"""All gateways are killed twice before a request that crashes servers is quarantined."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-3"))
from deployment import (  # noqa: E402
    Gateway,
    Server,
    Store,
    call,
    config,
    free_port,
    read_body,
    request_headers,
    response,
    route,
    run_case,
    service,
)

CONTACT_S = 3.0
# When the request comes in each round, which begins when all gateways are ready. They are in touch by then, and all
# gateways but those of the last round are killed at its end.
ROUNDS = ((3.6, 7.2), (3.6, 7.2), (3.6, 7.2, 10.8, 14.4))
ROUND_END_S = 1.5
BACK_S = 2.5
SERVERS = 4


async def main(record, folder, trouble):
    store = Store()
    await store.listen()
    ends = []
    servers = []
    tasks = []

    async def come_back(server):
        await asyncio.sleep(BACK_S)
        server.born = int(time.time() * 1000)
        server.seq = 0
        await server.listen(server.port)

    async def serve(server, head, reader, writer):
        body = await read_body(reader, head)
        if body == b"crash":
            ends.append(record.now())
            record.add(f"{head.get('attempt-id')} crashes {server.id}, the {len(ends)}. end")
            server.crash()
            tasks.append(asyncio.ensure_future(come_back(server)))
            return False
        await asyncio.sleep(0.015)
        writer.write(response(200, server.seal(head), b"done"))
        await writer.drain()
        return False

    for number in range(SERVERS):
        server = Server(store, "desk", f"i-{number}", slots=6)
        server.handler = serve
        await server.listen()
        servers.append(server)
    routes = [route("/book/", "non_idempotent", "desk", 1500, 100, 1)]
    store.put_json("op", "config", config(1, routes, [service("desk", 96)]))
    peer_port = free_port()
    ips = ["127.0.0.1", "127.0.0.2"]
    gateways = [Gateway(folder, store.port, ip, peer_port, seeds=ips) for ip in ips]
    number = 0

    async def send(gateway, body, name):
        try:
            status, head, _ = await call(gateway.front, "POST", "/book/x", request_headers(name, 1500), body, 3.0)
            record.add(f"{name} at {gateway.ip} was answered {status}, Retry-After {head.get('retry-after')}")
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            record.add(f"{name} at {gateway.ip}: {type(error).__name__}")

    try:
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()
        for turn, times in enumerate(ROUNDS):
            began = time.monotonic()
            for index, at in enumerate(times):
                await asyncio.sleep(max(0.0, began + at - time.monotonic()))
                number += 1
                await send(gateways[index % 2], b"crash", f"q-{number}")
            await asyncio.sleep(ROUND_END_S)
            if trouble and turn + 1 < len(ROUNDS):
                record.add("all gateways are killed")
                for gateway in gateways:
                    gateway.signal(signal.SIGKILL)
                for gateway in gateways:
                    await gateway.process.wait()
                await asyncio.sleep(0.3)
                for gateway in gateways:
                    await gateway.start()
                for gateway in gateways:
                    await gateway.wait_ready()
        late = [at for at in ends[3:] if at > ends[2] + CONTACT_S]
        record.add(f"{len(ends)} ends; {len(late)} arrivals later than {CONTACT_S} s after the third, 3 are allowed")
        return len(late) <= 3
    finally:
        for task in tasks:
            task.cancel()
        for gateway in gateways:
            await gateway.end()


run_case(main)
