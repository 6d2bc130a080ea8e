// Retry budget over a sliding window.
#include "corianderlink/Gateway/retry_window.h"

#include <algorithm>

namespace corianderlink {
namespace {

// Fraction of the budget that is used; the rest covers differences between the
// gateways' clocks and between their views of the number of gateways.
constexpr double kUsableFraction = 0.7;
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
  const double allowed =
      kUsableFraction *
      (limits_.ratio * static_cast<double>(requests_.size()) +
       limits_.slack / static_cast<double>(std::max<size_t>(gateways, 1)));
  return {requests_.size(), retries_.size(), allowed};
}

bool RetryWindow::TryRetry(Time now, size_t gateways) {
  const RetryWindowUse use = UseAt(now, gateways);
  if (static_cast<double>(use.retries + 1) > use.allowed) return false;
  retries_.push_back(now);
  return true;
}

}  // namespace corianderlink
