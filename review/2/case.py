"""Streams of which a runner garbles one event of a write with several: the client must get every piece, or see
that the answer is not whole."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import fleet as f

STREAMS = 240
EVENTS = 12
# Every 34th answer of half of the runners: 3 in 100 of their answers.
GARBLE_EACH = 34


async def case(fleet):
    await fleet.store.put("op", "config", f.config(1, [f.stream_route()]))
    for index in range(4):
        behaviour = {"events": EVENTS, "batch": 3, "gap_s": 0.1}
        if f.TROUBLE and index < 2:
            behaviour["garble_each"] = GARBLE_EACH
        await fleet.start_runner("llm", "zone-a" if index % 2 == 0 else "zone-b", behaviour)
    fleet.start_relays(2)
    await fleet.wait_ready()
    await asyncio.sleep(2)

    async def one(number):
        await asyncio.sleep(number * 0.08)
        relay = fleet.relays[number % 2]
        return await f.send(fleet.record, relay["front"], "/chat/x", f"stream{number:05d}",
                            f.stream_headers(20000, number=number), b"prompt", patience=12, deadline=20)

    answers = await asyncio.gather(*(one(number) for number in range(STREAMS)))
    whole = list(range(1, EVENTS + 1))
    if sum(answer.status == 200 and answer.end == "complete" for answer in answers) < STREAMS // 2:
        raise f.CannotRun("less than half of the streams were served")
    missing = [a for a in answers if a.status == 200 and a.end == "complete" and a.events() != whole]
    for answer in missing:
        fleet.record.line("ORDER", request=answer.request, events=answer.events())
    garbled = sum(entry["what"] == "garbles" for entry in fleet.runs())
    fleet.record.line("counts", streams=STREAMS, garbled=garbled, missing=len(missing))
    if missing:
        found = missing[0]
        return (f"ORDER: {len(missing)} of {garbled} garbled streams ended as complete without all pieces; "
                f"the first, {found.request}, has {found.events()}")
    return None


f.main(__file__, case)
