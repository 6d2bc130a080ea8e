"""Shows a local deployment at work; see utils/demo."""

import json
import signal
import sys
import threading
import time

from local_fleet import LocalFleet, get, post, request, wait

failures = []


def report(what, ok, detail=""):
    print("%-4s %s%s" % ("ok" if ok else "FAIL", what,
                         ": " + detail if detail else ""), flush=True)
    if not ok:
        failures.append(what)


def chat(content, priority="chat", stream=False, max_tokens=20):
    return {"model": "model", "stream": stream, "priority": priority,
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": content}]}


def apply_first_note(fleet):
    begin = time.monotonic()
    code, body, err = fleet.apply(0, fleet.first_note())
    report("release note accepted", code == 0, json.dumps(body) + err)

    def everywhere():
        return fleet.ctl(1, "note", "status", "first")[1]["in_force_everywhere"]

    wait(everywhere, 10, "note in force everywhere")
    report("note in force on every process", True,
           "after %.2f s" % (time.monotonic() - begin))
    wait(fleet.all_as_wanted, 60, "engines loaded")
    report("engines loaded their model", True,
           "after %.2f s" % (time.monotonic() - begin))
    wait(lambda: post(fleet.entry(0), "/v1/chat/completions",
                      chat("warm-up"))[0] == 200, 10, "entry serves")


def show_urgent_stream(fleet):
    begin = time.monotonic()
    status, _, body = post(fleet.entry(0), "/v1/chat/completions",
                           chat("Is this dent fixable?", "urgent", True))
    events = body.count("data: ")
    whole = status == 200 and body.rstrip().endswith("[DONE]")
    report("urgent answer streamed", whole, "%d events in %.0f ms" %
           (events, 1000 * (time.monotonic() - begin)))


def show_job(fleet):
    status, headers, body = post(
        fleet.entry(1), "/v1/jobs", chat("Read this manual. " * 2000, "bulk",
                                         max_tokens=30),
        {"Idempotency-Key": "manual-1"})
    report("long reading job accepted", status == 202, body)
    path = "/v1/jobs/" + json.loads(body)["id"]
    wait(lambda: json.loads(get(fleet.entry(2), path)[1])["status"] == "done",
         30, "job done")
    result = json.loads(get(fleet.entry(2), path)[1])["result"]
    report("job result read through another entry", len(result) > 0,
           "%d bytes" % len(result))


def show_booking(fleet):
    key = {"Idempotency-Key": "booking-1"}
    first = post(fleet.entry(0), "/v1/services/booking/book", {"slot": 9}, key)
    again = post(fleet.entry(3), "/v1/services/booking/book", {"slot": 9}, key)
    effects = sum(len(json.loads(get(fleet.service(i), "/ledger")[1])["ledger"])
                  for i in range(fleet.service_count))
    report("booking retried with its key ran once",
           first[0] == 200 and again[2] == first[2] and effects == 1,
           "%d effect, answers %s and %s" % (effects, first[2], again[2]))
    other = post(fleet.entry(1), "/v1/services/booking/book", {"slot": 8}, key)
    report("same key with another body refused", other[0] == 422, other[2])


class BackgroundLoad:
    """Short streamed chats through the entries that the directory names."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.stop = threading.Event()
        self.sent = self.whole = 0
        self.errors = []
        self.lock = threading.Lock()
        self.threads = [threading.Thread(target=self.run, args=(i,))
                        for i in range(6)]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stop.set()
        for thread in self.threads:
            thread.join()

    def run(self, number):
        entries, kept_until, count = [], 0, 0
        while not self.stop.is_set():
            if time.monotonic() >= kept_until:
                entries, keep = self.directory()
                kept_until = time.monotonic() + keep
            count += 1
            status, _, body = post(
                entries[(number + count) % len(entries)],
                "/v1/chat/completions",
                chat("load %d %d" % (number, count), stream=True,
                     max_tokens=60))
            with self.lock:
                self.sent += 1
                if status == 200 and body.rstrip().endswith("[DONE]"):
                    self.whole += 1
                else:
                    self.errors.append("%d %s" % (status, body[-300:]))

    def directory(self):
        for i in range(self.fleet.instance_count):
            status, body = get(self.fleet.entry(i), "/v1/entries")
            if status == 200:
                answer = json.loads(body)
                return ([e["address"] for e in answer["entries"]],
                        answer["keep_s"])
        raise RuntimeError("no entry answers")


def show_role_change(fleet):
    change = {"id": "role-change", "base_revision": 1, "changed": {
        "engines": {"e0": dict(fleet.engine_items()["e0"], role="prefill")}}}
    with BackgroundLoad(fleet) as load:
        begin = time.monotonic()
        code, body, err = fleet.apply(2, change)
        report("role change accepted", code == 0, json.dumps(body) + err)
        wait(lambda: json.loads(get(fleet.engine(0), "/v1/state")[1])["role"]
             == "prefill", 40, "role changed")
        took = time.monotonic() - begin
        time.sleep(1)
    cut = json.loads(get(fleet.engine(0), "/record")[1])["streams_cut"]
    report("role change under load cut nothing",
           cut == 0 and load.sent == load.whole and load.sent > 0,
           "%d of %d answers whole, %d streams cut, %.1f s %s" %
           (load.whole, load.sent, cut, took, load.errors[:2]))


def show_planned_stop(fleet):
    entry = fleet.processes["entry-3"]
    with BackgroundLoad(fleet) as load:
        time.sleep(0.5)
        begin = time.monotonic()
        entry.send_signal(signal.SIGTERM)
        code = entry.wait(timeout=60)
        took = time.monotonic() - begin
    report("planned stop under load cut nothing",
           code == 0 and load.sent == load.whole and load.sent > 0,
           "%d of %d answers whole, stopped after %.1f s %s" %
           (load.whole, load.sent, took, load.errors[:2]))


def main():
    keep = "--keep" in sys.argv[1:]
    fleet = LocalFleet()
    try:
        fleet.start_all()
        apply_first_note(fleet)
        if keep:
            print("entries: %s" % " ".join(fleet.entry(i) for i in range(4)))
            print("fleet admin: %s, token in %s" %
                  (fleet.fleet_admin(0), fleet.path("admin.token")))
            print("try: curl -N http://%s/v1/chat/completions -d '%s'" %
                  (fleet.entry(0), json.dumps(chat("Hello", stream=True))))
            print("logs: %s; interrupt to stop" % fleet.directory, flush=True)
            # Blocked only now: the processes started before inherit no mask.
            stop = {signal.SIGINT, signal.SIGTERM}
            signal.pthread_sigmask(signal.SIG_BLOCK, stop)
            signal.sigwait(stop)
            return 0
        show_urgent_stream(fleet)
        show_job(fleet)
        show_booking(fleet)
        show_role_change(fleet)
        show_planned_stop(fleet)
    except RuntimeError as error:
        report(str(error), False, "logs in " + fleet.directory)
    finally:
        fleet.stop_all()
    print("%d failed" % len(failures))
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
