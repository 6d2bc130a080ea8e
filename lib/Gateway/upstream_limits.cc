// Rate limits that upstreams name in their responses.
#include "corianderlink/Gateway/upstream_limits.h"

#include <algorithm>
#include <string>

#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

// The times of a peer's notice are late by the transit of its heartbeat.
constexpr Duration kPeerTolerance = milliseconds(500);
// Own notices are reported for this long.
constexpr Duration kReportTime = seconds(60);
constexpr size_t kMaxReports = 64;

std::string LimitText(std::optional<double> per_second) {
  return per_second ? std::to_string(*per_second) : "none";
}

// True if the limit that `to` names is lower; none is the highest.
bool Lowers(const RateLimitNotice& from, const RateLimitNotice& to) {
  if (!to.per_second) return false;
  return !from.per_second || *to.per_second < *from.per_second;
}

// True if `next` replaces `present`, a notice of the same incarnation.
bool Supersedes(const RateLimitNotice& next, const RateLimitNotice& present,
                Duration tolerance) {
  if (next.sent_at > present.received_at + tolerance) return true;
  if (next.received_at < present.sent_at) return false;
  // Their order is not known.  A limit that has ended is not revived by a
  // response that may be older.
  return present.per_second && Lowers(present, next);
}

}  // namespace

bool UpstreamLimits::OnNotice(const RateLimitNotice& notice) {
  const bool changed = Merge(notice, Duration::zero(), "own");
  const auto it = known_.find(notice.upstream);
  if (it == known_.end()) return changed;
  std::optional<RateLimitNotice>& own = it->second.own;
  const bool later = !own || notice.started_ms > own->started_ms ||
                     (notice.started_ms == own->started_ms &&
                      Supersedes(notice, *own, Duration::zero()));
  if (later) own = notice;
  return changed;
}

void UpstreamLimits::OnPeerNotices(
    const std::vector<RateLimitNotice>& notices) {
  for (const RateLimitNotice& notice : notices) {
    Merge(notice, kPeerTolerance, "peer");
  }
}

bool UpstreamLimits::Merge(const RateLimitNotice& notice, Duration tolerance,
                           const char* source) {
  const auto it = known_.find(notice.upstream);
  if (it == known_.end() && !notice.per_second) return false;
  std::optional<double> before;
  if (it != known_.end()) {
    const RateLimitNotice& present = it->second.notice;
    if (notice.started_ms < present.started_ms) return false;
    const bool same_start = notice.started_ms == present.started_ms;
    if (same_start && !Supersedes(notice, present, tolerance)) return false;
    if (same_start) before = present.per_second;
  }
  known_[notice.upstream].notice = notice;
  if (before == notice.per_second) return false;
  Log(LogLevel::kInfo, "upstream_rate_limit",
      {{"upstream", notice.upstream.value()},
       {"started_ms", notice.started_ms},
       {"per_s", LimitText(notice.per_second)},
       {"before_per_s", LimitText(before)},
       {"source", source}});
  return true;
}

const RateLimitNotice* UpstreamLimits::Find(
    const UpstreamRecord& upstream) const {
  const auto it = known_.find(upstream.id);
  if (it == known_.end()) return nullptr;
  const RateLimitNotice& notice = it->second.notice;
  // A notice may be attributed to the last incarnation that the directory
  // showed; it ends with the next one.
  if (upstream.started_ms > notice.started_ms) return nullptr;
  return &notice;
}

std::optional<double> UpstreamLimits::PerSecond(
    const UpstreamRecord& upstream) const {
  const RateLimitNotice* notice = Find(upstream);
  return notice == nullptr ? std::nullopt : notice->per_second;
}

std::vector<RateLimitNotice> UpstreamLimits::OwnNotices(Time now) const {
  std::vector<RateLimitNotice> notices;
  for (const auto& [id, known] : known_) {
    if (!known.own || now - known.own->received_at > kReportTime) continue;
    notices.push_back(*known.own);
  }
  std::stable_sort(notices.begin(), notices.end(),
                   [](const RateLimitNotice& a, const RateLimitNotice& b) {
                     return a.received_at > b.received_at;
                   });
  if (notices.size() > kMaxReports) notices.resize(kMaxReports);
  return notices;
}

size_t UpstreamLimits::size() const {
  return static_cast<size_t>(
      std::count_if(known_.begin(), known_.end(), [](const auto& entry) {
        return entry.second.notice.per_second.has_value();
      }));
}

}  // namespace corianderlink
