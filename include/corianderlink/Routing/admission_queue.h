// Admission queue for model requests that wait for an engine.
//
// Requests are ordered by priority class (urgent, chat, bulk).  Within a class,
// client accounts share the capacity by start-time fair queueing (Goyal, Vin
// and Cheng, 1996); within an account the earliest deadline goes first.  Cost
// is measured in tokens.  A request that is predicted to miss its deadline is
// refused on arrival.
#ifndef CORIANDERLINK_ROUTING_ADMISSION_QUEUE_H_
#define CORIANDERLINK_ROUTING_ADMISSION_QUEUE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "corianderlink/Routing/priority_class.h"
#include "corianderlink/Support/strong_id.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// The attributes of a request that determine its position in the queue.
struct PendingRequest {
  RequestId id;
  AccountId account;
  double account_weight = 1;
  ModelId model;
  PriorityClass cls = PriorityClass::kChat;
  /// Latest time at which the request may be dispatched to an engine.
  Time deadline{};
  /// Uncached prompt tokens plus expected output tokens.
  double cost_tokens = 0;
};

/// Reason why a request was not queued, and the delay before a retry.
struct Refusal {
  std::string reason;
  Duration retry_after{};
};

struct AdmissionLimits {
  /// Largest number of queued requests.
  size_t max_queued = 10000;
  /// Largest share of the queue that one model may occupy, so that an
  /// overloaded model does not block the others.
  double max_model_share = 0.5;
  /// A bulk request that has waited this long is served ahead of chat requests,
  /// but still after urgent ones.  Prevents starvation.
  Duration bulk_promotion_wait = seconds(30);
  /// A request is queued only if its predicted wait is at most this share of
  /// the time left until its deadline; the rest allows for prediction errors.
  double max_wait_share = 0.6;
  /// Upper bound on the retry delay that is returned to a caller.
  Duration max_retry_after = seconds(120);
};

class AdmissionQueue {
 public:
  explicit AdmissionQueue(AdmissionLimits limits) : limits_(limits) {}

  /// Queues the request, or returns the reason for refusing it.  `jitter` is a
  /// random number in [0, 1) that spreads the retries of refused callers.
  std::optional<Refusal> Offer(Time now, const PendingRequest& request,
                               double jitter);

  /// Returns the next request of each model and class, highest priority first.
  /// A model without a free engine thus does not block the others.
  std::vector<PendingRequest> Heads(Time now) const;

  /// Removes a request that is being dispatched and accounts for its cost.
  void OnDispatch(Time now, const RequestId& id);
  /// Removes a request whose caller disconnected; ignores an unknown one.
  void Remove(const RequestId& id);
  /// Removes and returns all requests whose deadline has passed.
  std::vector<PendingRequest> Expire(Time now);

  size_t size() const { return locations_.size(); }
  /// Returns the tokens queued in `cls` and in all classes of higher priority.
  double TokensAhead(PriorityClass cls) const;
  /// Returns the tokens dispatched per second while requests were waiting, or 0
  /// while there are too few observations.  Idle time is not counted, because
  /// it says nothing about capacity.
  double DrainRate(Time now) const;

 private:
  using DeadlineKey = std::pair<Time, RequestId>;

  struct Waiting {
    PendingRequest request;
    Time queued_at{};
  };

  /// Requests of one account for one model in one class.
  using AccountQueue = std::map<DeadlineKey, Waiting>;
  using ModelQueue = std::map<AccountId, AccountQueue>;
  using ClassQueue = std::map<ModelId, ModelQueue>;

  /// Keys that locate a request in `classes_`.
  struct Location {
    PriorityClass cls;
    ModelId model;
    AccountId account;
    DeadlineKey key;
  };

  /// Queued requests of one account in one class.
  struct AccountBacklog {
    double tokens = 0;
    double weight = 1;
    size_t requests = 0;
  };

  double TokensServedBefore(const PendingRequest& request) const;
  const Waiting* NextRequest(const ModelQueue& queue) const;
  void UpdateDrainRate(Time now);
  Waiting Extract(const RequestId& id);
  double VirtualFinishTime(PriorityClass cls, const AccountId& account) const;

  const AdmissionLimits limits_;
  std::array<ClassQueue, kPriorityClasses> classes_;
  std::array<double, kPriorityClasses> queued_tokens_{};
  std::array<std::unordered_map<AccountId, AccountBacklog>, kPriorityClasses>
      backlogs_;
  // Sum of the weights of the accounts that have queued requests.
  std::array<double, kPriorityClasses> active_weight_{};
  std::unordered_map<RequestId, Location> locations_;
  std::map<ModelId, size_t> model_counts_;
  // Virtual time, in tokens per unit of weight, at which each account's last
  // dispatched request finishes.  Indexed by class.
  std::array<std::unordered_map<AccountId, double>, kPriorityClasses>
      virtual_finish_;
  std::array<double, kPriorityClasses> virtual_time_{};
  double dispatched_tokens_ = 0;
  double backlog_seconds_ = 0;
  double drain_rate_ = 0;
  Time last_update_{};
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_ROUTING_ADMISSION_QUEUE_H_
