// Whether this gateway is partitioned from the upstreams of a service.
#include "corianderlink/Gateway/upstream_reachability.h"

#include <algorithm>

#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

// Failures of so many upstreams within this time raise a suspicion.
constexpr size_t kSuspectUpstreams = 2;
constexpr Duration kSuspicionWindow = seconds(1);
// Time between the beginnings of two samples.
constexpr Duration kSampleInterval = milliseconds(400);

}  // namespace

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
  if (!state.suspected && !state.partitioned_since) return false;
  return !state.last_sample_at ||
         now - *state.last_sample_at >= kSampleInterval;
}

void UpstreamReachability::OnSampleBegun(Time now, const ServiceId& service) {
  State& state = services_[service];
  state.sampling = true;
  state.last_sample_at = now;
}

void UpstreamReachability::OnSample(Time now, const ServiceId& service,
                                    ConnectionSample sample) {
  State& state = services_[service];
  state.sampling = false;
  state.suspected = false;
  state.failures.clear();
  const bool partitioned = sample.established == 0;
  if (state.partitioned_since.has_value() == partitioned) return;
  state.partitioned_since.reset();
  if (partitioned) state.partitioned_since = state.last_sample_at;
  Log(LogLevel::kWarning, partitioned ? "partition_begun" : "partition_ended",
      {{"service", service.value()},
       {"established", static_cast<uint64_t>(sample.established)},
       {"failed", static_cast<uint64_t>(sample.failed)},
       {"sample_age_ms", ToMillis(now - *state.last_sample_at)}});
}

bool UpstreamReachability::IsPartitioned(const ServiceId& service) const {
  const auto it = services_.find(service);
  return it != services_.end() && it->second.partitioned_since.has_value();
}

bool UpstreamReachability::IsUnknown(const ServiceId& service) const {
  const auto it = services_.find(service);
  if (it == services_.end()) return false;
  return it->second.sampling && !it->second.partitioned_since;
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

std::set<ServiceId> UpstreamReachability::PartitionedServices() const {
  std::set<ServiceId> partitioned;
  for (const auto& [service, state] : services_) {
    if (state.partitioned_since) partitioned.insert(service);
  }
  return partitioned;
}

std::set<ServiceId> UpstreamReachability::WatchedServices() const {
  std::set<ServiceId> watched;
  for (const auto& [service, state] : services_) {
    if (state.partitioned_since || state.suspected) watched.insert(service);
  }
  return watched;
}

}  // namespace corianderlink
