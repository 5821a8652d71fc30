"""One minion of twelve rejects all starts with 503 for 6.5 s; the jobs of a queue that wait for it are counted."""
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))
import world as w  # noqa: E402

FOR_S = 6.5  # dvorak-epg: { kind = "srv_grey", how = "errors", share = 0.085, x = 1.0, for_s = 6.5 }
JOBS = 6
AGE_S = w.BOUNDS['visible_ms'] / 1000 + 2


def case(world):
    grey = world.minions[3]
    grey.labels.append('b')
    time.sleep(3.5)
    grey.rejects = w.TROUBLE
    begun = time.monotonic()
    world.record.add(grey.name, 'rejects all starts with 503' if w.TROUBLE else 'is sound')
    time.sleep(0.2)
    accepted = {}
    for _ in range(JOBS):
        job = w.new_job()
        body = {'TaskSpec': json.dumps({'ms': 300}),
                'Steps': [{'Count': 1, 'Cpu': 500, 'MemoryRequestMb': 64, 'EstimatedMs': 300, 'Requirements': 'b'}]}
        if world.request(0, 'POST', job, body)[0] == 200:
            accepted[job] = time.monotonic()
        time.sleep(0.05)
    broken, checks = 0, 0
    while time.monotonic() < begun + FOR_S - 0.1:
        time.sleep(0.2)
        now = time.monotonic()
        started = {row['task'][:16] for row in world.all_runs()}
        owed = [job for job, at in accepted.items() if now > at + AGE_S and job not in started]
        if not owed:
            continue
        status, answer, _ = world.request(1, 'GET', '')
        if status == 200 and answer:
            checks += 1
            if answer['Waiting'] < len(owed) / 2:
                broken += 1
                verdict = f'MIXED: Waiting is {answer["Waiting"]}; {len(owed)} jobs, accepted over {AGE_S} s before, have not begun'
    grey.rejects = False
    if w.TROUBLE and not checks:
        raise w.CannotRun('no count was answered')
    for job in list(accepted)[:1]:
        world.request(0, 'GET', job)
    return f'{verdict} ({broken} of {checks} answers)' if broken else None


w.main(FOLDER, 2, 12, case)
