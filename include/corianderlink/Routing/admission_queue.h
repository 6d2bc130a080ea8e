// Queue of model requests that wait for an engine.
//
// Order: class first (urgent, chat, bulk); within a class the account with the
// least service per weight (start-time fair queueing, Goyal, Vin and Cheng,
// 1996); within an account the earliest deadline.  Cost is counted in tokens.
// A request that cannot meet its deadline is refused on arrival.
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

/// A request as the queue sees it.
struct PendingRequest {
  RequestId id;
  AccountId account;
  double account_weight = 1;
  ModelId model;
  PriorityClass cls = PriorityClass::kChat;
  /// By when an engine must have been found.
  Time deadline{};
  /// Prompt tokens that are not cached plus expected output tokens.
  double cost_tokens = 0;
};

/// Why a request was not queued, and when to come back.
struct Refusal {
  std::string reason;
  Duration retry_after{};
};

struct AdmissionLimits {
  size_t max_queued = 10000;
  /// A model may fill at most this share of the queue, so that an overloaded
  /// model leaves room for the others.
  double max_model_share = 0.5;
  /// A bulk request that waited this long goes ahead of chat, not of urgent.
  Duration bulk_promotion = seconds(30);
  /// A request is queued only if its predicted wait is at most this share of
  /// the time to its deadline; the rest covers errors of the prediction.
  double max_wait_share = 0.6;
  /// Longest time to come back that is told to a caller.
  Duration max_retry_after = seconds(120);
};

class AdmissionQueue {
 public:
  explicit AdmissionQueue(AdmissionLimits limits) : limits_(limits) {}

  /// Queues the request or says why not.  `spread` in [0, 1) differs between
  /// callers, so that refused ones do not return together.
  std::optional<Refusal> Offer(Time now, const PendingRequest& request,
                               double spread);

  /// Candidates in order: the first of each model that has any, best first.
  /// A model without a free engine thus does not block the others.
  std::vector<PendingRequest> Heads(Time now) const;

  /// Takes a request out because it is dispatched now.
  void Dispatched(Time now, const RequestId& id);
  /// Takes a request out because its caller left.
  void Remove(const RequestId& id);
  /// Takes out every request whose deadline passed.
  std::vector<PendingRequest> Expire(Time now);

  size_t size() const { return where_.size(); }
  /// Tokens waiting in `cls` and the classes ahead of it.
  double TokensAhead(PriorityClass cls) const;
  /// Tokens dispatched per second while requests were waiting; 0 if that was
  /// not observed for long enough.  Idle time says nothing about capacity.
  double DrainRate(Time now) const;

 private:
  using DeadlineKey = std::pair<Time, RequestId>;

  struct Waiting {
    PendingRequest request;
    Time since{};
  };

  /// Requests of one account for one model in one class.
  using AccountQueue = std::map<DeadlineKey, Waiting>;
  using ModelQueue = std::map<AccountId, AccountQueue>;
  using ClassQueue = std::map<ModelId, ModelQueue>;

  struct Place {
    PriorityClass cls;
    ModelId model;
    AccountId account;
    DeadlineKey key;
  };

  /// Tokens that one account has waiting in one class.
  struct AccountBacklog {
    double tokens = 0;
    double weight = 1;
    size_t requests = 0;
  };

  double TokensBefore(const PendingRequest& request) const;
  const Waiting* HeadOf(const ModelQueue& queue) const;
  void CountBacklog(Time now);
  Waiting Take(const RequestId& id);
  double VirtualTime(PriorityClass cls, const AccountId& account) const;

  const AdmissionLimits limits_;
  std::array<ClassQueue, kPriorityClasses> classes_;
  std::array<double, kPriorityClasses> queued_tokens_{};
  std::array<std::unordered_map<AccountId, AccountBacklog>, kPriorityClasses>
      backlogs_;
  // Sum of the weights of the accounts that have a backlog.
  std::array<double, kPriorityClasses> active_weight_{};
  std::unordered_map<RequestId, Place> where_;
  std::map<ModelId, size_t> per_model_;
  // Service per weight that each account has received, by class.
  std::array<std::unordered_map<AccountId, double>, kPriorityClasses> served_;
  std::array<double, kPriorityClasses> virtual_now_{};
  double drained_tokens_ = 0;
  double backlog_seconds_ = 0;
  double drain_rate_ = 0;
  Time backlog_mark_{};
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_ROUTING_ADMISSION_QUEUE_H_
