// Takes failing upstreams out of choice for a time.
#include "corianderlink/Routing/ejector.h"

#include <algorithm>

namespace corianderlink {
namespace {

constexpr double kLowestShare = 0.1;
constexpr int kMaxDoublings = 10;

}  // namespace

size_t Ejector::EjectedCount(Time now) const {
  return static_cast<size_t>(std::count_if(
      states_.begin(), states_.end(),
      [&](const auto& entry) { return entry.second.until > now; }));
}

void Ejector::OnSuccess(const Address& upstream) {
  const auto it = states_.find(upstream);
  if (it == states_.end()) return;
  it->second.failures_in_row = 0;
  it->second.ejections = std::max(0, it->second.ejections - 1);
}

void Ejector::OnFailure(Time now, const Address& upstream, size_t fleet_size) {
  State& state = states_[upstream];
  ++state.failures_in_row;
  if (state.failures_in_row < limits_.failures || state.until > now) return;
  const auto allowed = std::max<size_t>(
      1,
      static_cast<size_t>(static_cast<double>(fleet_size) * limits_.max_share));
  const bool last_one = fleet_size <= 1;
  if (last_one || EjectedCount(now) >= allowed) return;
  Eject(now, state);
}

void Ejector::OnUnreachable(Time now, const Address& upstream) {
  State& state = states_[upstream];
  if (state.until <= now) Eject(now, state);
}

void Ejector::Eject(Time now, State& state) {
  const int doublings = std::min(state.ejections, kMaxDoublings);
  state.until =
      now + std::min(limits_.longest, limits_.base * (1 << doublings));
  ++state.ejections;
  state.failures_in_row = 0;
}

bool Ejector::Ejected(Time now, const Address& upstream) const {
  const auto it = states_.find(upstream);
  return it != states_.end() && it->second.until > now;
}

double Ejector::Share(Time now, const Address& upstream) const {
  const auto it = states_.find(upstream);
  if (it == states_.end() || it->second.until == Time{}) return 1;
  if (it->second.until > now) return 0;
  const double progress =
      ToSeconds(now - it->second.until) / ToSeconds(limits_.ramp);
  return std::min(1.0, kLowestShare + (1 - kLowestShare) * progress);
}

}  // namespace corianderlink
