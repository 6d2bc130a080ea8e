// Queue of model requests that wait for an engine.
#include "corianderlink/Routing/admission_queue.h"

#include <algorithm>
#include <cassert>

namespace corianderlink {
namespace {

// Backlogged time over which the drain rate is measured.
constexpr double kDrainWindowSeconds = 1;
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

// Adds the time since the last call during which requests were waiting.
void AdmissionQueue::CountBacklog(Time now) {
  if (!where_.empty()) backlog_seconds_ += ToSeconds(now - backlog_mark_);
  backlog_mark_ = now;
  if (backlog_seconds_ < kDrainWindowSeconds) return;
  const double rate = drained_tokens_ / backlog_seconds_;
  drain_rate_ = drain_rate_ == 0 ? rate : (drain_rate_ + rate) / 2;
  drained_tokens_ = 0;
  backlog_seconds_ = 0;
}

double AdmissionQueue::DrainRate(Time now) const {
  // A stall shows up before its window is over.
  const double stalled = where_.empty() ? 0 : ToSeconds(now - backlog_mark_);
  const double waited = backlog_seconds_ + stalled;
  if (waited < kDrainWindowSeconds) return drain_rate_;
  return drained_tokens_ / waited;
}

// Tokens that are served before `request` if it is queued now.  Within its
// class an account waits for its own backlog at its fair share of the rate, so
// that an account that floods the queue does not get the others refused.
double AdmissionQueue::TokensBefore(const PendingRequest& request) const {
  const auto cls = static_cast<size_t>(request.cls);
  const double all = TokensAhead(request.cls);
  const double urgent = all - queued_tokens_[cls];
  const auto own = backlogs_[cls].find(request.account);
  if (own == backlogs_[cls].end()) return urgent;
  const double share = request.account_weight / active_weight_[cls];
  return std::min(all, urgent + own->second.tokens / share);
}

std::optional<Refusal> AdmissionQueue::Offer(Time now,
                                             const PendingRequest& request,
                                             double spread) {
  CountBacklog(now);
  const double rate = DrainRate(now);
  const double ahead = TokensBefore(request);
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
  const double allowed_s =
      limits_.max_wait_share * ToSeconds(request.deadline - now);
  const bool late = ahead > 0 && wait_s > allowed_s;
  if (late) {
    return refuse("the wait would exceed the deadline", wait_s);
  }
  const auto cls = static_cast<size_t>(request.cls);
  const DeadlineKey key{request.deadline, request.id};
  classes_[cls][request.model][request.account].emplace(key,
                                                        Waiting{request, now});
  where_[request.id] = {request.cls, request.model, request.account, key};
  queued_tokens_[cls] += request.cost_tokens;
  AccountBacklog& backlog = backlogs_[cls][request.account];
  if (backlog.requests++ == 0) {
    backlog.weight = request.account_weight;
    active_weight_[cls] += backlog.weight;
  }
  backlog.tokens += request.cost_tokens;
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
  const auto backlog = backlogs_[cls].find(place.account);
  backlog->second.tokens -= waiting.request.cost_tokens;
  if (--backlog->second.requests == 0) {
    active_weight_[cls] -= backlog->second.weight;
    backlogs_[cls].erase(backlog);
  }
  queued_tokens_[cls] =
      std::max(0.0, queued_tokens_[cls] - waiting.request.cost_tokens);
  return waiting;
}

void AdmissionQueue::Dispatched(Time now, const RequestId& id) {
  if (where_.count(id) == 0) return;
  CountBacklog(now);
  const PendingRequest request = Take(id).request;
  const auto cls = static_cast<size_t>(request.cls);
  if (served_[cls].size() > kMaxAccountsTracked) served_[cls].clear();
  double& served = served_[cls][request.account];
  virtual_now_[cls] = std::max(virtual_now_[cls], served);
  served += request.cost_tokens / request.account_weight;
  drained_tokens_ += request.cost_tokens;
}

void AdmissionQueue::Remove(const RequestId& id) {
  if (where_.count(id) > 0) Take(id);
}

std::vector<PendingRequest> AdmissionQueue::Expire(Time now) {
  CountBacklog(now);
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
