"""A runner goes dark while it streams, on a route whose streams can't be resumed: the streams need a final answer
by the route's timeout."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import fleet as f

STREAMS = 120
RUNNERS = 6
TIMEOUT_S = 5.0
MARGIN_S = 0.5
DARK_S = 4.5
# Clients leave a stream after a gap of two seconds, four times the objective or eight times the longest pause.
TARGET_MS, PAUSE_MS = 3000, 1200
PATIENCE_S = max(2.0, 4 * TARGET_MS / 1000, 8 * PAUSE_MS / 1000)


async def case(fleet):
    route = f.stream_route(**{"timeout-ms": int(TIMEOUT_S * 1000), "target-latency-ms": TARGET_MS,
                              "gap-aim-ms": PAUSE_MS, "stream-resume": False})
    await fleet.store.put("op", "config", f.config(1, [route]))
    behaviour = {"events": 24, "gap_s": 0.1}
    zones = ["zone-a", "zone-b"]
    for index in range(RUNNERS):
        await fleet.start_runner("llm", zones[index % 2], behaviour)
    fleet.start_relays(2)
    await fleet.wait_ready()
    await asyncio.sleep(2)

    async def one(number):
        await asyncio.sleep(number * 0.005)
        relay = fleet.relays[number % 2]
        return await f.send(fleet.record, relay["front"], "/chat/x", f"stream{number:05d}",
                            f.stream_headers(20000, number=number), b"prompt",
                            patience=PATIENCE_S, deadline=20)

    async def trouble():
        await asyncio.sleep(1.5)
        if not f.TROUBLE:
            return
        runner = fleet.runners[0]
        fleet.record.line("dark", runner=runner["id"])
        # Silent for good; its place is taken by a new incarnation once it is back.
        runner["process"].send_signal(signal.SIGSTOP)
        await asyncio.sleep(3.6)
        await fleet.store.put("servers", runner["id"], None)
        await asyncio.sleep(DARK_S - 3.6)
        await fleet.start_runner("llm", runner["zone"], behaviour)

    results = await asyncio.gather(trouble(), *(one(number) for number in range(STREAMS)))
    answers = results[1:]
    if sum(answer.end == "complete" and answer.status == 200 for answer in answers) < STREAMS // 2:
        raise f.CannotRun("less than half of the streams were served")
    late = [a for a in answers if a.ended - a.sent > TIMEOUT_S]
    open_still = [a for a in late if a.ended - a.sent > TIMEOUT_S + MARGIN_S]
    for answer in open_still:
        fleet.record.line("CONFIG", request=answer.request, end=answer.end,
                          after=f"{answer.ended - answer.sent:.3f}")
    fleet.record.line("counts", streams=STREAMS, beyond_timeout=len(late), without_answer=len(open_still))
    if len(open_still) >= 8 and len(open_still) * 4 > len(late):
        longest = max(answer.ended - answer.sent for answer in open_still)
        left = sum(answer.end == "left" for answer in open_still)
        return (f"CONFIG: {len(open_still)} of {len(late)} requests that lasted longer than the route's "
                f"{TIMEOUT_S:.0f} s had no final answer {MARGIN_S} s later; the longest was open for "
                f"{longest:.1f} s, and {left} ended only because their clients left")
    return None


f.main(__file__, case)
