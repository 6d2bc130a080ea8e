// Decides whether this process may act on the desired state that it has.
//
// A release note must be in force everywhere within seconds.  A process that
// could miss a note for longer must not serve on its old state.  A note is
// accepted only by a process that hears more than half of the listed
// instances; a process serves only if it read the table service within the
// window or hears more than half of them too.  Two majorities share an
// instance, which passes the note on.
#ifndef CORIANDERLINK_MEMBERSHIP_FRESHNESS_GATE_H_
#define CORIANDERLINK_MEMBERSHIP_FRESHNESS_GATE_H_

#include <cstddef>

#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Inputs of one decision.
struct FreshnessView {
  /// Last successful read of the release head, by the time it was sent.
  Time last_store_read{};
  bool store_ever_read = false;
  /// Instances of the list, and those of them heard within the window, the
  /// own one included.
  size_t listed_instances = 0;
  size_t heard_instances = 0;
  /// True once a state was read from the table or from a peer.
  bool has_state = false;
};

class FreshnessGate {
 public:
  /// `window` bounds how long a process may serve without hearing of a note.
  explicit FreshnessGate(Duration window) : window_(window) {}

  /// True if requests may be served on the present state.
  bool MayServe(Time now, const FreshnessView& view) const;
  /// True if a release note may be accepted here.
  bool MayAccept(const FreshnessView& view) const;
  Duration window() const { return window_; }

 private:
  const Duration window_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_MEMBERSHIP_FRESHNESS_GATE_H_
