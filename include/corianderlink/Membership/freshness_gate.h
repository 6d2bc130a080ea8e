// Decides whether this process may serve requests with its current release
// state.
//
// A release note has to be in force everywhere within seconds, so a process
// that might miss a note for longer must not serve with its old state.  A
// process accepts a note only if it receives heartbeats from a majority of the
// listed instances.  It serves only if it has read the table service within the
// window or also receives heartbeats from a majority.  Two majorities have an
// instance in common, which forwards the note.
#ifndef CORIANDERLINK_MEMBERSHIP_FRESHNESS_GATE_H_
#define CORIANDERLINK_MEMBERSHIP_FRESHNESS_GATE_H_

#include <cstddef>

#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Observations that a decision is based on.
struct FreshnessView {
  /// Time at which the last successful read of the release head was sent.
  Time last_store_read{};
  bool store_ever_read = false;
  /// Number of listed instances, and number of those from which a heartbeat was
  /// received within the window.  Both include this instance.
  size_t listed_instances = 0;
  size_t live_instances = 0;
  /// True once a release state was received from the table service or a peer.
  bool has_state = false;
};

/// Applies these rules with a fixed window.
class FreshnessGate {
 public:
  /// `window` limits how long a process may serve while it might miss a note.
  explicit FreshnessGate(Duration window) : window_(window) {}

  /// Returns true if requests may be served with the current state.
  bool MayServe(Time now, const FreshnessView& view) const;
  /// Returns true if this process may accept a release note.
  bool MayAcceptNote(const FreshnessView& view) const;
  Duration window() const { return window_; }

 private:
  const Duration window_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_MEMBERSHIP_FRESHNESS_GATE_H_
