// Finds parts of prompts that crash engines, and keeps them away from engines.
#include "corianderlink/Gateway/crash_quarantine.h"

#include <algorithm>
#include <string_view>
#include <tuple>

#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

// Engines that have to crash under a part, one of them in a later attempt.
constexpr size_t kMinCrashes = 3;
// With so many crashes, no answer to other prompts has to show that the service
// works.
constexpr size_t kManyCrashes = 5;
constexpr uint64_t kMinOtherAnswers = 3;
// Time for an answer to clear a part that many prompts share.
constexpr Duration kSettle = milliseconds(250);
constexpr Duration kEvidenceLifetime = seconds(300);
constexpr Duration kQuarantine = seconds(600);
constexpr Duration kProbation = seconds(600);
// An answer is reported for this long, so that all peers hear of it.
constexpr Duration kAnswerLifetime = seconds(10);
// Crashes under which a prompt counts as a suspect.
constexpr size_t kSuspectCrashes = 2;

// Sources of a quarantine, for the log.
constexpr char kOwn[] = "own";

constexpr size_t kMaxSuspects = 256;
constexpr size_t kMaxPartsPerPrompt = 16;
constexpr size_t kMaxReports = 32;
constexpr size_t kMaxCrashesPerReport = 6;

std::span<const PromptPart> JudgedParts(const Prompt& prompt) {
  const std::span<const PromptPart> shared = prompt.SharedParts();
  return shared.first(std::min(shared.size(), kMaxPartsPerPrompt));
}

}  // namespace

void CrashQuarantine::OnCrash(Time now, const Prompt& prompt,
                              const EngineCrash& crash) {
  for (const PromptPart& part : JudgedParts(prompt)) {
    AddCrash(now, part.id, crash, true);
  }
}

void CrashQuarantine::AddCrash(Time now, uint64_t part,
                               const EngineCrash& crash, bool own) {
  if (suspects_.count(part) == 0) MakeRoom();
  Suspect& suspect = suspects_[part];
  if (suspect.answered_at && crash.crashed_at <= *suspect.answered_at) return;
  const Incarnation incarnation{crash.engine, crash.started_ms};
  if (own) suspect.own_crashes.insert(incarnation);
  const bool is_new = suspect.crashes.try_emplace(incarnation, crash).second;
  suspect.last_crash_at = std::max(suspect.last_crash_at, crash.crashed_at);
  if (is_new && suspect.crashes.size() >= kSuspectCrashes) {
    Log(LogLevel::kWarning, "part_suspected",
        {{"part", FormatPartId(part)},
         {"crashes", static_cast<uint64_t>(suspect.crashes.size())},
         {"upstream", crash.engine.value()},
         {"source", own ? kOwn : "peer"},
         {"age_ms", ToMillis(now - crash.crashed_at)}});
  }
  Judge(now, part, suspect);
}

void CrashQuarantine::MakeRoom() {
  if (suspects_.size() < kMaxSuspects) return;
  const auto least = std::min_element(
      suspects_.begin(), suspects_.end(), [](const auto& a, const auto& b) {
        const auto rank = [](const Suspect& suspect) {
          return std::tuple(suspect.quarantined_at.has_value(),
                            suspect.crashes.size(), suspect.last_crash_at);
        };
        return rank(a.second) < rank(b.second);
      });
  suspects_.erase(least);
}

void CrashQuarantine::OnAnswered(Time now, const Prompt& prompt) {
  ++answers_;
  if (suspects_.empty()) return;
  for (const PromptPart& part : JudgedParts(prompt)) {
    const auto it = suspects_.find(part.id);
    if (it == suspects_.end()) continue;
    it->second.own_answered_at = now;
    Clear(part.id, it->second, now);
  }
}

void CrashQuarantine::Clear(uint64_t part, Suspect& suspect, Time answered_at) {
  if (suspect.answered_at && *suspect.answered_at >= answered_at) return;
  suspect.answered_at = answered_at;
  std::erase_if(suspect.crashes, [&](const auto& entry) {
    return entry.second.crashed_at <= answered_at;
  });
  std::erase_if(suspect.own_crashes, [&](const Incarnation& incarnation) {
    return suspect.crashes.count(incarnation) == 0;
  });
  suspect.convincing_since.reset();
  suspect.on_probation_until.reset();
  if (!suspect.quarantined_at || *suspect.quarantined_at > answered_at) return;
  suspect.quarantined_at.reset();
  Log(LogLevel::kWarning, "part_quarantine_lifted",
      {{"part", FormatPartId(part)}, {"reason", "an engine answered it"}});
  if (on_verdict) on_verdict(part, false);
}

void CrashQuarantine::Restore(Time now, uint64_t part, Duration age) {
  if (age < Duration::zero() || age > kQuarantine) return;
  if (suspects_.count(part) > 0) return;
  MakeRoom();
  Quarantine(now - age, part, suspects_[part], "store");
}

void CrashQuarantine::OnPeerReports(Time now,
                                    const std::vector<SuspectReport>& reports) {
  for (const SuspectReport& report : reports) {
    for (const EngineCrash& crash : report.crashes) {
      AddCrash(now, report.part, crash, false);
    }
    if (report.quarantined_at && suspects_.count(report.part) == 0) {
      MakeRoom();
      suspects_.try_emplace(report.part);
    }
    const auto it = suspects_.find(report.part);
    if (it == suspects_.end()) continue;
    Suspect& suspect = it->second;
    if (report.answered_at) Clear(report.part, suspect, *report.answered_at);
    if (!report.quarantined_at || suspect.quarantined_at) continue;
    const Time since = *report.quarantined_at;
    const bool outdated =
        now - since > kQuarantine ||
        (suspect.answered_at && *suspect.answered_at >= since);
    if (!outdated) Quarantine(since, report.part, suspect, "peer");
  }
  Update(now);
}

bool CrashQuarantine::IsConvincing(const Suspect& suspect) {
  if (suspect.crashes.size() < kMinCrashes) return false;
  Time first = Time::max();
  for (const auto& [incarnation, crash] : suspect.crashes) {
    first = std::min(first, crash.crashed_at);
  }
  return std::any_of(
      suspect.crashes.begin(), suspect.crashes.end(),
      [&](const auto& entry) { return entry.second.sent_at > first; });
}

void CrashQuarantine::Judge(Time now, uint64_t part, Suspect& suspect) {
  if (suspect.quarantined_at) return;
  if (suspect.on_probation_until && !suspect.crashes.empty()) {
    Quarantine(now, part, suspect, kOwn);
    return;
  }
  if (!IsConvincing(suspect)) {
    suspect.convincing_since.reset();
    return;
  }
  if (!suspect.convincing_since) {
    suspect.convincing_since = now;
    suspect.answers_before = answers_;
  }
  if (now - *suspect.convincing_since < kSettle) return;
  // The part itself was not answered, or it would have been cleared.
  const bool service_works =
      answers_ - suspect.answers_before >= kMinOtherAnswers;
  if (!service_works && suspect.crashes.size() < kManyCrashes) return;
  Quarantine(now, part, suspect, kOwn);
}

void CrashQuarantine::Quarantine(Time at, uint64_t part, Suspect& suspect,
                                 const char* source) {
  suspect.quarantined_at = at;
  suspect.on_probation_until.reset();
  const bool own = std::string_view(source) == kOwn;
  std::string engines;
  for (const auto& [incarnation, crash] : suspect.crashes) {
    engines += (engines.empty() ? "" : ",") + crash.engine.value();
  }
  Log(LogLevel::kError, "part_quarantined",
      {{"part", FormatPartId(part)},
       {"source", source},
       {"crashes", static_cast<uint64_t>(suspect.crashes.size())},
       {"upstreams", engines},
       {"for_s", ToSeconds(kQuarantine)}});
  if (own && on_verdict) on_verdict(part, true);
}

bool CrashQuarantine::IsForgotten(Time now, const Suspect& suspect) {
  const bool answered_lately =
      suspect.own_answered_at &&
      now - *suspect.own_answered_at <= kAnswerLifetime;
  return suspect.crashes.empty() && !suspect.quarantined_at &&
         !suspect.on_probation_until && !answered_lately;
}

void CrashQuarantine::Update(Time now) {
  for (auto& [part, suspect] : suspects_) {
    if (suspect.quarantined_at && now - *suspect.quarantined_at > kQuarantine) {
      suspect.quarantined_at.reset();
      suspect.on_probation_until = now + kProbation;
      suspect.crashes.clear();
    }
    if (suspect.on_probation_until && now > *suspect.on_probation_until) {
      suspect.on_probation_until.reset();
    }
    std::erase_if(suspect.crashes, [&](const auto& entry) {
      return now - entry.second.crashed_at > kEvidenceLifetime;
    });
    Judge(now, part, suspect);
  }
  std::erase_if(suspects_, [&](const auto& entry) {
    return IsForgotten(now, entry.second);
  });
}

std::optional<QuarantinedKey> CrashQuarantine::Find(
    Time now, const Prompt& prompt) const {
  if (suspects_.empty()) return std::nullopt;
  for (const PromptPart& part : JudgedParts(prompt)) {
    const auto it = suspects_.find(part.id);
    if (it == suspects_.end() || !it->second.quarantined_at) continue;
    const Time ends_at = *it->second.quarantined_at + kQuarantine;
    if (now <= ends_at) return QuarantinedKey{part.id, ends_at};
  }
  return std::nullopt;
}

bool CrashQuarantine::IsSuspect(const Prompt& prompt) const {
  if (suspects_.empty()) return false;
  const std::span<const PromptPart> parts = JudgedParts(prompt);
  return std::any_of(parts.begin(), parts.end(), [&](const PromptPart& part) {
    const auto it = suspects_.find(part.id);
    return it != suspects_.end() &&
           (it->second.quarantined_at ||
            it->second.crashes.size() >= kSuspectCrashes);
  });
}

std::vector<SuspectReport> CrashQuarantine::Reports(Time now) const {
  std::vector<SuspectReport> reports;
  for (const auto& [part, suspect] : suspects_) {
    SuspectReport report;
    report.part = part;
    report.quarantined_at = suspect.quarantined_at;
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
    const bool has_news =
        report.quarantined_at || report.answered_at || !report.crashes.empty();
    if (has_news) reports.push_back(std::move(report));
  }
  // Under the bound, what keeps engines alive counts most.
  std::stable_sort(reports.begin(), reports.end(),
                   [](const SuspectReport& a, const SuspectReport& b) {
                     const auto rank = [](const SuspectReport& report) {
                       return std::pair(report.quarantined_at.has_value(),
                                        report.crashes.size());
                     };
                     return rank(a) > rank(b);
                   });
  if (reports.size() > kMaxReports) reports.resize(kMaxReports);
  return reports;
}

std::vector<QuarantinedKey> CrashQuarantine::Quarantined(Time now) const {
  std::vector<QuarantinedKey> parts;
  for (const auto& [part, suspect] : suspects_) {
    if (!suspect.quarantined_at) continue;
    const Time ends_at = *suspect.quarantined_at + kQuarantine;
    if (now <= ends_at) parts.push_back({part, ends_at});
  }
  return parts;
}

}  // namespace corianderlink
