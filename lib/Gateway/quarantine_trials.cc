// Which request is tried once a quarantine has ended.
#include "corianderlink/Gateway/quarantine_trials.h"

#include <algorithm>

#include "corianderlink/Support/hash.h"

namespace corianderlink {
namespace {

// Time to find out whether an upstream has crashed under a request that ended.
constexpr Duration kResultTime = milliseconds(1500);
// A claim of a request that has survived is known for so long after a report.
constexpr Duration kReportLifetime = seconds(3);

}  // namespace

uint64_t QuarantineTrials::Rank(const SuspectKey& key, uint64_t process) {
  return MixBits(process ^ key.id);
}

bool QuarantineTrials::HasSurvived(Time now, const KeyClaim& claim) {
  return claim.known_until.value_or(now) - claim.since >= kSurvival;
}

Time QuarantineTrials::EndOf(Time now, const KeyClaim& claim) {
  const bool is_own = claim.trial != 0;
  if (is_own && claim.known_until) return *claim.known_until + kResultTime;
  if (!HasSurvived(now, claim)) return claim.since + kSurvival;
  return is_own ? Time::max() : *claim.known_until + kReportLifetime;
}

const QuarantineTrials::KeyClaim* QuarantineTrials::FindOwn(
    const SuspectKey& key) const {
  const auto claims = claims_.find(key);
  if (claims == claims_.end()) return nullptr;
  const auto own = claims->second.find(process_);
  return own == claims->second.end() ? nullptr : &own->second;
}

bool QuarantineTrials::Has(const SuspectKey& key, TrialId trial) const {
  const KeyClaim* own = FindOwn(key);
  return own != nullptr && trial != 0 && own->trial == trial;
}

std::optional<Time> QuarantineTrials::HeldUntil(Time now, const SuspectKey& key,
                                                TrialId own) const {
  const auto claims = claims_.find(key);
  if (claims == claims_.end() || HasSurvivor(now, key)) return std::nullopt;
  const bool is_claimed = Has(key, own);
  std::optional<Time> until;
  for (const auto& [process, claim] : claims->second) {
    const Time end = EndOf(now, claim);
    if (now > end) continue;
    const bool yields =
        process == process_ || Rank(key, process) > Rank(key, process_);
    if (is_claimed && yields) continue;
    until = std::max(until.value_or(end), end);
  }
  return until;
}

bool QuarantineTrials::HasSurvivor(Time now, const SuspectKey& key) const {
  const auto claims = claims_.find(key);
  if (claims == claims_.end()) return false;
  return std::any_of(claims->second.begin(), claims->second.end(),
                     [now](const auto& entry) {
                       return HasSurvived(now, entry.second) &&
                              now <= EndOf(now, entry.second);
                     });
}

std::optional<Time> QuarantineTrials::OwnClaim(Time now,
                                               const SuspectKey& key) const {
  const KeyClaim* own = FindOwn(key);
  if (own == nullptr || now > EndOf(now, *own)) return std::nullopt;
  return own->since;
}

void QuarantineTrials::Claim(Time now, const SuspectKey& key, TrialId trial) {
  claims_[key][process_] = {now, std::nullopt, trial};
}

void QuarantineTrials::OnSent(Time now, TrialId trial) {
  for (auto& [key, claims] : claims_) {
    const auto own = claims.find(process_);
    if (own != claims.end() && own->second.trial == trial) {
      own->second.since = now;
    }
  }
}

void QuarantineTrials::OnEnd(Time now, TrialId trial, bool may_have_run) {
  for (auto& [key, claims] : claims_) {
    const auto own = claims.find(process_);
    if (own == claims.end() || own->second.trial != trial) continue;
    if (may_have_run) {
      own->second.known_until = now;
    } else {
      claims.erase(own);
    }
  }
}

void QuarantineTrials::OnPeerClaims(
    Time now, uint64_t peer,
    const std::vector<std::pair<SuspectKey, Time>>& claims) {
  if (peer == process_) return;
  for (auto& [key, known] : claims_) known.erase(peer);
  for (const auto& [key, since] : claims) claims_[key][peer] = {since, now, 0};
}

void QuarantineTrials::Update(Time now) {
  for (auto& [key, claims] : claims_) {
    std::erase_if(claims, [now](const auto& entry) {
      return now > EndOf(now, entry.second);
    });
  }
  std::erase_if(claims_,
                [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace corianderlink
