"""No case: a task of 400 s on sound minions, without any disruption. Prints its runs within 30 s."""
import json
import sys
import tempfile
import time

sys.dont_write_bytecode = True
import world as w  # noqa: E402


def case(world):
    job = w.new_job()
    world.request(0, 'POST', job, {'TaskSpec': json.dumps({'ms': 400000}), 'Steps': [
        {'Count': 1, 'Cpu': 500, 'MemoryRequestMb': 64, 'EstimatedMs': 400000}]})
    time.sleep(30)
    runs = [row for row in world.all_runs() if row['task'].startswith(job)]
    for row in runs:
        print(row['run'], row['minion'], round(row['start'], 1), row['end'])
    return f'{len(runs)} runs' if len(runs) > 1 else None


w.main(tempfile.mkdtemp(), 2, 3, case)
