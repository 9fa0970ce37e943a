"""A server asks for a pause, and its entry is removed and written again while the pause lasts."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-3"))
from deployment import (  # noqa: E402
    HEARTBEAT_S,
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

PAUSE_S = 30
CUT_AT_S = 4.0
# The store removes an entry after three heartbeats of silence.
SILENT_S = 3 * HEARTBEAT_S
CUT_S = 5.0
END_S = 20.0


async def main(record, folder, trouble):
    store = Store()
    await store.listen()
    pause = {"at": None}
    late = []

    async def serve(server, head, reader, writer):
        await read_body(reader, head)
        name = head.get("attempt-id")
        if server.id == "i-0":
            if pause["at"] is None:
                pause["at"] = time.monotonic()
                record.add(f"i-0 answers {name} with 503 and Retry-After: {PAUSE_S}")
                headers = [("Not-Executed", "1"), ("Retry-After", PAUSE_S)]
                writer.write(response(503, headers))
                await writer.drain()
                return False
            age = time.monotonic() - pause["at"]
            if 0.5 < age < PAUSE_S:
                late.append(age)
                record.add(f"{name} reaches i-0 {age:.2f} s after it asked for the pause")
        await asyncio.sleep(0.015)
        writer.write(response(200, server.seal(head), b"done"))
        await writer.drain()
        return False

    servers = []
    for number in range(5):
        server = Server(store, "desk", f"i-{number}", slots=6)
        server.handler = serve
        await server.listen()
        servers.append(server)
    routes = [route("/book/", "non_idempotent", "desk", 1500, 100, 1)]
    store.put_json("op", "config", config(1, routes, [service("desk", 96)]))
    gateway = Gateway(folder, store.port, "127.0.0.1", free_port())
    await gateway.start()

    async def cut():
        await asyncio.sleep(CUT_AT_S)
        record.add("i-0 is cut off from the store")
        servers[0].stop_beats()
        await asyncio.sleep(SILENT_S)
        record.add("the store removes the entry of i-0")
        store.put("servers", "i-0", None)
        await asyncio.sleep(CUT_S - SILENT_S)
        record.add("i-0 reaches the store again and writes its entry")
        servers[0].write_row()
        servers[0].beats = asyncio.ensure_future(servers[0].beat())

    try:
        await gateway.wait_ready()
        cutting = asyncio.ensure_future(cut()) if trouble else None
        began, number = time.monotonic(), 0
        while time.monotonic() - began < END_S:
            number += 1
            await call(gateway.front, "POST", "/book/x", request_headers(f"b-{number}", 1500), b"seat")
            await asyncio.sleep(0.1)
        if cutting:
            await cutting
        record.add(f"{number} requests, {len(late)} reached i-0 in its pause, 2 are allowed")
        return len(late) <= 2
    finally:
        await gateway.end()


run_case(main)
