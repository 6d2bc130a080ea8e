// The gateway's relaying of requests: to upstreams, or to peers while it is
// partitioned from the upstreams.
#include <algorithm>
#include <utility>

#include "corianderlink/Gateway/gateway.h"

namespace corianderlink {
namespace {

// A crash is reported once it is known whether the link is at fault.
constexpr Duration kCrashReportDelay = milliseconds(5);
constexpr Duration kMaxCrashReportDelay = milliseconds(300);

}  // namespace

RelayContext Gateway::MakeRelayContext() {
  RelayContext context{loop_,          pool_,           placer_,
                       codecs_.relay,  metrics_,        random_,
                       quarantine_,    upstream_probe_, retry_budget_,
                       answer_memory_, stop_admission_};
  context.on_suspect_failure = [this](Time now, const UpstreamRecord& upstream,
                                      const Outcome& outcome) {
    OnSuspectFailure(now, upstream, outcome);
  };
  context.on_upstream_response = [this](Time now, const ServiceId& service) {
    reachability_.OnResponse(now, service);
  };
  context.report_crash = [this](const ServiceId& service,
                                const RequestSuspects& request,
                                const UpstreamCrash& crash) {
    ReportCrash(service, request, crash);
  };
  context.is_reachability_unknown = [this](const ServiceId& service) {
    return reachability_.IsUnknown(service);
  };
  context.must_forward = [this](Time now, const ServiceId& service) {
    return MustForward(now, service);
  };
  context.can_peer_serve_better = [this](Time now, const ServiceId& service) {
    return CanPeerServeBetter(now, service);
  };
  context.forward = [this](ForwardedRequest request) {
    std::make_shared<ForwardTask>(forward_context_, std::move(request))
        ->Start();
  };
  context.on_stream_begun = [this](const StreamOrigin& origin) {
    stream_versions_.origins().Add(origin);
  };
  context.is_version_registered = [this](const ServiceId& service,
                                         const SoftwareVersion& version) {
    return stream_versions_.history().IsRegistered(service, version);
  };
  context.estimate_prior_wait = [this](const RouteSpec& route,
                                       Duration client_timeout) {
    return EstimatePriorWait(route, client_timeout);
  };
  return context;
}

ForwardContext Gateway::MakeForwardContext() {
  ForwardContext context{loop_,    pool_,   codecs_.relay,
                         metrics_, random_, answer_memory_};
  context.choose_peer = [this](Time now, const ServiceId& service,
                               const std::set<Address>& excluded) {
    return peer_selection_.Choose(peers_.Live(now), service, excluded);
  };
  context.on_begin = [this](const Address& peer) {
    peer_selection_.OnBegin(peer);
  };
  context.on_end = [this](const Address& peer) { peer_selection_.OnEnd(peer); };
  return context;
}

void Gateway::StartRelay(RelayedRequest relayed) {
  const Time now = BootClock::now();
  const ServiceId& service = relayed.service.id;
  const std::optional<ForwardingState>& state = relayed.request.forwarding;
  bool is_new = true;
  if (relayed.from_peer && state) {
    relayed.route.max_runs = std::min(relayed.route.max_runs, state->runs_left);
    is_new = !state->is_counted;
  }
  // The peer that serves a forwarded request counts it.
  relayed.is_counted = relayed.from_peer || !MustForward(now, service);
  if (relayed.is_counted && is_new) {
    retry_budget_.OnRequest(now, service);
  }
  std::make_shared<RelayTask>(relay_context_, std::move(relayed))->Start();
}

bool Gateway::MustForward(Time now, const ServiceId& service) const {
  if (!reachability_.IsPartitioned(service)) return false;
  const auto live = peers_.Live(now);
  return std::any_of(live.begin(), live.end(), [&](const GatewayPeer* peer) {
    return PeerSelection::CanServe(*peer, service);
  });
}

bool Gateway::CanPeerServeBetter(Time now, const ServiceId& service) const {
  if (reachability_.LinkTo(service) != UpstreamLink::kImpaired) return false;
  const auto live = peers_.Live(now);
  return std::any_of(live.begin(), live.end(), [&](const GatewayPeer* peer) {
    return PeerSelection::IsUnimpaired(*peer, service);
  });
}

void Gateway::ReportCrash(const ServiceId& service,
                          const RequestSuspects& request,
                          const UpstreamCrash& crash) {
  const Time now = BootClock::now();
  // Behind a broken link of this gateway, upstreams only look crashed.
  const bool may_wait = now - crash.crashed_at < kMaxCrashReportDelay;
  if (reachability_.IsUnknown(service) && may_wait) {
    const uint64_t number = ++last_crash_report_;
    crash_reports_[number] =
        loop_.After(kCrashReportDelay, [this, number, service, request, crash] {
          const auto timer = crash_reports_.extract(number);
          ReportCrash(service, request, crash);
        });
    return;
  }
  if (IsOwnLinkBroken(now, service)) return;
  quarantine_.OnCrash(now, request, crash);
}

bool Gateway::IsOwnLinkBroken(Time now, const ServiceId& service) const {
  const auto since = reachability_.PartitionedSince(service);
  if (!since) return false;
  const auto live = peers_.Live(now);
  return std::any_of(live.begin(), live.end(), [&](const GatewayPeer* peer) {
    const auto& responses = peer->status.upstream_responses;
    const auto response = responses.find(service);
    return response != responses.end() && response->second > *since;
  });
}

void Gateway::OnProbeAnswer(const UpstreamRecord& upstream,
                            const ResponseHead& head) {
  ReadLeavingNotice(upstream, codecs_.relay.decode_response(head, upstream.id),
                    "probe", placer_.notices());
}

void Gateway::OnSuspectFailure(Time now, const UpstreamRecord& upstream,
                               const Outcome& outcome) {
  const ServiceId& service = upstream.service;
  const size_t usable = placer_.directory().Usable(service).size();
  reachability_.OnSuspectFailure(now, upstream, usable);
  // An upstream that has ended refuses connections; its host answers.
  const bool not_connected =
      outcome.verdict == Verdict::kNotRun && !outcome.connection_refused;
  if (not_connected) reachability_.Suspect(service);
  SampleReachability(now, service);
}

void Gateway::SampleReachability(Time now) {
  // No link can be told of a service without upstreams.
  reachability_.ForgetIf([this](const ServiceId& service) {
    return placer_.directory().Usable(service).empty();
  });
  for (const ServiceId& service : reachability_.WatchedServices()) {
    SampleReachability(now, service);
  }
}

void Gateway::SampleReachability(Time now, const ServiceId& service) {
  if (!reachability_.IsSampleDue(now, service)) return;
  const auto upstreams = placer_.directory().Usable(service);
  const auto config = record_cache_.config();
  if (upstreams.empty() || config == nullptr) return;
  const auto spec = config->services.find(service);
  if (spec == config->services.end()) return;
  const size_t most = reachability_.SampleSize(service);
  reachability_.OnSampleBegun(now, service);
  reachability_sampler_.Start(service, upstreams, most,
                              spec->second.health_path,
                              [this, service](const ConnectionSample& sample) {
                                OnReachabilitySample(service, sample);
                              });
}

void Gateway::OnReachabilitySample(const ServiceId& service,
                                   const ConnectionSample& sample) {
  const Time now = BootClock::now();
  const UpstreamLink before = reachability_.LinkTo(service);
  reachability_.OnSample(now, service, sample);
  const UpstreamLink link = reachability_.LinkTo(service);
  if (link != UpstreamLink::kUp) placer_.OnSample(now, sample);
  if (link == before) return;
  if (link == UpstreamLink::kUp) placer_.OnLinkUp(service);
  // The other services are often behind the same link.
  for (const auto& [other, spec] : record_cache_.config()->services) {
    if (reachability_.LinkTo(other) != link) reachability_.Suspect(other);
  }
  SampleReachability(now);
  peers_.SendHeartbeat();
}

}  // namespace corianderlink
