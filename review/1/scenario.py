"""A partition holds up a request, and the entry starts it long after its caller
has given up and has sent the job again elsewhere."""
import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "rig"))
from rig import (  # noqa: E402
    HOST, PREFIX, RESEND_MS, address, free_port, main, read_message)

ROUNDS = 3
CUT_S = 2.9  # node_cut of lindqvist-hire lasts up to 5.5 s
DEADLINE_S = 1.5
TASK_MS = 760


class Path:
    """The network path from the clients to an entry.  While it is cut, bytes
    and the end of the stream are held up; they arrive when the cut heals."""

    def __init__(self, target):
        self.target = target
        self.whole = asyncio.Event()
        self.whole.set()

    async def open(self):
        ip = address(40, 1)
        port = free_port(ip)
        self.server = await asyncio.start_server(self.serve, ip, port)
        self.addr = (ip, port)

    async def serve(self, reader, writer):
        ip, port = self.target.rsplit(":", 1)
        far_reader, far_writer = await asyncio.open_connection(ip, int(port))
        await asyncio.gather(self.carry(reader, far_writer),
                             self.carry(far_reader, writer))

    async def carry(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                held = not self.whole.is_set()
                await self.whole.wait()
                if data:
                    writer.write(data)
                if not data or held and reader.at_eof():
                    return
        except OSError:
            pass
        finally:
            writer.close()


async def client(rig, path, record, body):
    """Sends on an open channel; closes it when the deadline has passed."""
    reader, writer = await asyncio.open_connection(*path.addr)
    writer.write(f"GET {PREFIX} HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
    await read_message(reader)
    if rig.trouble:
        path.whole.clear()
        rig.log("the path to entry-1 is cut")
        await asyncio.sleep(0.05)
    rig.log(f"client sends job {record} to entry-1")
    writer.write((f"POST {PREFIX}{record} HTTP/1.1\r\nHost: {HOST}\r\n"
                  f"X-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n"
                  f"Content-Type: application/json\r\n"
                  f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
    try:
        answer = await asyncio.wait_for(read_message(reader), DEADLINE_S)
        status = int(answer[0].split()[1]) if answer else 0
    except asyncio.TimeoutError:
        status = 0
    writer.close()
    rig.log(f"client job {record} at entry-1: {status or 'no answer, channel closed'}")
    return status


async def one_round(rig, path):
    job = rig.new_id()
    body = json.dumps({
        "spec": json.dumps({"ms": TASK_MS, "cpu": 6200}),
        "steps": [{"count": 4, "cpu": 6200, "mem_mb": 256, "estimate_ms": TASK_MS}],
        "best_effort": True}).encode()

    async def heal():
        await asyncio.sleep(CUT_S)
        if not path.whole.is_set():
            rig.log("the path to entry-1 heals")
        path.whole.set()

    healing = asyncio.ensure_future(heal())
    status = await client(rig, path, job, body)
    if status in (0, 502, 504):
        await asyncio.sleep(RESEND_MS / 1000)
        await rig.submit(rig.entries[1], count=4, ms=TASK_MS, job=job)
    await healing
    await asyncio.sleep(1.0)


async def scenario(rig):
    path = Path(rig.entries[0].front)
    await path.open()
    for _ in range(ROUNDS):
        await one_round(rig, path)
    for a, b in rig.overlaps():
        rig.log(f"TWICE {a['task']}: {a['worker']} {a['start']}-{a['end']} {a['how']}, "
                f"{b['worker']} {b['start']}-{b['end']} {b['how']}")
    completed = sum(j["status"] == 200 for j in rig.jobs)
    rig.log(f"{len(rig.runs)} runs, {len(rig.overlaps())} pairs at the same time, "
            f"{completed} jobs completed at entry-2")
    return not rig.overlaps()


main(HERE, scenario, entries=2, workers=3)
