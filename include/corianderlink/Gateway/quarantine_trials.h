// Which request is tried once a quarantine has ended.
#ifndef CORIANDERLINK_GATEWAY_QUARANTINE_TRIALS_H_
#define CORIANDERLINK_GATEWAY_QUARANTINE_TRIALS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "corianderlink/Gateway/suspect_key.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// A request of this gateway that is tried; 0 stands for none.
using TrialId = uint64_t;

/// Lets one request with a key be tried at a time, over all gateways.
///
/// The gateway of such a request claims the key, tells its peers at once, and
/// waits for kSettle.  Of claims that cross, the one of the lowest rank stays.
/// Until there is a result, requests with the key are held back everywhere,
/// but for kSurvival at most while the request runs.
class QuarantineTrials {
 public:
  /// Time for claims to reach all gateways.
  static constexpr Duration kSettle = milliseconds(100);
  /// An upstream that has had the request for so long survives it, as far as
  /// other requests are concerned.
  static constexpr Duration kSurvival = seconds(3);

  /// `process` identifies this gateway among its peers.
  explicit QuarantineTrials(uint64_t process) : process_(process) {}

  bool Has(const SuspectKey& key, TrialId trial) const;
  /// Until when the request `own` has to wait for the result of another one.
  std::optional<Time> HeldUntil(Time now, const SuspectKey& key,
                                TrialId own) const;
  /// True if a request with the key has run for so long that others need no
  /// claim.
  bool HasSurvivor(Time now, const SuspectKey& key) const;
  /// Since when a request of this gateway has been tried, for the peers.
  std::optional<Time> OwnClaim(Time now, const SuspectKey& key) const;

  void Claim(Time now, const SuspectKey& key, TrialId trial);
  /// The request is sent to an upstream.
  void OnSent(Time now, TrialId trial);
  /// The request has ended.  If it may have run, its result is still awaited
  /// for a moment.
  void OnEnd(Time now, TrialId trial, bool may_have_run);
  /// All claims of the peer, with the time of each.
  void OnPeerClaims(Time now, uint64_t peer,
                    const std::vector<std::pair<SuspectKey, Time>>& claims);
  /// There is a result.
  void Erase(const SuspectKey& key) { claims_.erase(key); }
  void Update(Time now);

 private:
  struct KeyClaim {
    Time since{};
    /// Until when the request is known to have been in progress; empty while it
    /// is in progress at this gateway.
    std::optional<Time> known_until;
    /// If it is this gateway's.
    TrialId trial = 0;
  };
  // By the process that claims the key.
  using KeyClaims = std::map<uint64_t, KeyClaim>;

  static bool HasSurvived(Time now, const KeyClaim& claim);
  static Time EndOf(Time now, const KeyClaim& claim);
  const KeyClaim* FindOwn(const SuspectKey& key) const;
  static uint64_t Rank(const SuspectKey& key, uint64_t process);

  const uint64_t process_;
  std::map<SuspectKey, KeyClaims> claims_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_QUARANTINE_TRIALS_H_
