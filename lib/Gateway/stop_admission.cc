// Which requests a gateway takes while it stops.
#include "corianderlink/Gateway/stop_admission.h"

#include <algorithm>

namespace corianderlink {

void StopAdmission::OnServed(Time now, const RouteId& route,
                             uint32_t output_tokens, Duration taken) {
  serving_times_[route].Add(now, output_tokens, taken);
}

void StopAdmission::OnPeer(Time now, const std::string& process, bool leaving) {
  if (leaving) {
    leaving_peers_.try_emplace(process, Leaving{now, now}).first->second.heard =
        now;
  }
  std::erase_if(leaving_peers_, [&](const auto& entry) {
    return now - entry.second.heard >= directory_.longest;
  });
}

Duration StopAdmission::RetryAfter(Time now) const {
  const bool may_reach_one = std::any_of(
      leaving_peers_.begin(), leaving_peers_.end(), [&](const auto& entry) {
        return now - entry.second.since < directory_.longest;
      });
  return may_reach_one ? directory_.ttl : Duration::zero();
}

void StopAdmission::OnBrokenOff(Time now, const RouteId& route,
                                uint32_t output_tokens, Duration taken) {
  const auto times = serving_times_.find(route);
  if (times == serving_times_.end()) return;
  times->second.AddBrokenOff(now, output_tokens, taken);
}

bool StopAdmission::Takes(Time now, const RouteId& route,
                          uint32_t output_tokens, Duration limit) const {
  return !plan_ || plan_->Takes(now, NeedOf(now, route, output_tokens, limit));
}

bool StopAdmission::Fits(Time now, const RouteId& route, uint32_t output_tokens,
                         Duration limit, Duration done) const {
  if (!plan_) return true;
  RequestNeed need = NeedOf(now, route, output_tokens, limit);
  need.expected = std::max(Duration::zero(), need.expected - done);
  return plan_->Fits(now, need);
}

RequestNeed StopAdmission::NeedOf(Time now, const RouteId& route,
                                  uint32_t output_tokens,
                                  Duration limit) const {
  const auto times = serving_times_.find(route);
  if (times == serving_times_.end()) return {limit, limit};
  const auto longest = times->second.Longest(now, output_tokens);
  if (!longest) return {limit, limit};
  return {limit,
          std::max(*longest, LongestInProgress(now, route, output_tokens))};
}

Duration StopAdmission::LongestInProgress(Time now, const RouteId& route,
                                          uint32_t output_tokens) const {
  Duration longest{};
  for (const auto& [key, request] : in_progress_) {
    if (request.output_tokens > output_tokens) continue;
    if (request.route != route) continue;
    longest = std::max(longest, now - request.arrived);
  }
  return longest;
}

}  // namespace corianderlink
