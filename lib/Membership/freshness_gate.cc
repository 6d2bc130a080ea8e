// Decides whether this process may act on the desired state that it has.
#include "corianderlink/Membership/freshness_gate.h"

namespace corianderlink {
namespace {

bool HearsMajority(const FreshnessView& view) {
  // Before the first list arrives nothing is known about peers.
  return view.listed_instances > 0 &&
         2 * view.heard_instances > view.listed_instances;
}

}  // namespace

bool FreshnessGate::MayServe(Time now, const FreshnessView& view) const {
  if (!view.has_state) return false;
  if (view.store_ever_read && now - view.last_store_read <= window_) {
    return true;
  }
  return HearsMajority(view);
}

bool FreshnessGate::MayAccept(const FreshnessView& view) const {
  return HearsMajority(view);
}

}  // namespace corianderlink
