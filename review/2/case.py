"""One minion of ten goes down and up by turns, soon after it has reported; a task that lasts needs its label."""
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))
import world as w  # noqa: E402

# dvorak-epg-grown: { kind = "srv_flap", share = 0.1, gap_s = 1.4, for_s = 6.5 }: one of ten, period 1.4 s.
GAP_S, FOR_S = 1.4, 6.5
FIRST_REPORT_S = 0.5  # "Approximately every HeartbeatIntervalMs" (1,500 ms)


def case(world):
    flapping = world.minions[4]
    flapping.labels.append('b')
    flapping.first_beat = FIRST_REPORT_S
    time.sleep(3.5)  # two reports with the label
    job = w.new_job()
    body = {'TaskSpec': json.dumps({'lasts': True}),
            'Steps': [{'Count': 1, 'Cpu': 2000, 'MemoryRequestMb': 512, 'EstimatedMs': 400, 'LongRunning': True,
                       'Requirements': 'b'}]}
    for _ in range(5):
        if world.request(0, 'POST', job, body)[0] == 200:
            break
        time.sleep(0.5)
    else:
        raise w.CannotRun('the job was not accepted')
    time.sleep(2)
    if w.TROUBLE:
        until = time.monotonic() + FOR_S
        while time.monotonic() < until:
            flapping.crash()
            time.sleep(GAP_S / 2)
            flapping.boot()
            time.sleep(GAP_S / 2)
    # Calm: the minion stays up. 6 s after its last run a task that lasts has to run again.
    time.sleep(14)
    state = (world.request(0, 'GET', job)[1] or {}).get('State')
    again = (world.request(1, 'GET', job)[1] or {}).get('State')
    runs = [row for row in world.all_runs() if row['task'].startswith(job)]
    ends = [row['end'] and row['end'][0] for row in runs]
    if 'failed' in (state, again) and 'failed' not in ends:
        return f'LOST: job {job} is shown as {state} and {again}; its {len(runs)} runs ended {ends}, none as failed'
    if not runs or runs[-1]['end']:
        return f'LOST: job {job}, {state}, has nothing running; its runs ended {ends}'
    return None


w.main(FOLDER, 2, 10, case)
