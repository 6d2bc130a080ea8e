// Admission queue for model requests that wait for an engine.
#include "corianderlink/Routing/admission_queue.h"

#include <algorithm>
#include <cassert>

namespace corianderlink {
namespace {

// Time with queued requests over which the drain rate is averaged.
constexpr double kDrainWindowSeconds = 1;
// Retry delay while the drain rate is unknown.
constexpr seconds kDefaultRetryAfter{2};
// Largest number of accounts per class whose virtual finish time is kept.
constexpr size_t kMaxAccounts = 10000;

}  // namespace

double AdmissionQueue::TokensAhead(PriorityClass cls) const {
  double tokens = 0;
  for (int c = 0; c <= static_cast<int>(cls); ++c) tokens += queued_tokens_[c];
  return tokens;
}

// Adds the time since the last call if requests were waiting, and recomputes
// the drain rate at the end of each window.
void AdmissionQueue::UpdateDrainRate(Time now) {
  if (!locations_.empty()) backlog_seconds_ += ToSeconds(now - last_update_);
  last_update_ = now;
  if (backlog_seconds_ < kDrainWindowSeconds) return;
  const double rate = dispatched_tokens_ / backlog_seconds_;
  drain_rate_ = drain_rate_ == 0 ? rate : (drain_rate_ + rate) / 2;
  dispatched_tokens_ = 0;
  backlog_seconds_ = 0;
}

double AdmissionQueue::DrainRate(Time now) const {
  // Counts the time since the last update, so that a stall lowers the rate
  // before the next dispatch.
  const double since_update =
      locations_.empty() ? 0 : ToSeconds(now - last_update_);
  const double waited = backlog_seconds_ + since_update;
  if (waited < kDrainWindowSeconds) return drain_rate_;
  return dispatched_tokens_ / waited;
}

// Returns the tokens that would be served before `request` if it were queued
// now.  Within its class an account waits only for its own backlog, which
// drains at its fair share of the rate.  An account that floods the queue thus
// does not cause requests of other accounts to be refused.
double AdmissionQueue::TokensServedBefore(const PendingRequest& request) const {
  const auto cls = static_cast<size_t>(request.cls);
  const double upper_bound = TokensAhead(request.cls);
  const double higher_classes = upper_bound - queued_tokens_[cls];
  const auto own = backlogs_[cls].find(request.account);
  if (own == backlogs_[cls].end()) return higher_classes;
  const double share = request.account_weight / active_weight_[cls];
  return std::min(upper_bound, higher_classes + own->second.tokens / share);
}

std::optional<Refusal> AdmissionQueue::Offer(Time now,
                                             const PendingRequest& request,
                                             double jitter) {
  UpdateDrainRate(now);
  const double rate = DrainRate(now);
  const double ahead = TokensServedBefore(request);
  const double wait_s = rate > 0 ? ahead / rate : 0;
  const auto refuse = [&](std::string reason, double base_s) {
    const Duration base = std::max<Duration>(FromSeconds(base_s),
                                             Duration(kDefaultRetryAfter) / 2);
    const Duration delay = base + FromSeconds(base_s * jitter);
    return Refusal{std::move(reason), std::min(delay, limits_.max_retry_after)};
  };
  if (locations_.size() >= limits_.max_queued) {
    return refuse("queue is full", wait_s);
  }
  const auto model_limit = static_cast<size_t>(
      static_cast<double>(limits_.max_queued) * limits_.max_model_share);
  const auto it = model_counts_.find(request.model);
  if (it != model_counts_.end() && it->second >= model_limit) {
    return refuse("queue of this model is full", wait_s);
  }
  const double allowed_s =
      limits_.max_wait_share * ToSeconds(request.deadline - now);
  const bool misses_deadline = ahead > 0 && wait_s > allowed_s;
  if (misses_deadline) {
    return refuse("the wait would exceed the deadline", wait_s);
  }
  const auto cls = static_cast<size_t>(request.cls);
  const DeadlineKey key{request.deadline, request.id};
  classes_[cls][request.model][request.account].emplace(key,
                                                        Waiting{request, now});
  locations_[request.id] = {request.cls, request.model, request.account, key};
  queued_tokens_[cls] += request.cost_tokens;
  AccountBacklog& backlog = backlogs_[cls][request.account];
  if (backlog.requests++ == 0) {
    backlog.weight = request.account_weight;
    active_weight_[cls] += backlog.weight;
  }
  backlog.tokens += request.cost_tokens;
  ++model_counts_[request.model];
  // An account that was idle starts at the current virtual time, so that it
  // gains no credit from idle time.
  double& finish = virtual_finish_[cls][request.account];
  finish = std::max(finish, virtual_time_[cls]);
  return std::nullopt;
}

double AdmissionQueue::VirtualFinishTime(PriorityClass cls,
                                         const AccountId& account) const {
  const auto& finish = virtual_finish_[static_cast<size_t>(cls)];
  const auto it = finish.find(account);
  return it == finish.end() ? 0 : it->second;
}

const AdmissionQueue::Waiting* AdmissionQueue::NextRequest(
    const ModelQueue& queue) const {
  const Waiting* best = nullptr;
  double best_time = 0;
  for (const auto& [account, waiting] : queue) {
    const Waiting& head = waiting.begin()->second;
    const double time = VirtualFinishTime(head.request.cls, account);
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
      const Waiting* head = NextRequest(queue);
      if (head == nullptr) continue;
      const bool promote = head->request.cls == PriorityClass::kBulk &&
                           now - head->queued_at >= limits_.bulk_promotion_wait;
      (promote ? promoted : heads).push_back(head->request);
    }
  }
  // Promoted bulk requests go after urgent and before chat requests.
  const auto first_chat = std::find_if(
      heads.begin(), heads.end(),
      [](const PendingRequest& r) { return r.cls != PriorityClass::kUrgent; });
  heads.insert(first_chat, promoted.begin(), promoted.end());
  return heads;
}

AdmissionQueue::Waiting AdmissionQueue::Extract(const RequestId& id) {
  const auto it = locations_.find(id);
  assert(it != locations_.end());
  const Location location = it->second;
  locations_.erase(it);
  const auto cls = static_cast<size_t>(location.cls);
  ModelQueue& accounts = classes_[cls][location.model];
  AccountQueue& queue = accounts[location.account];
  Waiting waiting = queue.extract(location.key).mapped();
  if (queue.empty()) accounts.erase(location.account);
  if (accounts.empty()) classes_[cls].erase(location.model);
  if (--model_counts_[location.model] == 0) model_counts_.erase(location.model);
  const auto backlog = backlogs_[cls].find(location.account);
  backlog->second.tokens -= waiting.request.cost_tokens;
  if (--backlog->second.requests == 0) {
    active_weight_[cls] -= backlog->second.weight;
    backlogs_[cls].erase(backlog);
  }
  queued_tokens_[cls] =
      std::max(0.0, queued_tokens_[cls] - waiting.request.cost_tokens);
  return waiting;
}

void AdmissionQueue::OnDispatch(Time now, const RequestId& id) {
  if (locations_.count(id) == 0) return;
  UpdateDrainRate(now);
  const PendingRequest request = Extract(id).request;
  const auto cls = static_cast<size_t>(request.cls);
  if (virtual_finish_[cls].size() > kMaxAccounts) virtual_finish_[cls].clear();
  double& finish = virtual_finish_[cls][request.account];
  virtual_time_[cls] = std::max(virtual_time_[cls], finish);
  finish += request.cost_tokens / request.account_weight;
  dispatched_tokens_ += request.cost_tokens;
}

void AdmissionQueue::Remove(const RequestId& id) {
  if (locations_.count(id) > 0) Extract(id);
}

std::vector<PendingRequest> AdmissionQueue::Expire(Time now) {
  UpdateDrainRate(now);
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
  for (const PendingRequest& request : expired) Extract(request.id);
  return expired;
}

}  // namespace corianderlink
