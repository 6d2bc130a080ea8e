"""The promises of the users' pages, judged from what the sockets saw."""

import collections
import json
import time
import urllib.request

from . import clients, stand_ins, world

PROMISES = clients.REFUSALS
# What the system may take after a client left before its worker is free.
FREE_S = 0.6
MAX_RESIDENT_MB = 120
# Configurations shorten the time of a route to this share at most.
MIN_TIMEOUT_FACTOR = 0.8
# A process gives up a request whose connection has ended within this.
GIVE_UP_S = 0.1
# Calm before a request whose end nothing excuses.
SETTLED_S = 3.0
# A connection that ends within this was not read, if its gateway stops.
LOSS_SLACK_S = 0.2
# A cancelled run ends within this, while its process works.
CANCEL_S = 0.4
# After its first pause, an upstream's wish is known to whoever asked it.
PAUSE_KNOWN_S = 0.5
LIMIT_WINDOW_S = 4.0
# A play about copies of refusals has so many requests that could meet theirs.
MIN_AWAITED = 20


def check(deployment, requests, faults):
    """Returns the broken rules as texts.  `faults.troubled(from, to)` tells
    whether a fault touched that span."""
    troubled = faults.troubled
    broken = []
    runs = collections.defaultdict(list)
    for run in deployment.runs:
        runs[run.request].append(run)
    for identity in runs:
        if identity not in requests:
            broken.append("UNASKED %s" % identity)
    for request in requests.values():
        broken += check_once(request, runs[request.identity])
        broken += check_one_run(request, runs[request.identity], faults.cut)
        for attempt, its_runs in by_attempt(request, runs[request.identity]):
            broken += check_request(deployment, attempt, its_runs, troubled)
            broken += check_versions(attempt)
            broken += check_not_lost(attempt, its_runs, faults.moved)
    broken += check_draining(deployment, troubled)
    broken += check_pauses(deployment)
    for gateway in deployment.gateways:
        if gateway.own_ends:
            broken.append("END %s ended by itself %d times: %s" %
                          (gateway.name, len(gateway.own_ends),
                           gateway.own_ends[:3]))
    return broken


def by_attempt(request, runs):
    """Attempts with one id, each with the runs that began before the next: what
    begins after the refusal of an attempt may be owed to the next one only."""
    for attempt in request.attempts():
        since = attempt.began if attempt.earlier else 0
        yield attempt, [run for run in runs if run.began >= since]
        runs = [run for run in runs if run.began < since]


def runs_once(request):
    return request.kind in ("unsafe", "once", "far_once")


def check_once(request, runs):
    """Over all attempts with one id."""
    if runs_once(request) and len(runs) > 1:
        return ["TWICE %s ran %d times" % (request.name(), len(runs))]
    return []


def check_request(deployment, request, runs, troubled):
    broken = []
    name = request.name()
    for run in runs:
        if (run.method, run.target, run.body) != (
                request.method, request.target, request.body):
            broken.append("UNASKED %s was changed" % name)
    if runs_once(request) and request.status in PROMISES and runs:
        broken.append("REFUSED %s: %d, but it ran" % (name, request.status))
    if request.status in (400, 401, 403, 404, 413) and not request.signer:
        broken.append("DENIED %s: %d" % (name, request.status))
    if request.named not in (None, request.identity):
        broken.append("MIXED %s: the answer to %s" % (name, request.named))
    if request.signer:
        broken += check_signed(name, request, runs)
    elif request.status is not None and request.status < 300:
        broken.append("MIXED %s: %d without a signature" %
                      (name, request.status))
    if request.left_at is not None:
        awake = [run for run in runs if not deployment.stood_still(
            run.upstream, request.left_at, request.left_at + FREE_S)]
        broken += check_left(name, request, awake, troubled)
    return broken


def check_signed(name, request, runs):
    # It may have run there more than once.
    statuses = [run.status for run in runs if run.upstream == request.signer]
    if not statuses:
        return ["MIXED %s: signed by %s, which did not run it" %
                (name, request.signer)]
    if request.status not in statuses:
        return ["MIXED %s: status %d, the worker's was %s" %
                (name, request.status, statuses)]
    if request.status != 200:
        return []
    if request.kind not in ("stream", "once"):
        whole = stand_ins.body_of(request.identity,
                                  request.kind in world.LONG_ROUTES)
        rule = "MIXED"
    else:
        whole = clients.whole_stream(request)
        rule = "ORDER"
    if request.complete and request.answer != whole:
        return ["%s %s: complete, but not the whole answer" % (rule, name)]
    if not whole.startswith(request.answer):
        return ["%s %s: bytes that are not its answer's" % (rule, name)]
    return []


def check_one_run(request, runs, cut):
    """A stream goes on elsewhere only once its run before has ended, unless its
    gateway cannot reach that upstream."""
    if request.kind not in ("stream", "once"):
        return []
    # A process that stood still may read what was sent before a reset; it gives
    # that up at once, unanswered, and nothing has gone on there.
    runs = [run for run in runs if run.status is not None or
            run.ended is None or run.ended > run.began + GIVE_UP_S]
    return ["TWICE %s: still worked on at %s %.1f s after it went on at %s" %
            (request.name(), before.upstream, CANCEL_S, run.upstream)
            for before, run in zip(runs, runs[1:])
            if (before.ended is None or before.ended > run.began + CANCEL_S) and
            not cut(run.began, run.began + CANCEL_S)]


def check_not_lost(request, runs, troubled):
    """Without a fault, a request that was read is answered in full."""
    if request.left_at is not None or request.complete:
        return []
    if troubled(request.began - SETTLED_S, request.ended):
        return []
    # The time of its route was up.
    limit_s = world.route_of(request.kind)["timeout_ms"] / 1000
    if request.ended - request.began > MIN_TIMEOUT_FACTOR * limit_s - 0.1:
        return []
    # A request that crosses the close of an idle connection was not read.
    if request.status is None and request.on_kept and not runs:
        return []
    # So may one that was made as the gateway ended.
    if (request.status is None and request.at_leaving and not runs and
            request.ended < request.began + LOSS_SLACK_S):
        return []
    return ["LOST %s: ended after %.3f s, status %s, %d runs, %s" %
            (request.name(), request.ended - request.began, request.status,
             len(runs),
             "kept connection" if request.on_kept else "new connection")]


def check_versions(request):
    """A stream that the client has resumed is by one software version."""
    if request.begun_by is None or request.status != 200:
        return []
    versions = stand_ins.versions_of(request.begun_by.answer + request.answer)
    if len(versions) <= 1:
        return []
    return ["ORDER %s, resumed by %s, holds events of %s" %
            (request.begun_by.name(), request.name(), sorted(versions))]


def check_left(name, request, runs, troubled):
    late = request.left_at + FREE_S
    if late > time.monotonic() or troubled(request.began, late):
        return []
    return ["GONE %s still at work %.1f s after its client left" %
            (name, FREE_S) for run in runs
            if run.began < late and (run.ended is None or run.ended > late)]


def check_draining(deployment, troubled):
    broken = []
    for at, identity, request in deployment.arrivals:
        left = deployment.left.get(identity)
        if left is None or request is None:
            continue
        if at > left + world.DRAIN_S and not troubled(left, at):
            broken.append("DRAIN %s reached %s %.1f s after it announced its "
                          "end" % (request, identity, at - left))
    return broken


def check_pauses(deployment):
    """Each gateway asks a paused upstream once, which tells it of the pause, and
    sends at most two requests more."""
    broken = []
    for upstream in deployment.all_upstreams:
        if not upstream.pauses:
            continue
        first, last = upstream.pauses[0], upstream.pauses[-1]
        end = min(first + upstream.PAUSE_S, last)
        # Then it reads what was sent before.
        if upstream.stood_still(first - SETTLED_S, end):
            continue
        arrivals = [at for at, identity, _ in deployment.arrivals
                    if identity == upstream.identity and
                    first + PAUSE_KNOWN_S < at < end]
        allowed = 3 * len(deployment.gateways)
        if len(arrivals) > allowed:
            broken.append("BUDGET %s got %d requests in its pause" %
                          (upstream.identity, len(arrivals)))
    return broken


def check_limit(deployment, upstream, limit, since):
    """In no window does an upstream get more than its limit allows."""
    arrivals = sorted(at for at, identity, request in deployment.arrivals
                      if identity == upstream.identity and request and
                      at >= since)
    most = max((sum(1 for at in arrivals if first <= at < first + LIMIT_WINDOW_S)
                for first in arrivals), default=0)
    allowed = 1.5 * limit * LIMIT_WINDOW_S + 5
    if most <= allowed:
        return []
    return ["LIMIT %s got %d requests in %d s, allowed %d" %
            (upstream.identity, most, LIMIT_WINDOW_S, allowed)]


def check_lethal(deployment, identities, ends, contact_s):
    """A request that ended three upstreams reaches few more after a time."""
    if len(ends) < 3:
        return []
    late = [at for at, _, request in deployment.arrivals
            if request in identities and at > ends[2] + contact_s]
    if len(late) <= 3:
        return []
    return ["BUDGET a lethal request was sent %d times more; %d ended" %
            (len(late), len(ends))]


def check_not_quiet(seen):
    """A play without requests that came back shows nothing."""
    if seen["awaited"] >= MIN_AWAITED:
        return []
    return ["QUIET only %d requests came back while a copy was due" %
            seen["awaited"]]


def check_store_followed(deployment):
    """Every gateway has the newest configuration and is registered, also after
    restores of the store."""
    broken = []
    registered = deployment.store.rows.get("gateways", {})
    for gateway in deployment.gateways:
        if not gateway.running:
            continue
        url = "http://127.0.0.1:%d/dump" % gateway.admin
        with urllib.request.urlopen(url, timeout=2) as answer:
            version = json.load(answer)["config_version"]
        if version != deployment.config_version:
            broken.append("CONFIG %s has version %d, not %d" %
                          (gateway.name, version, deployment.config_version))
        if "127.0.0.1:%d" % gateway.peer not in registered:
            broken.append("RECOVER %s is not registered" % gateway.name)
    return broken


def check_recovery(requests, since):
    """After the last fault, nearly all requests are served."""
    later = [r for request in requests.values() for r in request.attempts()
             if r.began > since and r.left_at is None]
    served = sum(1 for r in later if r.status == 200 and r.complete)
    if len(later) >= 20 and served < 0.9 * len(later):
        return ["RECOVER %d of %d served after the last fault" %
                (served, len(later))]
    return []
