"""An accepted batch job that comes again after a change of its route's `max_queued` is turned away with 409."""
import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins as s

PREFIX = "/audit/"
JOBS, ITEMS = 12, 20
RESENDS = 3


async def submit(deployment, job, machine):
    headers = {"Request-Id": job, "Content-Type": "application/json"}
    answer = await s.call(machine.address, deployment.front_port, "POST", PREFIX + job, headers,
                          s.batch_body(job, PREFIX, ITEMS), 4)
    status = None if answer is None else answer.status
    deployment.record.write("submit", job=job, machine=machine.name, status=status)
    return status


async def read(deployment, job, machine):
    answer = await s.call(machine.address, deployment.front_port, "GET", f"/lots/{job}?since_rev=0", timeout_s=3)
    listed = json.loads(answer.body) if answer is not None and answer.status == 200 else {}
    deployment.record.write("read", job=job, machine=machine.name, status=answer and answer.status,
                            total=listed.get("total"), listed=len(listed.get("results", [])))
    return answer is not None and answer.status == 200


async def change_limit(deployment):
    """config_change: the same route with another limit, as a patch on top of the version in force."""
    patch = {"version": 3, "upsert": {"routes": [s.batch_route("audit", PREFIX, max_queued=1_500_000)]}}
    headers = {"Base-Version": deployment.version, "Content-Type": "application/json"}
    await deployment.order_until_acknowledged("/config/patch", deployment.fronts[3:5], headers,
                                              json.dumps(patch).encode())


async def resend(deployment, job):
    """Three other clients send the job once more, each at another machine. Returns the statuses."""
    machines = deployment.random.sample(deployment.fronts, RESENDS)
    return await asyncio.gather(*(submit(deployment, job, machine) for machine in machines))


async def main(deployment):
    await deployment.start(s.configuration(1, [s.stream_route("live", "/live/"), s.batch_route("audit", PREFIX)],
                                           [s.service("kertoja")]))
    jobs = [f"{0x7c41e000 + number:016x}" for number in range(JOBS)]
    for job in jobs:
        if await submit(deployment, job, deployment.random.choice(deployment.fronts)) != 202:
            raise s.CannotRun(f"job {job} was not accepted")
    if s.trouble():
        await change_limit(deployment)
    await asyncio.sleep(max(s.SETTLE_S, s.CONFIG_S))
    sent_again = dict(zip(jobs, await asyncio.gather(*(resend(deployment, job) for job in jobs))))
    readable = [await read(deployment, job, deployment.random.choice(deployment.fronts)) for job in jobs]
    if not all(readable):
        raise s.CannotRun("a job could not be read")
    return find_breaches(sent_again)


def find_breaches(sent_again):
    def refusals(statuses, excused):
        return sum(status is not None and 400 <= status < 500 and status not in excused for status in statuses)

    breaches = []
    turned_away = [job for job, statuses in sent_again.items() if refusals(statuses, ()) >= 3]
    if turned_away:
        breaches.append(f"LOST: {len(turned_away)} of {len(sent_again)} accepted jobs were turned away three times "
                        f"when they came again, the first {turned_away[0]} with {sent_again[turned_away[0]]}")
    requests = len(sent_again) + sum(map(len, sent_again.values()))
    denied = sum(refusals(statuses, (408, 421, 429)) for statuses in sent_again.values())
    if denied > 5 + requests / 500:
        breaches.append(f"DENIED: {denied} of {requests} proper requests were ended with a 4xx")
    return breaches


s.run_case(main)
