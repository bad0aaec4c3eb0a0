"""Batch jobs of the demo, by plain HTTP."""
import json
import uuid

import fleet as f

KEY = {"Authorization": "Bearer guild-key"}


def item(number, text, **more):
    return {"custom_id": f"item-{number}", "method": "POST",
            "url": "/v1/chat/completions",
            "body": {"model": "lantern-muse", **more,
                     "messages": [{"role": "user", "content": text}]}}


def upload(entry, items):
    boundary = uuid.uuid4().hex
    lines = "".join(json.dumps(i) + "\n" for i in items)
    body = "".join(
        f"--{boundary}\r\nContent-Disposition: form-data; {disposition}"
        f"\r\n\r\n{content}\r\n" for disposition, content in (
            ('name="purpose"', "batch"),
            ('name="file"; filename="items.jsonl"', lines)))
    answer = f.request(
        entry.port, "POST", "/v1/files", body + f"--{boundary}--\r\n",
        {**KEY, "Content-Type": f"multipart/form-data; boundary={boundary}"})
    return answer.json()["id"]


def create(entry, file_id, key):
    return f.request(
        entry.port, "POST", "/v1/batches",
        {"input_file_id": file_id, "endpoint": "/v1/chat/completions",
         "completion_window": "24h"}, {**KEY, "Idempotency-Key": key}).json()


def get(entry, job):
    return f.request(entry.port, "GET", "/v1/batches/" + job["id"], None,
                     KEY).json()


def cancel(entry, job):
    return f.request(entry.port, "POST", f"/v1/batches/{job['id']}/cancel",
                     None, KEY)


def wait_for_state(entry, job, states, timeout_s=120):
    """Watches the job, printing its progress, until it is in a state."""
    seen = [None]

    def check():
        now = get(entry, job)
        counts = now.get("request_counts")
        if counts != seen[0]:
            seen[0] = counts
            print(f"        batch {now['status']}: {counts}", flush=True)
        return now if now["status"] in states else None
    return f.wait_for(check, f"the batch to be in {states}", timeout_s)


def lines(entry, file_id):
    if not file_id:
        return []
    answer = f.request(entry.port, "GET", f"/v1/files/{file_id}/content", None,
                       KEY)
    return [json.loads(line) for line in answer.body.splitlines()]
