// Takes failing upstreams out of choice for a time.
#ifndef CORIANDERLINK_ROUTING_EJECTOR_H_
#define CORIANDERLINK_ROUTING_EJECTOR_H_

#include <map>

#include "corianderlink/Support/address.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

struct EjectorLimits {
  /// Failures in a row that eject an upstream.
  int failures = 3;
  /// First ejection; doubles with each further one.
  Duration base = seconds(1);
  Duration longest = seconds(30);
  /// At most this share of the upstreams is out at once, but one may always
  /// be: in a small fleet every upstream is a large share of capacity.
  double max_share = 0.34;
  /// After its return an upstream's share of work grows back over this time.
  Duration ramp = seconds(5);
};

class Ejector {
 public:
  explicit Ejector(EjectorLimits limits) : limits_(limits) {}

  void OnSuccess(const Address& upstream);
  /// `fleet_size` is the number of upstreams to choose from.
  void OnFailure(Time now, const Address& upstream, size_t fleet_size);
  /// Nothing listens at the upstream's address: it is out at once, whatever the
  /// share of ejected ones.
  void OnUnreachable(Time now, const Address& upstream);
  bool Ejected(Time now, const Address& upstream) const;
  /// 1 in normal use; grows from 0.1 to 1 over the ramp after a return.
  double Share(Time now, const Address& upstream) const;
  /// Forgets the upstreams for which `gone` holds.
  template <typename Predicate>
  void ForgetIf(Predicate gone) {
    std::erase_if(states_,
                  [&](const auto& entry) { return gone(entry.first); });
  }

 private:
  struct State {
    int failures_in_row = 0;
    int ejections = 0;
    Time until{};
  };

  size_t EjectedCount(Time now) const;
  void Eject(Time now, State& state);

  const EjectorLimits limits_;
  std::map<Address, State> states_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_ROUTING_EJECTOR_H_
