// Outlier ejection: excludes failing upstreams from selection for a limited
// time, and lets them return with a slow start.
#ifndef CORIANDERLINK_ROUTING_OUTLIER_EJECTOR_H_
#define CORIANDERLINK_ROUTING_OUTLIER_EJECTOR_H_

#include <map>

#include "corianderlink/Support/address.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

struct OutlierEjectorLimits {
  /// Number of consecutive failures that ejects an upstream.
  int failure_threshold = 3;
  /// Duration of the first ejection; doubles with each further one.
  Duration base_ejection_time = seconds(1);
  Duration max_ejection_time = seconds(30);
  /// Largest share of the upstreams that may be ejected at once.  One upstream
  /// may be ejected whatever the share is, because in a small fleet each
  /// upstream is a large share of the capacity.  Repeated failures never eject
  /// the only upstream.
  double max_ejected_share = 0.34;
  /// Duration of the slow start after an ejection, during which the upstream's
  /// share of the load grows back to normal.
  Duration slow_start_time = seconds(5);
};

/// Ejection state of the upstreams, by address.
class OutlierEjector {
 public:
  explicit OutlierEjector(OutlierEjectorLimits limits) : limits_(limits) {}

  void OnSuccess(const Address& upstream);
  /// Records a failure and ejects the upstream if the limits allow it.
  /// `fleet_size` is the number of upstreams to choose from.
  void OnFailure(Time now, const Address& upstream, size_t fleet_size);
  /// Records that nothing listens at the upstream's address.  Ejects it at
  /// once, whatever share of the upstreams is ejected already.
  void OnUnreachable(Time now, const Address& upstream);
  /// Ejects the upstream until `end`, as no connection to it can be
  /// established; whatever share of the upstreams is ejected already, and
  /// without a slow start.
  void EjectUntil(Time end, const Address& upstream) {
    states_[upstream].unreachable_until = end;
  }
  /// Ends an ejection by EjectUntil.
  void OnReachable(const Address& upstream);
  /// Ends an ejection, whose cause was not the upstream.
  void Readmit(const Address& upstream) { states_.erase(upstream); }
  bool IsEjected(Time now, const Address& upstream) const;
  /// Returns the share of its normal load that `upstream` may get: 0 while it
  /// is ejected, growing from 0.1 to 1 during the slow start, otherwise 1.
  double SlowStartShare(Time now, const Address& upstream) const;
  /// Drops the state of all upstreams for which `gone` returns true.
  template <typename Predicate>
  void ForgetIf(Predicate gone) {
    std::erase_if(states_,
                  [&](const auto& entry) { return gone(entry.first); });
  }

 private:
  struct State {
    // Consecutive failures since the last success or ejection.
    int failures = 0;
    // Exponent of the next ejection's backoff; a success lowers it by one.
    int ejection_count = 0;
    // End of the current or last ejection for failures.
    Time until{};
    // End of the ejection by EjectUntil.
    Time unreachable_until{};
  };

  size_t CountEjected(Time now) const;
  void Eject(Time now, State& state);

  const OutlierEjectorLimits limits_;
  std::map<Address, State> states_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_ROUTING_OUTLIER_EJECTOR_H_
