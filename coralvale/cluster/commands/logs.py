"""Commands for logs: the catalogue of events, and the trace of one request."""

from __future__ import annotations

import json
from pathlib import Path

from coralvale.cluster.commands.asking import read_logs


def events(*, as_json: bool = False) -> int:
    """Print the catalogue of log events.

    :param as_json: print one JSON object
    """
    from coralvale.cluster.events import Event, catalogue

    if as_json:
        print(json.dumps({e.number: {"level": e.value[1], "text": e.value[2]} for e in Event}))
    else:
        print(catalogue(), end="")
    return 0


def explain(request_id: str, *logs: Path, as_json: bool = False) -> int:
    """Trace one request through the logs of all gateways, written with MYRTLEHATCH_LOG=DEBUG.

    The exit code is 1 if the logs do not contain it.

    :param request_id: its X-Myrtlehatch-Request-Id
    :param logs: log files, or folders of them
    :param as_json: print one JSON object
    """
    trace = []
    for file, lines in read_logs(logs):
        for line in lines:
            words = line.split(" ", 5)
            if (
                len(words) == 6
                and words[2][:1] == "E"
                and words[3] == "request"
                and words[4].rstrip(":") == request_id
            ):
                trace.append(
                    {"gateway": file.name, "at": words[0], "event": words[2], "text": " ".join(words[3:])}
                )
    trace.sort(key=lambda row: row["at"])
    if as_json:
        print(json.dumps(trace))
    else:
        print(
            "\n".join(f"{r['at']} {r['gateway']} {r['event']} {r['text']}" for r in trace)
            or "not in these logs"
        )
    return 0 if trace else 1
