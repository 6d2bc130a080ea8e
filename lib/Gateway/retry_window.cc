// Retry budget over a sliding window.
#include "corianderlink/Gateway/retry_window.h"

#include <algorithm>

namespace corianderlink {
namespace {

// Fraction of the budget that is used; the rest covers differences between the
// gateways' clocks and between their views of the number of gateways.
constexpr double kUsableFraction = 0.7;
// Fraction for a process that has just started.  Those before it may have used
// kUsableFraction in the same window; both together stay below 1.
constexpr double kFractionAfterStart = 0.2;
// Time after which a gateway without heartbeats leaves its share to the others:
// several windows, and longer than connections between gateways hang.
constexpr Duration kShareLifetime = seconds(60);

}  // namespace

void SharingGateways::Update(Time now, size_t live) {
  if (live < count_ && now - counted_at_ <= kShareLifetime) return;
  count_ = live;
  counted_at_ = now;
}

void RetryWindow::Expire(Time now) {
  const Time start = now - limits_.window;
  while (!requests_.empty() && requests_.front() < start) {
    requests_.pop_front();
  }
  while (!retries_.empty() && retries_.front() < start) retries_.pop_front();
}

void RetryWindow::OnRequest(Time now) {
  Expire(now);
  requests_.push_back(now);
}

RetryWindowUse RetryWindow::UseAt(Time now, size_t gateways) {
  Expire(now);
  const double by_requests =
      limits_.ratio * static_cast<double>(requests_.size());
  const double by_slack =
      limits_.slack / static_cast<double>(std::max<size_t>(gateways, 1));
  const double allowed = now < whole_from_
                             ? kFractionAfterStart * by_requests
                             : kUsableFraction * (by_requests + by_slack);
  return {requests_.size(), retries_.size() + reserved_, allowed};
}

bool RetryWindow::TryReserve(Time now, size_t gateways, size_t retries) {
  const RetryWindowUse use = UseAt(now, gateways);
  if (static_cast<double>(use.retries + retries) > use.allowed) return false;
  reserved_ += retries;
  return true;
}

void RetryWindow::Charge(Time now) {
  Release(1);
  retries_.push_back(now);
}

void RetryWindow::Refund(Time charged_at) {
  const auto charged =
      std::lower_bound(retries_.begin(), retries_.end(), charged_at);
  if (charged != retries_.end() && *charged == charged_at) {
    retries_.erase(charged);
  }
  ++reserved_;
}

void RetryWindow::Release(size_t retries) {
  reserved_ -= std::min(reserved_, retries);
}

bool RetryWindow::TryRetry(Time now, size_t gateways) {
  if (!TryReserve(now, gateways, 1)) return false;
  Charge(now);
  return true;
}

}  // namespace corianderlink
