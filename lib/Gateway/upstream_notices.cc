// What upstreams said about themselves in their responses.
#include "corianderlink/Gateway/upstream_notices.h"

#include <algorithm>

#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

// Longest pause that an upstream may ask for.
constexpr Duration kMaxPause = seconds(60);

}  // namespace

bool UpstreamNotices::OnLeaving(const UpstreamId& upstream,
                                int64_t started_ms) {
  const auto [it, added] = leaving_.try_emplace(upstream, started_ms);
  if (added) return true;
  const bool later_start = started_ms > it->second;
  if (later_start) it->second = started_ms;
  return later_start;
}

Time UpstreamNotices::OnPauseRequested(Time now, const UpstreamId& upstream,
                                       Duration pause) {
  const Time end = now + std::clamp(pause, Duration::zero(), kMaxPause);
  Time& known = paused_until_[upstream];
  known = std::max(known, end);
  return known;
}

bool UpstreamNotices::IsLeaving(const UpstreamRecord& upstream) const {
  const auto it = leaving_.find(upstream.id);
  return it != leaving_.end() && upstream.started_ms <= it->second;
}

std::optional<Time> UpstreamNotices::PausedUntil(
    Time now, const UpstreamId& upstream) const {
  const auto it = paused_until_.find(upstream);
  if (it == paused_until_.end() || it->second <= now) return std::nullopt;
  return it->second;
}

void ReadLeavingNotice(const UpstreamRecord& upstream,
                       const UpstreamResponseInfo& response,
                       const std::string& source, UpstreamNotices& notices) {
  // Another upstream that has this address now speaks for itself only.
  if (!response.leaving || response.address_reassigned) return;
  if (!notices.OnLeaving(upstream.id, upstream.started_ms)) return;
  Log(LogLevel::kInfo, "upstream_leaving",
      {{"upstream", upstream.id.value()},
       {"started_ms", upstream.started_ms},
       {"request", source}});
}

}  // namespace corianderlink
