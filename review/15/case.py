"""Entries of a service that the configuration doesn't name take the servers at the same addresses out of use."""

import asyncio
import json
import os
import sys
import time
from collections import Counter

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

SECOND_VERSION_S = 2.0
STEADY_S = 6.0
ENTRIES_S = 7.0
END_S = 22.0
PAUSE_S = 0.05


async def main(record, folder, trouble):
    store = Store()
    await store.listen()
    ran = Counter()

    async def serve(server, head, reader, writer):
        await read_body(reader, head)
        ran[server.id] += 1
        await asyncio.sleep(0.015)
        writer.write(response(200, server.seal(head), b"done"))
        await writer.drain()
        return False

    servers = {"desk": [], "ledger": []}
    for name, count in (("desk", 3), ("ledger", 2)):
        for number in range(count):
            server = Server(store, name, f"i-{name}-{number}", slots=6)
            server.handler = serve
            await server.listen()
            servers[name].append(server)
    first = [route("/status/", "idempotent", "desk", 1500, 100, 2)]
    added = [route("/ledger/", "idempotent", "ledger", 1500, 100, 2)]
    services = [service("desk", 96), service("ledger", 96)]
    store.put_json("op", "config", config(1, first, services))
    gateway = Gateway(folder, store.port, "127.0.0.1", free_port())
    await gateway.start()
    try:
        await gateway.wait_ready()
        began = time.monotonic()
        has_version, has_entries = False, False
        counts = {"/status/x": Counter(), "/ledger/x": Counter()}
        number = 0
        while (age := time.monotonic() - began) < END_S:
            if not has_version and age >= SECOND_VERSION_S:
                has_version = True
                store.put_json("op", "config", config(5, first + added, services))
                record.add("version 5 adds /ledger/")
            if trouble and not has_entries and age >= ENTRIES_S:
                has_entries = True
                for index, server in enumerate(servers["ledger"]):
                    # A program on the server's machine registers the machine's address for itself.
                    entry = dict(server.entry(), service="node-agent", born=int(time.time() * 1000), seq=1)
                    store.put_json("servers", f"agent-{index}", entry)
                    record.add(f"another writer wrote servers/agent-{index}: {json.dumps(entry)}")
            number += 1
            path = "/ledger/x" if number % 2 and has_version else "/status/x"
            try:
                status, _, _ = await call(gateway.front, "GET", path, request_headers(f"a-{number}", 1500))
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
                status = type(error).__name__
            if age >= STEADY_S:
                counts[path][status] += 1
                if status != 200 and sum(counts[path].values()) - counts[path][200] <= 5:
                    record.add(f"a-{number} {path} was answered {status}")
            await asyncio.sleep(PAUSE_S)
        for path, count in counts.items():
            record.add(f"{path}: {dict(count)}")
        record.add(f"servers ran {dict(ran)}")
        served = {path: count[200] / max(1, sum(count.values())) for path, count in counts.items()}
        record.add(f"served: {served}")
        return sum(counts["/ledger/x"].values()) < 20 or served["/ledger/x"] >= served["/status/x"] / 4
    finally:
        await gateway.end()


run_case(main)
