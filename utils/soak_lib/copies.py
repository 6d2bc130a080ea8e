"""Refusals that an upstream writes once more, later, on their connection."""

import asyncio
import random
import time

# A copy comes so late at most; this share of those that are due when their
# request is worked on again on the connection comes within that work.
LATEST_S, MEETING_SHARE, WITHIN_S = 1.2, 0.8, 0.02


class Copies:
    """Those of one connection; `seen` is a list that gets what happens."""

    def __init__(self, writer, seen):
        self.writer, self.seen = writer, seen
        self.port = (writer.get_extra_info("peername") or (None, 0))[1]
        # Request and bytes of each copy that is still to come, and those whose
        # time came within the bytes of an answer.
        self.due, self.waiting = [], []
        # The request in progress, and whether its answer has begun.
        self.request, self.answering = None, False

    def note(self, what, request):
        self.seen.append((what, time.monotonic(), request, self.port))

    def awaits(self, request):
        """Whether a copy is still to come that names this request."""
        return (not self.writer.is_closing() and
                any(request == name for name, _ in self.due))

    def add(self, request, refusal):
        self.note("refused", request)
        self.due.append((request, refusal))
        asyncio.get_running_loop().call_later(
            random.uniform(0, LATEST_S), self.write, self.due[-1])

    def work_begins(self):
        for copy in self.due:
            if copy[0] == self.request and random.random() < MEETING_SHARE:
                asyncio.get_running_loop().call_later(
                    random.uniform(0, WITHIN_S), self.write, copy)

    def write(self, copy):
        if copy not in self.due or self.writer.is_closing():
            return
        if self.answering:
            self.waiting.append(copy)
            return
        self.due.remove(copy)
        self.writer.write(copy[1])
        self.note("met" if copy[0] == self.request else "copied", copy[0])

    def answered(self):
        self.request, self.answering = None, False
        waiting, self.waiting = self.waiting, []
        for copy in waiting:
            self.write(copy)
