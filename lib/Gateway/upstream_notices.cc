// What upstreams said about themselves in their responses.
#include "corianderlink/Gateway/upstream_notices.h"

#include <algorithm>

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

}  // namespace corianderlink
