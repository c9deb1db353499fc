"""After a change of weights that names a service without replicas first, accepted items are never run (LOST)."""
import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins as s

PREFIX = "/audit/"
JOBS, ITEMS = 12, 40
LIVE_PER_S = 20
CALM_S, IDLE_S = 5.0, 3.0


async def submit(deployment, job):
    machine = deployment.random.choice(deployment.fronts)
    headers = {"Request-Id": job, "Content-Type": "application/json"}
    answer = await s.call(machine.address, deployment.front_port, "POST", PREFIX + job, headers,
                          s.batch_body(job, PREFIX, ITEMS), 4)
    deployment.record.write("submit", job=job, machine=machine.name, status=answer and answer.status)
    return answer is not None and answer.status == 202


async def listed(deployment, job):
    """Returns (total, ids that are listed), read from the start, at any machine until one answers."""
    ids, total = [], None
    while total is None or len(ids) < total:
        machine = deployment.random.choice(deployment.fronts)
        answer = await s.call(machine.address, deployment.front_port, "GET", f"/lots/{job}?since_rev={len(ids)}",
                              timeout_s=3)
        if answer is None or answer.status != 200:
            await asyncio.sleep(0.2)
            continue
        page = json.loads(answer.body)
        total = page["total"]
        ids += [result["id"] for result in page["results"]]
        if not page["results"]:
            break
    deployment.record.write("read", job=job, total=total, listed=len(ids))
    return total, ids


async def change_weights(deployment):
    """config_change, weights: the route's share of the canary service is 0 until its replicas are there."""
    route = s.batch_route("audit", PREFIX)
    del route["service"]
    route["split"] = [{"service": "canary", "weight": 0}, {"service": "kertoja", "weight": 100}]
    patch = {"version": 3, "upsert": {"routes": [route], "services": [s.service("canary")]}}
    headers = {"Base-Version": deployment.version, "Content-Type": "application/json"}
    await deployment.order_until_acknowledged("/config/patch", deployment.fronts[3:5], headers,
                                              json.dumps(patch).encode())


async def live_calls(deployment):
    number, tasks = 0, set()
    while True:
        number += 1
        machine = deployment.random.choice(deployment.fronts)
        task = asyncio.create_task(deployment.live_call(number, machine))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / LIVE_PER_S)


async def main(deployment):
    await deployment.start(s.configuration(1, [s.stream_route("live", "/live/"), s.batch_route("audit", PREFIX)],
                                           [s.service("kertoja")]))
    calls = asyncio.create_task(live_calls(deployment))
    jobs = [f"{0x7c41e000 + number:016x}" for number in range(JOBS)]
    accepted = []
    for position, job in enumerate(jobs):
        if position == JOBS // 2 and s.trouble():
            await change_weights(deployment)
        if await submit(deployment, job):
            accepted.append(job)
    calls.cancel()
    await asyncio.sleep(s.FINISH_S + 8)  # run_target_ms of the route, and finish_s
    return await find_breaches(deployment, accepted)


async def find_breaches(deployment, accepted):
    missing = {}
    for job in accepted:
        total, ids = await listed(deployment, job)
        if len(ids) < total:
            missing[job] = total - len(ids)
    if not accepted:
        raise s.CannotRun("no job was accepted")
    now = deployment.record.now()
    last_run = max((at for replica in deployment.replicas for at, *_ in replica.runs), default=0)
    quiet = now - last_run > CALM_S + IDLE_S and not any(replica.running for replica in deployment.replicas)
    deployment.record.write("end_of_finish", last_run=f"{last_run:.3f}", replicas_idle=quiet)
    if not missing or not quiet:
        return []
    return [f"{sum(missing.values())} items of {len(missing)} of {len(accepted)} accepted jobs are listed neither as "
            f"completed nor as dead_letter when finish_s is over, though all replicas have been idle for "
            f"{now - last_run:.1f} s"]


s.run_case(main)
