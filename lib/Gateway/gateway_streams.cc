// The gateway's part in keeping streams at their software versions.
#include <algorithm>

#include "corianderlink/Gateway/gateway.h"

namespace corianderlink {
namespace {

// Gateways that keep records of streams; two, as one may not reach the store.
constexpr size_t kStreamRecordWriters = 2;

}  // namespace

std::optional<VersionConstraint> Gateway::ConstrainStream(
    Time now, const RouteSpec& route, const ClientRequest& request,
    ServiceId& service, std::string& reason) const {
  VersionConstraint constraint;
  if (!route.resumable) return constraint;
  if (!request.is_resumption) {
    return stream_versions_.ForNewStream(now, service, PeerVersions(now));
  }
  const ResumptionDecision decision =
      stream_versions_.Resolve(now, KeyOfStream(request.resumes, request),
                               service, peers_.ReportedUntil(now));
  reason = decision.reason;
  if (!decision.version) return std::nullopt;
  constraint.required = decision.version;
  if (decision.service.empty()) return constraint;
  service = decision.service;
  const bool is_routed = std::any_of(
      route.services.begin(), route.services.end(),
      [&](const WeightedService& other) { return other.service == service; });
  if (is_routed) return constraint;
  reason = "route no longer leads to the service of the stream";
  return std::nullopt;
}

std::vector<const StreamVersionReport*> Gateway::PeerVersions(Time now) const {
  std::vector<const StreamVersionReport*> reports;
  for (const auto& peers : {peers_.Live(now), peers_.Unresponsive(now)}) {
    for (const GatewayPeer* peer : peers) {
      reports.push_back(&peer->status.stream_versions);
    }
  }
  return reports;
}

bool Gateway::NeedsStreamRecords() const {
  const Time now = BootClock::now();
  if (!ready() || stream_versions_.is_complete()) return false;
  if (stream_versions_.KnowledgeAge(now) > StreamVersions::kMaxKnowledgeAge) {
    return false;
  }
  // The others are told by peers.
  return Rank(now) < kStreamRecordWriters;
}

std::optional<StoreRecord> Gateway::NextStreamRecord(int64_t unix_now_ms) {
  const Time now = BootClock::now();
  const size_t rank = Rank(now);
  if (!ready() || rank >= kStreamRecordWriters) return std::nullopt;
  return stream_versions_.NextRecord(now, unix_now_ms, rank);
}

Duration Gateway::StoreResponseAge(Time now) const {
  return std::min(store_contact_.OwnAge(now, StoreTable::kUpstreams),
                  peers_.StoreAge(now));
}

}  // namespace corianderlink
