// Finds requests that crash upstreams, and refuses them: evidence and verdicts.
#include "corianderlink/Gateway/crash_quarantine.h"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <tuple>

#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

using Kind = SuspectKey::Kind;

// Upstreams that have to crash under a part, one of them in a later attempt.
constexpr size_t kMinPartCrashes = 3;
// The same for a request: it is known by more than a part of it.
constexpr size_t kMinRequestCrashes = 2;
// With so many crashes, no answer to other prompts has to show that the service
// works.
constexpr size_t kManyCrashes = 5;
constexpr uint64_t kMinOtherAnswers = 3;
// Time for an answer to clear a part that many prompts share.
constexpr Duration kSettle = milliseconds(250);
// Time for the other requests that an upstream ran to be known; meanwhile the
// suspected one is held back.
constexpr Duration kRequestSettle = milliseconds(100);
// With so many crashes, two requests that share all of them are both
// quarantined.
constexpr size_t kAmbiguousCrashes = 3;
constexpr Duration kEvidenceLifetime = seconds(300);
constexpr Duration kProbation = seconds(600);
// Crashes under which a prompt's part counts as a suspect.
constexpr size_t kSuspectCrashes = 2;
// Quarantines of a part and, in a row, of a request.  The trial after that of a
// part ends within 600 s.
constexpr Duration kPartQuarantine = seconds(595);
constexpr Duration kRequestQuarantines[] = {seconds(15), seconds(120),
                                            seconds(600)};
constexpr uint32_t kMaxLevel = std::size(kRequestQuarantines);

// Sources of a quarantine, for the log.
constexpr char kOwn[] = "own";

constexpr size_t kMaxSuspects = 256;

}  // namespace

bool CrashQuarantine::IsKept(const SuspectKey& key, uint32_t level) {
  return key.kind == Kind::kPart || level >= kKeptLevel;
}

Duration CrashQuarantine::QuarantineTime(const SuspectKey& key,
                                         uint32_t level) {
  if (key.kind == Kind::kPart) return kPartQuarantine;
  return kRequestQuarantines[std::clamp(level, 1U, kMaxLevel) - 1];
}

CrashQuarantine::Suspects::iterator CrashQuarantine::Insert(
    const SuspectKey& key) {
  const auto known = suspects_.find(key);
  if (known != suspects_.end()) return known;
  MakeRoom();
  const auto added = suspects_.try_emplace(key).first;
  if (key.kind == Kind::kRequest) {
    added->second.own_answered_at = answered_requests_.Find(key.id);
    added->second.answered_at = added->second.own_answered_at;
  }
  return added;
}

bool CrashQuarantine::IsExcused(const SuspectKey& key, const Suspect& suspect,
                                Time at) {
  if (!suspect.answered_at) return false;
  const Duration after =
      key.kind == Kind::kRequest ? kAnswerLifetime : Duration::zero();
  return at <= *suspect.answered_at + after;
}

void CrashQuarantine::Erase(Suspects::iterator suspect) {
  quarantined_requests_.erase(suspect->first);
  trials_.Erase(suspect->first);
  suspects_.erase(suspect);
}

void CrashQuarantine::OnCrash(Time now, const RequestSuspects& request,
                              const UpstreamCrash& crash) {
  for (const SuspectKey& key : request.Keys()) AddCrash(now, key, crash, true);
}

bool CrashQuarantine::IsExplained(const SuspectKey& key,
                                  const UpstreamCrash& crash) const {
  const SuspectKey request{Kind::kRequest, crash.request};
  const Incarnation incarnation{crash.upstream, crash.started_ms};
  return std::any_of(quarantined_requests_.begin(), quarantined_requests_.end(),
                     [&](const SuspectKey& other) {
                       if (other == key) return false;
                       return other == request ||
                              suspects_.at(other).crashes.count(incarnation) >
                                  0;
                     });
}

void CrashQuarantine::AddCrash(Time now, const SuspectKey& key,
                               const UpstreamCrash& crash, bool own) {
  const Incarnation incarnation{crash.upstream, crash.started_ms};
  const auto known = suspects_.find(key);
  // Peers report a crash again and again.
  const bool is_known =
      known != suspects_.end() && known->second.crashes.count(incarnation) > 0;
  if (is_known && !own) return;
  if (IsExplained(key, crash)) return;
  Suspect& suspect = Insert(key)->second;
  if (IsExcused(key, suspect, crash.crashed_at)) return;
  if (suspect.judged_until && crash.sent_at <= *suspect.judged_until) return;
  if (own) suspect.own_crashes.insert(incarnation);
  const bool is_new = suspect.crashes.try_emplace(incarnation, crash).second;
  suspect.last_crash_at = std::max(suspect.last_crash_at, crash.crashed_at);
  if (is_new && suspect.crashes.size() >= kSuspectCrashes) {
    Log(LogLevel::kWarning, "crash_suspected",
        {{"key", ToString(key)},
         {"crashes", static_cast<uint64_t>(suspect.crashes.size())},
         {"upstream", crash.upstream.value()},
         {"source", own ? kOwn : "peer"},
         {"age_ms", ToMillis(now - crash.crashed_at)}});
  }
  Judge(now, key, suspect);
}

void CrashQuarantine::MakeRoom() {
  if (suspects_.size() < kMaxSuspects) return;
  const auto least = std::min_element(
      suspects_.begin(), suspects_.end(), [](const auto& a, const auto& b) {
        const auto rank = [](const Suspect& suspect) {
          return std::tuple(suspect.level > 0, suspect.crashes.size(),
                            suspect.last_crash_at);
        };
        return rank(a.second) < rank(b.second);
      });
  Erase(least);
}

void CrashQuarantine::OnAnswered(Time now, const RequestSuspects& request) {
  if (!request.parts.empty()) ++answers_;
  if (request.digest) answered_requests_.Add(now, *request.digest);
  if (suspects_.empty()) return;
  for (const SuspectKey& key : request.Keys()) {
    const auto it = suspects_.find(key);
    if (it == suspects_.end()) continue;
    it->second.own_answered_at = now;
    Clear(key, it->second, now);
  }
}

void CrashQuarantine::Clear(const SuspectKey& key, Suspect& suspect,
                            Time answered_at) {
  if (suspect.answered_at && *suspect.answered_at >= answered_at) return;
  suspect.answered_at = answered_at;
  std::erase_if(suspect.crashes, [&](const auto& entry) {
    return IsExcused(key, suspect, entry.second.crashed_at);
  });
  std::erase_if(suspect.own_crashes, [&](const Incarnation& incarnation) {
    return suspect.crashes.count(incarnation) == 0;
  });
  suspect.convincing_since.reset();
  suspect.on_probation_until.reset();
  if (suspect.quarantined_at &&
      !IsExcused(key, suspect, *suspect.quarantined_at)) {
    return;
  }
  const uint32_t level = std::exchange(suspect.level, 0);
  quarantined_requests_.erase(key);
  trials_.Erase(key);
  if (!suspect.quarantined_at) return;
  suspect.quarantined_at.reset();
  Log(LogLevel::kWarning, "quarantine_lifted",
      {{"key", ToString(key)}, {"reason", "an upstream answered it"}});
  if (on_verdict && IsKept(key, level)) on_verdict(key, false);
}

bool CrashQuarantine::IsConvincing(const SuspectKey& key,
                                   const Suspect& suspect) {
  const bool is_part = key.kind == Kind::kPart;
  if (suspect.crashes.size() <
      (is_part ? kMinPartCrashes : kMinRequestCrashes)) {
    return false;
  }
  Time first = Time::max();
  std::set<uint64_t> requests;
  for (const auto& [incarnation, crash] : suspect.crashes) {
    first = std::min(first, crash.crashed_at);
    requests.insert(crash.request);
  }
  // One request that comes again says nothing of its parts.
  if (is_part && requests.size() < 2) return false;
  return std::any_of(
      suspect.crashes.begin(), suspect.crashes.end(),
      [&](const auto& entry) { return entry.second.sent_at > first; });
}

bool CrashQuarantine::IsOnlyCause(const SuspectKey& key,
                                  const Suspect& suspect) const {
  const size_t crashes = suspect.crashes.size();
  for (const auto& other : suspects_) {
    if (other.first.kind != Kind::kRequest || other.first == key) continue;
    const auto& others_crashes = other.second.crashes;
    const bool shares_all =
        std::all_of(suspect.crashes.begin(), suspect.crashes.end(),
                    [&others_crashes](const auto& crash) {
                      return others_crashes.count(crash.first) > 0;
                    });
    if (!shares_all) continue;
    // The same crashes: one more tells which of the two it was.
    if (others_crashes.size() > crashes || crashes < kAmbiguousCrashes) {
      return false;
    }
  }
  return true;
}

void CrashQuarantine::Judge(Time now, const SuspectKey& key, Suspect& suspect) {
  if (suspect.quarantined_at) return;
  if (suspect.on_probation_until && !suspect.crashes.empty()) {
    Quarantine(now, suspect.level + 1, key, suspect, kOwn);
    return;
  }
  if (!IsConvincing(key, suspect)) {
    suspect.convincing_since.reset();
    return;
  }
  if (!suspect.convincing_since) {
    suspect.convincing_since = now;
    suspect.answers_before = answers_;
  }
  const Time due = *suspect.convincing_since +
                   (key.kind == Kind::kRequest ? kRequestSettle : kSettle);
  if (now < due) {
    verdict_due_ = std::min(verdict_due_, due);
    return;
  }
  if (key.kind == Kind::kRequest) {
    if (IsOnlyCause(key, suspect)) Quarantine(now, 1, key, suspect, kOwn);
    return;
  }
  // The part itself was not answered, or it would have been cleared.
  const bool service_works =
      answers_ - suspect.answers_before >= kMinOtherAnswers;
  if (!service_works && suspect.crashes.size() < kManyCrashes) return;
  Quarantine(now, 1, key, suspect, kOwn);
}

void CrashQuarantine::Quarantine(Time at, uint32_t level, const SuspectKey& key,
                                 Suspect& suspect, const char* source) {
  suspect.quarantined_at = at;
  suspect.judged_until = at;
  suspect.level = std::clamp(level, 1U, kMaxLevel);
  suspect.on_probation_until.reset();
  trials_.Erase(key);
  verdict_due_ = std::min(verdict_due_, EndOf(key, suspect));
  const bool own = std::string_view(source) == kOwn;
  std::string upstreams;
  for (const auto& [incarnation, crash] : suspect.crashes) {
    upstreams += (upstreams.empty() ? "" : ",") + crash.upstream.value();
  }
  Log(LogLevel::kError, "quarantined",
      {{"key", ToString(key)},
       {"source", source},
       {"crashes", static_cast<uint64_t>(suspect.crashes.size())},
       {"upstreams", upstreams},
       {"level", static_cast<uint64_t>(suspect.level)},
       {"for_s", ToSeconds(QuarantineTime(key, suspect.level))}});
  if (own && on_verdict && IsKept(key, suspect.level)) on_verdict(key, true);
  if (key.kind != Kind::kRequest) return;
  quarantined_requests_.insert(key);
  DropExplained(key, suspect);
}

void CrashQuarantine::DropExplained(const SuspectKey& request,
                                    const Suspect& cause) {
  for (auto& [key, suspect] : suspects_) {
    if (key == request || suspect.quarantined_at) continue;
    std::erase_if(suspect.crashes, [&](const auto& entry) {
      return entry.second.request == request.id ||
             cause.crashes.count(entry.first) > 0;
    });
    if (!IsConvincing(key, suspect)) suspect.convincing_since.reset();
  }
}

bool CrashQuarantine::IsForgotten(Time now, const Suspect& suspect) {
  const bool answered_lately =
      suspect.own_answered_at &&
      now - *suspect.own_answered_at <= kAnswerLifetime;
  return suspect.crashes.empty() && !suspect.quarantined_at &&
         !suspect.on_probation_until && !answered_lately;
}

Time CrashQuarantine::EndOf(const SuspectKey& key, const Suspect& suspect) {
  return *suspect.quarantined_at + QuarantineTime(key, suspect.level);
}

void CrashQuarantine::Update(Time now) {
  verdict_due_ = Time::max();
  trials_.Update(now);
  for (auto& [key, suspect] : suspects_) {
    if (suspect.quarantined_at && now > EndOf(key, suspect)) {
      suspect.quarantined_at.reset();
      suspect.on_probation_until = now + kProbation;
      suspect.crashes.clear();
      suspect.own_crashes.clear();
    }
    if (suspect.quarantined_at) {
      verdict_due_ = std::min(verdict_due_, EndOf(key, suspect));
    }
    if (suspect.on_probation_until && now > *suspect.on_probation_until) {
      suspect.on_probation_until.reset();
      suspect.level = 0;
      quarantined_requests_.erase(key);
    }
    std::erase_if(suspect.crashes, [&](const auto& entry) {
      return now - entry.second.crashed_at > kEvidenceLifetime;
    });
    Judge(now, key, suspect);
  }
  for (auto it = suspects_.begin(); it != suspects_.end();) {
    const auto suspect = it++;
    if (IsForgotten(now, suspect->second)) Erase(suspect);
  }
}

std::optional<QuarantinedKey> CrashQuarantine::Find(
    Time now, const RequestSuspects& request, TrialId own) const {
  if (suspects_.empty()) return std::nullopt;
  for (const SuspectKey& key : request.Keys()) {
    const auto it = suspects_.find(key);
    if (it == suspects_.end()) continue;
    const std::optional<Time> ends_at = HeldUntil(now, key, it->second, own);
    if (ends_at && now <= *ends_at) return QuarantinedKey{key, *ends_at};
  }
  return std::nullopt;
}

std::optional<Time> CrashQuarantine::HeldUntil(Time now, const SuspectKey& key,
                                               const Suspect& suspect,
                                               TrialId own) const {
  if (suspect.quarantined_at) return EndOf(key, suspect);
  if (suspect.on_probation_until) return trials_.HeldUntil(now, key, own);
  if (key.kind == Kind::kPart || !suspect.convincing_since) {
    return std::nullopt;
  }
  return *suspect.convincing_since + kRequestSettle;
}

TrialId CrashQuarantine::ClaimTrial(Time now, const RequestSuspects& request,
                                    TrialId own) {
  if (suspects_.empty()) return 0;
  TrialId claimed = 0;
  for (const SuspectKey& key : request.Keys()) {
    const auto it = suspects_.find(key);
    if (it == suspects_.end() || !it->second.on_probation_until) continue;
    if (trials_.Has(key, own) || trials_.HasSurvivor(now, key)) continue;
    if (own == 0) own = ++last_trial_;
    claimed = own;
    trials_.Claim(now, key, own);
    Log(LogLevel::kWarning, "quarantine_tried",
        {{"key", ToString(key)},
         {"level", static_cast<uint64_t>(it->second.level)}});
  }
  if (claimed != 0 && on_claim) on_claim();
  return claimed;
}

bool CrashQuarantine::IsSuspect(const RequestSuspects& request) const {
  if (suspects_.empty()) return false;
  const std::vector<SuspectKey> keys = request.Keys();
  return std::any_of(keys.begin(), keys.end(), [this](const SuspectKey& key) {
    const auto it = suspects_.find(key);
    if (it == suspects_.end()) return false;
    // The attempt that has just failed is not counted yet.
    const size_t crashes = key.kind == Kind::kPart ? kSuspectCrashes : 1;
    return it->second.level > 0 || it->second.crashes.size() >= crashes;
  });
}

std::vector<QuarantinedKey> CrashQuarantine::Quarantined(Time now) const {
  std::vector<QuarantinedKey> keys;
  for (const auto& [key, suspect] : suspects_) {
    if (!suspect.quarantined_at) continue;
    const Time ends_at = EndOf(key, suspect);
    if (now <= ends_at) keys.push_back({key, ends_at});
  }
  return keys;
}

}  // namespace corianderlink
