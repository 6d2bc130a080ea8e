// Queue of model requests that wait for an engine.
#include "corianderlink/Routing/admission_queue.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace corianderlink {
namespace {

// Window of the average drain rate.
constexpr double kDrainWindowSeconds = 5;
// Time to come back while nothing drains yet.
constexpr seconds kDefaultRetryAfter{2};
// Accounts whose service is remembered in each class.
constexpr size_t kMaxAccountsTracked = 10000;

}  // namespace

double AdmissionQueue::TokensAhead(PriorityClass cls) const {
  double tokens = 0;
  for (int c = 0; c <= static_cast<int>(cls); ++c) tokens += queued_tokens_[c];
  return tokens;
}

double AdmissionQueue::DrainRate(Time now) const {
  const double elapsed = ToSeconds(now - drain_since_);
  if (elapsed <= 0) return drain_rate_;
  // Exponential average; the tokens since the last update count for the time
  // that has passed.
  const double decay = std::exp(-elapsed / kDrainWindowSeconds);
  return drain_rate_ * decay + drained_tokens_ / elapsed * (1 - decay);
}

std::optional<Refusal> AdmissionQueue::Offer(Time now,
                                             const PendingRequest& request,
                                             double spread) {
  const double rate = DrainRate(now);
  const double ahead = TokensAhead(request.cls);
  const double wait_s = rate > 0 ? ahead / rate : 0;
  const auto refuse = [&](std::string reason, double base_s) {
    const Duration base = std::max<Duration>(FromSeconds(base_s),
                                             Duration(kDefaultRetryAfter) / 2);
    const Duration spread_over = base + FromSeconds(base_s * spread);
    return Refusal{std::move(reason),
                   std::min(spread_over, limits_.max_retry_after)};
  };
  if (where_.size() >= limits_.max_queued) {
    return refuse("queue is full", wait_s);
  }
  const auto model_limit = static_cast<size_t>(
      static_cast<double>(limits_.max_queued) * limits_.max_model_share);
  const auto it = per_model_.find(request.model);
  if (it != per_model_.end() && it->second >= model_limit) {
    return refuse("queue of this model is full", wait_s);
  }
  const bool late = ahead > 0 && now + FromSeconds(wait_s) > request.deadline;
  if (late) {
    return refuse("the wait would exceed the deadline", wait_s);
  }
  const auto cls = static_cast<size_t>(request.cls);
  const DeadlineKey key{request.deadline, request.id};
  classes_[cls][request.model][request.account].emplace(key,
                                                        Waiting{request, now});
  where_[request.id] = {request.cls, request.model, request.account, key};
  queued_tokens_[cls] += request.cost_tokens;
  ++per_model_[request.model];
  // An account that was idle starts at the present virtual time.
  double& served = served_[cls][request.account];
  served = std::max(served, virtual_now_[cls]);
  return std::nullopt;
}

double AdmissionQueue::VirtualTime(PriorityClass cls,
                                   const AccountId& account) const {
  const auto& served = served_[static_cast<size_t>(cls)];
  const auto it = served.find(account);
  return it == served.end() ? 0 : it->second;
}

const AdmissionQueue::Waiting* AdmissionQueue::HeadOf(
    const ModelQueue& queue) const {
  const Waiting* best = nullptr;
  double best_time = 0;
  for (const auto& [account, waiting] : queue) {
    const Waiting& head = waiting.begin()->second;
    const double time = VirtualTime(head.request.cls, account);
    if (best != nullptr && time >= best_time) continue;
    best = &head;
    best_time = time;
  }
  return best;
}

std::vector<PendingRequest> AdmissionQueue::Heads(Time now) const {
  std::vector<PendingRequest> heads;
  std::vector<PendingRequest> promoted;
  for (const ClassQueue& models : classes_) {
    for (const auto& [model, queue] : models) {
      const Waiting* head = HeadOf(queue);
      if (head == nullptr) continue;
      const bool promote = head->request.cls == PriorityClass::kBulk &&
                           now - head->since >= limits_.bulk_promotion;
      (promote ? promoted : heads).push_back(head->request);
    }
  }
  // Promoted bulk goes behind urgent and ahead of chat.
  const auto first_chat = std::find_if(
      heads.begin(), heads.end(),
      [](const PendingRequest& r) { return r.cls != PriorityClass::kUrgent; });
  heads.insert(first_chat, promoted.begin(), promoted.end());
  return heads;
}

AdmissionQueue::Waiting AdmissionQueue::Take(const RequestId& id) {
  const auto it = where_.find(id);
  assert(it != where_.end());
  const Place place = it->second;
  where_.erase(it);
  const auto cls = static_cast<size_t>(place.cls);
  ModelQueue& accounts = classes_[cls][place.model];
  AccountQueue& queue = accounts[place.account];
  Waiting waiting = queue.extract(place.key).mapped();
  if (queue.empty()) accounts.erase(place.account);
  if (accounts.empty()) classes_[cls].erase(place.model);
  if (--per_model_[place.model] == 0) per_model_.erase(place.model);
  queued_tokens_[cls] =
      std::max(0.0, queued_tokens_[cls] - waiting.request.cost_tokens);
  return waiting;
}

void AdmissionQueue::Dispatched(Time now, const RequestId& id) {
  if (where_.count(id) == 0) return;
  const PendingRequest request = Take(id).request;
  const auto cls = static_cast<size_t>(request.cls);
  if (served_[cls].size() > kMaxAccountsTracked) served_[cls].clear();
  double& served = served_[cls][request.account];
  virtual_now_[cls] = std::max(virtual_now_[cls], served);
  served += request.cost_tokens / request.account_weight;
  if (drain_since_ == Time{}) drain_since_ = now;
  drained_tokens_ += request.cost_tokens;
  if (ToSeconds(now - drain_since_) < 1) return;
  drain_rate_ = DrainRate(now);
  drain_since_ = now;
  drained_tokens_ = 0;
}

void AdmissionQueue::Remove(const RequestId& id) {
  if (where_.count(id) > 0) Take(id);
}

std::vector<PendingRequest> AdmissionQueue::Expire(Time now) {
  std::vector<PendingRequest> expired;
  for (const ClassQueue& models : classes_) {
    for (const auto& [model, accounts] : models) {
      for (const auto& [account, queue] : accounts) {
        for (const auto& [key, waiting] : queue) {
          if (key.first > now) break;
          expired.push_back(waiting.request);
        }
      }
    }
  }
  for (const PendingRequest& request : expired) Take(request.id);
  return expired;
}

}  // namespace corianderlink
