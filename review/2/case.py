"""A job whose submission got no answer is cancelled; its write is carried out late by the store."""
import json
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))
import world as w  # noqa: E402

LATE_S = 5.8  # kinds: "platform_lost ... how: late (done 1 to 6 s later)"
SHARE = 0.3  # kinds: "x (.3) of the writes are done and not answered"
CANCEL_S = w.BOUNDS['cancel_ms'] / 1000


def case(world):
    job = w.new_job()
    body = {'TaskSpec': json.dumps({'lasts': True}),
            'Steps': [{'Count': 1, 'Cpu': 500, 'MemoryRequestMb': 64, 'EstimatedMs': 400, 'LongRunning': True}]}
    lost = []

    def lose(txn):
        if any(row['Key'].endswith(job) for row in txn.get('Writes') or []) and not lost_over:
            lost.append(world.record.now())
            world.record.add('store', f'gives no answer to a write of {[r["Key"] for r in txn["Writes"]]}')
            return LATE_S
        return None

    lost_over = not w.TROUBLE
    stop = threading.Event()

    def others():
        """Other requesters, whose writes are answered."""
        short = {'TaskSpec': json.dumps({'ms': 100}), 'Steps': [dict(body['Steps'][0], LongRunning=False)]}
        while not stop.is_set():
            world.request(1, 'POST', w.new_job(), short, quiet=True)
            stop.wait(0.1)

    threading.Thread(target=others, daemon=True).start()
    time.sleep(0.5)
    written = world.store.written
    world.store.lose = lose
    status = world.request(0, 'POST', job, body)[0]
    world.store.lose = lambda txn: None  # the disturbance is over
    stop.set()
    written = world.store.written - written
    world.record.add('store', f'gave no answer to {world.store.lost} of {written} writes meanwhile')
    if world.store.lost > SHARE * written:
        raise w.CannotRun('more writes were lost than the share allows')
    if w.TROUBLE and status == 200:
        raise w.CannotRun('the submission was answered with 200')
    time.sleep(0.2)
    cancelled, _, acknowledged = world.request(0, 'DELETE', job)
    for _ in range(8):
        if cancelled in (200, 410):
            break
        time.sleep(0.3)
        cancelled, _, acknowledged = world.request(0, 'DELETE', job)
    if cancelled not in (200, 410):
        raise w.CannotRun(f'the cancel was answered with {cancelled}')
    time.sleep(10)
    world.request(0, 'GET', job)
    runs = [row for row in world.all_runs() if row['task'].startswith(job)]
    late = [row for row in runs if row['start'] > acknowledged + CANCEL_S]
    if late:
        return (f'UNASKED: the cancel was acknowledged with {cancelled} at {acknowledged:.3f}; '
                f'{late[0]["task"]} was started at {late[0]["start"]:.3f}, end {late[0]["end"]}')
    return None


w.main(FOLDER, 2, 3, case)
