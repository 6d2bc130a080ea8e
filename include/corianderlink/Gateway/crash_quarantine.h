// Finds parts of prompts that crash engines, and keeps them away from engines.
#ifndef CORIANDERLINK_GATEWAY_CRASH_QUARANTINE_H_
#define CORIANDERLINK_GATEWAY_CRASH_QUARANTINE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "corianderlink/Gateway/prompt.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// The end of an engine that had begun, or was about to begin, to answer a
/// prompt.
struct EngineCrash {
  UpstreamId engine;
  /// Start time of the engine's incarnation, in Unix milliseconds.
  int64_t started_ms = 0;
  /// When the prompt was sent to the engine.
  Time sent_at{};
  Time crashed_at{};
};

/// What one gateway tells the others of one part.
struct SuspectReport {
  uint64_t part = 0;
  /// Crashes that this gateway has seen itself.
  std::vector<EngineCrash> crashes;
  /// When an engine last answered a prompt with the part through this gateway.
  std::optional<Time> answered_at;
  /// Since when the part is quarantined, by whichever gateway's verdict.
  std::optional<Time> quarantined_at;
};

/// A part that no engine gets any more.
struct QuarantinedKey {
  uint64_t part = 0;
  Time ends_at{};
};

/// Answers the load of a few prompts that crash each engine they reach, among
/// many sound ones with the same other parts.
///
/// Suspects are the shared parts of all prompts that an engine was about to
/// answer when it crashed.  A sound part is soon answered somewhere, which ends
/// the suspicion; a part under which several engines have crashed, one of them
/// with a prompt that was sent after another crash, and that none has answered
/// since, is quarantined.  Engines that crash together, for a reason of their
/// own, do not meet this: their prompts were sent before.
///
/// Gateways share what they have seen, each of them only its own observations,
/// so that five crashes at five gateways count as five.
class CrashQuarantine {
 public:
  /// An engine has crashed with this prompt.
  void OnCrash(Time now, const Prompt& prompt, const EngineCrash& crash);
  /// An engine has answered the prompt.
  void OnAnswered(Time now, const Prompt& prompt);
  /// A peer has reported what it knows.
  void OnPeerReports(Time now, const std::vector<SuspectReport>& reports);
  /// The store has kept a quarantine of this age, which outlives a stop of all
  /// gateways.
  void Restore(Time now, uint64_t part, Duration age);
  /// Reaches verdicts that are due, and drops what is old.
  void Update(Time now);

  /// The first quarantined part of the prompt, if it has one.
  std::optional<QuarantinedKey> Find(Time now, const Prompt& prompt) const;
  /// True if a further engine may crash under the prompt, so that it is not
  /// sent again after it may have run.
  bool IsSuspect(const Prompt& prompt) const;
  /// Reports for the peers, of a bounded number of parts.
  std::vector<SuspectReport> Reports(Time now) const;
  /// Parts in quarantine.
  std::vector<QuarantinedKey> Quarantined(Time now) const;

  /// Called when this gateway quarantines a part, or lifts its quarantine.
  std::function<void(uint64_t part, bool quarantined)> on_verdict;

 private:
  /// An incarnation of an engine, which crashes once.
  using Incarnation = std::pair<UpstreamId, int64_t>;
  struct Suspect {
    /// Crashes since the last answer, of all gateways.
    std::map<Incarnation, EngineCrash> crashes;
    /// Those of them that this gateway has seen itself.
    std::set<Incarnation> own_crashes;
    Time last_crash_at{};
    /// Last answer, through any gateway and through this one.
    std::optional<Time> answered_at;
    std::optional<Time> own_answered_at;
    /// Since when the evidence suffices, and the number of answers by then.
    std::optional<Time> convincing_since;
    uint64_t answers_before = 0;
    std::optional<Time> quarantined_at;
    /// A quarantine has ended; until then the next crash renews it.
    std::optional<Time> on_probation_until;
  };

  static bool IsConvincing(const Suspect& suspect);
  void AddCrash(Time now, uint64_t part, const EngineCrash& crash, bool own);
  /// If there are too many suspects, drops the one with the fewest and oldest
  /// crashes.
  void MakeRoom();
  /// The part was answered at `answered_at`; drops the evidence before it.
  void Clear(uint64_t part, Suspect& suspect, Time answered_at);
  void Judge(Time now, uint64_t part, Suspect& suspect);
  void Quarantine(Time at, uint64_t part, Suspect& suspect, const char* source);
  static bool IsForgotten(Time now, const Suspect& suspect);

  std::map<uint64_t, Suspect> suspects_;
  // Prompts answered through this gateway.
  uint64_t answers_ = 0;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_CRASH_QUARANTINE_H_
