// Decides whether this process may serve requests with its current release
// state.
#include "corianderlink/Membership/freshness_gate.h"

namespace corianderlink {
namespace {

bool HasMajority(const FreshnessView& view) {
  // Until the first instance list arrives, there is no majority.
  return view.listed_instances > 0 &&
         2 * view.live_instances > view.listed_instances;
}

}  // namespace

bool FreshnessGate::MayServe(Time now, const FreshnessView& view) const {
  if (!view.has_state) return false;
  if (view.store_ever_read && now - view.last_store_read <= window_) {
    return true;
  }
  return HasMajority(view);
}

bool FreshnessGate::MayAcceptNote(const FreshnessView& view) const {
  return HasMajority(view);
}

}  // namespace corianderlink
