// Whether this gateway reaches the upstreams of a service.
#include "corianderlink/Gateway/upstream_reachability.h"

#include <algorithm>
#include <utility>

#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

// Failures of so many upstreams within this time raise a suspicion.
constexpr size_t kSuspectUpstreams = 2;
constexpr Duration kSuspicionWindow = seconds(1);
// Time between the beginnings of two samples.
constexpr Duration kSampleInterval = milliseconds(400);
// A few upstreams show that something is wrong; which ones this gateway does
// not reach is found out by larger samples.
constexpr size_t kFirstSampleSize = 6;
constexpr size_t kSampleSize = 24;

UpstreamLink LinkOf(const ConnectionSample& sample) {
  const size_t established = sample.established.size();
  if (established == 0) return UpstreamLink::kPartitioned;
  if (established <= sample.failed.size()) return UpstreamLink::kImpaired;
  return UpstreamLink::kUp;
}

}  // namespace

const char* ToString(UpstreamLink link) {
  switch (link) {
    case UpstreamLink::kUp:
      return "up";
    case UpstreamLink::kImpaired:
      return "impaired";
    case UpstreamLink::kPartitioned:
      return "partitioned";
  }
  return "unknown";
}

void UpstreamReachability::OnSuspectFailure(Time now,
                                            const UpstreamRecord& upstream,
                                            size_t usable) {
  State& state = services_[upstream.service];
  state.failures[upstream.id] = now;
  std::erase_if(state.failures, [now](const auto& failure) {
    return now - failure.second > kSuspicionWindow;
  });
  const size_t needed =
      std::min(kSuspectUpstreams, std::max<size_t>(usable, 1));
  if (state.failures.size() >= needed) state.suspected = true;
}

bool UpstreamReachability::IsSampleDue(Time now,
                                       const ServiceId& service) const {
  const auto it = services_.find(service);
  if (it == services_.end() || it->second.sampling) return false;
  const State& state = it->second;
  if (state.must_sample_again) return true;
  if (!state.suspected && state.link == UpstreamLink::kUp) return false;
  return !state.last_sample_at ||
         now - *state.last_sample_at >= kSampleInterval;
}

size_t UpstreamReachability::SampleSize(const ServiceId& service) const {
  return LinkTo(service) == UpstreamLink::kUp ? kFirstSampleSize : kSampleSize;
}

void UpstreamReachability::OnSampleBegun(Time now, const ServiceId& service) {
  State& state = services_[service];
  state.must_sample_again = false;
  state.sampling = true;
  state.last_sample_at = now;
}

void UpstreamReachability::OnSample(Time now, const ServiceId& service,
                                    const ConnectionSample& sample) {
  State& state = services_[service];
  state.sampling = false;
  state.suspected = false;
  state.failures.clear();
  const UpstreamLink before = std::exchange(state.link, LinkOf(sample));
  if (before == state.link) return;
  state.must_sample_again =
      before == UpstreamLink::kUp && state.link == UpstreamLink::kImpaired;
  state.partitioned_since.reset();
  if (state.link == UpstreamLink::kPartitioned) {
    state.partitioned_since = state.last_sample_at;
  }
  Log(LogLevel::kWarning, "upstream_link_changed",
      {{"service", service.value()},
       {"link", ToString(state.link)},
       {"before", ToString(before)},
       {"established", static_cast<uint64_t>(sample.established.size())},
       {"failed", static_cast<uint64_t>(sample.failed.size())},
       {"sample_age_ms", ToMillis(now - *state.last_sample_at)}});
}

UpstreamLink UpstreamReachability::LinkTo(const ServiceId& service) const {
  const auto it = services_.find(service);
  return it == services_.end() ? UpstreamLink::kUp : it->second.link;
}

bool UpstreamReachability::IsUnknown(const ServiceId& service) const {
  const auto it = services_.find(service);
  if (it == services_.end()) return false;
  return it->second.sampling && it->second.link == UpstreamLink::kUp;
}

std::optional<Time> UpstreamReachability::PartitionedSince(
    const ServiceId& service) const {
  const auto it = services_.find(service);
  if (it == services_.end()) return std::nullopt;
  return it->second.partitioned_since;
}

std::map<ServiceId, Time> UpstreamReachability::LastResponses() const {
  std::map<ServiceId, Time> responses;
  for (const auto& [service, state] : services_) {
    if (state.last_response_at) responses[service] = *state.last_response_at;
  }
  return responses;
}

std::set<ServiceId> UpstreamReachability::ServicesWith(
    UpstreamLink link) const {
  std::set<ServiceId> found;
  for (const auto& [service, state] : services_) {
    if (state.link == link) found.insert(service);
  }
  return found;
}

std::set<ServiceId> UpstreamReachability::WatchedServices() const {
  std::set<ServiceId> watched;
  for (const auto& [service, state] : services_) {
    const bool is_up = state.link == UpstreamLink::kUp;
    if (!is_up || state.suspected) watched.insert(service);
  }
  return watched;
}

}  // namespace corianderlink
