// Finds requests that crash upstreams, and refuses them.
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

#include "corianderlink/Gateway/answered_requests.h"
#include "corianderlink/Gateway/quarantine_trials.h"
#include "corianderlink/Gateway/suspect_key.h"
#include "corianderlink/Gateway/upstream_record.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// The end of an upstream that had begun, or was about to begin, to answer a
/// request.
struct UpstreamCrash {
  UpstreamId upstream;
  /// Start time of the upstream's incarnation, in Unix milliseconds.
  int64_t started_ms = 0;
  /// When the request was sent to the upstream.
  Time sent_at{};
  Time crashed_at{};
  /// Digest of the request.
  uint64_t request = 0;
};

/// What one gateway tells the others of one key.
struct SuspectReport {
  SuspectKey key;
  /// Crashes that this gateway has seen itself.
  std::vector<UpstreamCrash> crashes;
  /// When an upstream last answered a request with the key through this
  /// gateway.
  std::optional<Time> answered_at;
  /// Since when the key is quarantined, by whichever gateway's verdict.
  std::optional<Time> quarantined_at;
  /// How often in a row it was quarantined.
  uint32_t level = 0;
  /// Since when a request with the key is tried through this gateway, after a
  /// quarantine.
  std::optional<Time> tried_since;
};

/// A key whose requests no upstream gets any more.
struct QuarantinedKey {
  SuspectKey key;
  Time ends_at{};
};

/// Answers the load of a few requests that crash each upstream they reach,
/// among many sound ones.
///
/// Suspects are the request itself and the shared parts of its prompt.  An
/// answer to a request with the key ends the suspicion; one to the same request
/// also excuses it from crashes shortly after it, as a request that many
/// clients send alike is in progress at most crashes.  Upstreams that crash
/// together, for a reason of their own, prove nothing: at least one crash must
/// be of a request that was sent after another crash.
///
/// A request under which two upstreams have crashed like this, and no other
/// request under the same ones, is quarantined for a short time, in which they
/// come back.  Then one request at a time is tried by all gateways together
/// (QuarantineTrials), until it is answered; one more crash renews the
/// quarantine, each time for longer.
///
/// A part is quarantined after more crashes, those of different requests, while
/// other prompts are answered.  Crashes that a quarantined request explains
/// count against nothing else.
///
/// Gateways share what they have seen, each of them only its own observations,
/// so that five crashes at five gateways count as five.
class CrashQuarantine {
 public:
  /// `process` identifies this gateway among its peers.
  explicit CrashQuarantine(uint64_t process = 0) : trials_(process) {}

  /// An upstream has crashed with this request.
  void OnCrash(Time now, const RequestSuspects& request,
               const UpstreamCrash& crash);
  /// An upstream has answered the request.
  void OnAnswered(Time now, const RequestSuspects& request);
  /// The peer has reported what it knows.
  void OnPeerReports(Time now, uint64_t peer,
                     const std::vector<SuspectReport>& reports);
  /// The store has kept a quarantine of this age, which outlives a stop of all
  /// gateways.
  void Restore(Time now, const SuspectKey& key, Duration age);
  /// Reaches verdicts that are due, and drops what is old.
  void Update(Time now);
  /// The same, if a verdict is due.
  void UpdateIfDue(Time now) {
    if (now >= verdict_due_) Update(now);
  }

  /// The first key of the request that holds it back, if there is one: it is
  /// quarantined, or a request other than `own` is tried.
  std::optional<QuarantinedKey> Find(Time now, const RequestSuspects& request,
                                     TrialId own = 0) const;
  /// Claims what a request needs to be sent, by the id `own` if it has one.
  /// Returns the claim, with which it waits for QuarantineTrials::kSettle and
  /// asks Find again; 0 if it may be sent now.
  TrialId ClaimTrial(Time now, const RequestSuspects& request, TrialId own);
  /// The claimed request is sent to an upstream; it has ended.
  void OnTrialSent(Time now, TrialId trial) { trials_.OnSent(now, trial); }
  void OnTrialEnd(Time now, TrialId trial, bool may_have_run) {
    trials_.OnEnd(now, trial, may_have_run);
  }
  /// True if a further upstream may crash under the request, so that it is not
  /// sent again after it may have run.
  bool IsSuspect(const RequestSuspects& request) const;
  /// Reports for the peers, of a bounded number of keys.
  std::vector<SuspectReport> Reports(Time now) const;
  /// Keys in quarantine.
  std::vector<QuarantinedKey> Quarantined(Time now) const;

  /// Called when this gateway quarantines a key for long, or lifts its
  /// quarantine.
  std::function<void(const SuspectKey&, bool quarantined)> on_verdict;
  /// Called when this gateway has claimed a key: the peers are to know at once.
  std::function<void()> on_claim;

 private:
  /// An incarnation of an upstream, which crashes once.
  using Incarnation = std::pair<UpstreamId, int64_t>;
  struct Suspect {
    /// Crashes since the last answer and the last verdict, of all gateways.
    std::map<Incarnation, UpstreamCrash> crashes;
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
    /// Number of quarantines in a row.
    uint32_t level = 0;
    /// Requests sent until then have been judged.
    std::optional<Time> judged_until;
    /// A quarantine has ended; until then the next crash renews it.
    std::optional<Time> on_probation_until;
  };
  using Suspects = std::map<SuspectKey, Suspect>;

  // Quarantines of requests from this level on are kept by the store.
  static constexpr uint32_t kKeptLevel = 2;
  // An answer is reported to the peers for this long, and excuses the same
  // request from crashes for as long after it.
  static constexpr Duration kAnswerLifetime = seconds(10);

  /// True if the store keeps such a quarantine.
  static bool IsKept(const SuspectKey& key, uint32_t level);
  /// Length of a quarantine.
  static Duration QuarantineTime(const SuspectKey& key, uint32_t level);
  static bool IsConvincing(const SuspectKey& key, const Suspect& suspect);
  /// True if no other request can have caused the crashes as well.
  bool IsOnlyCause(const SuspectKey& key, const Suspect& suspect) const;
  static Time EndOf(const SuspectKey& key, const Suspect& suspect);
  /// Until when the request with the key is held back, if it is.
  std::optional<Time> HeldUntil(Time now, const SuspectKey& key,
                                const Suspect& suspect, TrialId own) const;
  /// Adds the key, with what this gateway remembers of answers.
  Suspects::iterator Insert(const SuspectKey& key);
  /// Whether the last answer excuses the key from what happened at `at`.
  static bool IsExcused(const SuspectKey& key, const Suspect& suspect, Time at);
  void Erase(Suspects::iterator suspect);
  void AddCrash(Time now, const SuspectKey& key, const UpstreamCrash& crash,
                bool own);
  /// True if a quarantined request other than `key` has caused the crash.
  bool IsExplained(const SuspectKey& key, const UpstreamCrash& crash) const;
  /// Drops the evidence against others that the quarantined request explains.
  void DropExplained(const SuspectKey& request, const Suspect& cause);
  /// If there are too many suspects, drops the one with the fewest and oldest
  /// crashes.
  void MakeRoom();
  /// The key was answered at `answered_at`; drops the evidence before it.
  void Clear(const SuspectKey& key, Suspect& suspect, Time answered_at);
  void Judge(Time now, const SuspectKey& key, Suspect& suspect);
  void Quarantine(Time at, uint32_t level, const SuspectKey& key,
                  Suspect& suspect, const char* source);
  void OnPeerVerdict(Time now, const SuspectReport& report, Suspect& suspect);
  static bool IsForgotten(Time now, const Suspect& suspect);

  Suspects suspects_;
  QuarantineTrials trials_;
  TrialId last_trial_ = 0;
  // Requests that are quarantined or were so lately.
  std::set<SuspectKey> quarantined_requests_;
  AnsweredRequests answered_requests_;
  // The next time at which evidence that suffices has settled, or a quarantine
  // ends.
  Time verdict_due_ = Time::max();
  // Prompts answered through this gateway.
  uint64_t answers_ = 0;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_CRASH_QUARANTINE_H_
