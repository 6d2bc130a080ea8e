// Which requests a gateway takes while it stops.
#ifndef CORIANDERLINK_GATEWAY_STOP_ADMISSION_H_
#define CORIANDERLINK_GATEWAY_STOP_ADMISSION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "corianderlink/Gateway/gateway_config.h"
#include "corianderlink/Gateway/serving_times.h"
#include "corianderlink/Support/stop_plan.h"

namespace corianderlink {

/// How long clients keep an answer of the directory.
struct DirectoryTimes {
  Duration ttl{};
  /// Some keep it for so long.
  Duration longest{};
};

class StopAdmission {
 public:
  explicit StopAdmission(const DirectoryTimes& directory)
      : directory_(directory) {}

  /// A request of the route that may have generated up to `output_tokens` was
  /// served in full `taken` after its arrival.
  void OnServed(Time now, const RouteId& route, uint32_t output_tokens,
                Duration taken);
  /// Such a request has failed or was broken off.
  void OnBrokenOff(Time now, const RouteId& route, uint32_t output_tokens,
                   Duration taken);
  /// `request` names one that has arrived until it has ended.
  void OnArrived(const void* request, const RouteId& route,
                 uint32_t output_tokens, Time arrived) {
    in_progress_[request] = {route, output_tokens, arrived};
  }
  void OnEnded(const void* request) { in_progress_.erase(request); }
  template <typename Predicate>
  void ForgetRoutesIf(const Predicate& is_gone) {
    std::erase_if(serving_times_,
                  [&](const auto& entry) { return is_gone(entry.first); });
  }

  /// A peer has said whether it leaves.
  void OnPeer(Time now, const std::string& process, bool leaving);
  /// When the client of a request that is refused here is to come back: at once
  /// if it will reach a gateway that stays, else once most clients have asked
  /// for addresses again.
  Duration RetryAfter(Time now) const;

  void Begin(Time now, Duration grace) {
    plan_.emplace(now, StopLimits{grace, directory_.longest});
  }
  /// Empty until a stop has begun.
  const std::optional<StopPlan>& plan() const { return plan_; }

  /// True if a request that is whole now and ends after `limit` at the latest
  /// is taken.
  bool Takes(Time now, const RouteId& route, uint32_t output_tokens,
             Duration limit) const;
  /// True if an attempt of a request that was taken may begin now; `done` of
  /// the time that it takes is behind it.
  bool Fits(Time now, const RouteId& route, uint32_t output_tokens,
            Duration limit, Duration done) const;

 private:
  struct Leaving {
    /// When the peer first said so, and when last.
    Time since{};
    Time heard{};
  };
  struct InProgress {
    RouteId route;
    uint32_t output_tokens = 0;
    Time arrived{};
  };
  /// The longest time that requests of the route, not larger, have been here.
  Duration LongestInProgress(Time now, const RouteId& route,
                             uint32_t output_tokens) const;
  RequestNeed NeedOf(Time now, const RouteId& route, uint32_t output_tokens,
                     Duration limit) const;

  const DirectoryTimes directory_;
  std::map<RouteId, ServingTimes> serving_times_;
  // By process.
  std::map<std::string, Leaving> leaving_peers_;
  std::map<const void*, InProgress> in_progress_;
  std::optional<StopPlan> plan_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_STOP_ADMISSION_H_
