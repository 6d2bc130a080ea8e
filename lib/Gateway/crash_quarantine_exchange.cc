// Finds requests that crash upstreams, and refuses them: what gateways tell
// each other, and what the store has kept.
#include <algorithm>
#include <tuple>

#include "corianderlink/Gateway/crash_quarantine.h"

namespace corianderlink {
namespace {

constexpr size_t kMaxReports = 32;
constexpr size_t kMaxCrashesPerReport = 6;

}  // namespace

void CrashQuarantine::Restore(Time now, const SuspectKey& key, Duration age) {
  if (age < Duration::zero() || age > QuarantineTime(key, kKeptLevel)) return;
  if (suspects_.count(key) > 0) return;
  Quarantine(now - age, kKeptLevel, key, Insert(key)->second, "store");
}

void CrashQuarantine::OnPeerReports(Time now, uint64_t peer,
                                    const std::vector<SuspectReport>& reports) {
  std::vector<std::pair<SuspectKey, Time>> tried;
  for (const SuspectReport& report : reports) {
    for (const UpstreamCrash& crash : report.crashes) {
      AddCrash(now, report.key, crash, false);
    }
    if (report.quarantined_at) Insert(report.key);
    const auto it = suspects_.find(report.key);
    if (it == suspects_.end()) continue;
    if (report.answered_at) Clear(report.key, it->second, *report.answered_at);
    if (report.tried_since) tried.emplace_back(report.key, *report.tried_since);
    if (report.quarantined_at) OnPeerVerdict(now, report, it->second);
  }
  trials_.OnPeerClaims(now, peer, tried);
}

void CrashQuarantine::OnPeerVerdict(Time now, const SuspectReport& report,
                                    Suspect& suspect) {
  // The times of a verdict that passes from peer to peer are not exact.
  if (suspect.quarantined_at && report.level <= suspect.level) return;
  const Time since = *report.quarantined_at;
  const Duration time = QuarantineTime(report.key, report.level);
  const bool has_ended = suspect.on_probation_until &&
                         report.level == suspect.level &&
                         since < *suspect.judged_until + time / 2;
  const bool outdated = report.level < suspect.level || now - since > time ||
                        has_ended || IsExcused(report.key, suspect, since);
  if (outdated) return;
  Quarantine(since, report.level, report.key, suspect, "peer");
}

std::vector<SuspectReport> CrashQuarantine::Reports(Time now) const {
  struct Entry {
    std::tuple<bool, size_t, Time> rank;
    SuspectReport report;
  };
  std::vector<Entry> entries;
  for (const auto& [key, suspect] : suspects_) {
    SuspectReport report;
    report.key = key;
    report.quarantined_at = suspect.quarantined_at;
    report.level = suspect.level;
    report.tried_since = trials_.OwnClaim(now, key);
    if (suspect.own_answered_at &&
        now - *suspect.own_answered_at <= kAnswerLifetime) {
      report.answered_at = suspect.own_answered_at;
    }
    for (const auto& [incarnation, crash] : suspect.crashes) {
      if (suspect.own_crashes.count(incarnation) == 0) continue;
      if (report.crashes.size() < kMaxCrashesPerReport) {
        report.crashes.push_back(crash);
      }
    }
    const bool is_held = report.quarantined_at || report.tried_since;
    if (!is_held && !report.answered_at && report.crashes.empty()) continue;
    entries.push_back({{is_held, suspect.crashes.size(), suspect.last_crash_at},
                       std::move(report)});
  }
  // Under the bound, verdicts go first, then the evidence of most crashes.
  std::stable_sort(
      entries.begin(), entries.end(),
      [](const Entry& a, const Entry& b) { return a.rank > b.rank; });
  if (entries.size() > kMaxReports) entries.resize(kMaxReports);
  std::vector<SuspectReport> reports;
  for (Entry& entry : entries) reports.push_back(std::move(entry.report));
  return reports;
}

}  // namespace corianderlink
