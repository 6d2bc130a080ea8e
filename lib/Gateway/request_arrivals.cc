// Arrivals of one request, and their charges.
#include "corianderlink/Gateway/request_arrivals.h"

#include <algorithm>
#include <utility>

namespace corianderlink {

int ArrivalCounts::Repeats() const {
  return std::max(0, arrivals - (is_prefilled ? 1 : 0) - 1);
}

int ArrivalCounts::MissingCharges(bool with_prefill) const {
  ArrivalCounts after = *this;
  after.arrivals += with_prefill ? 2 : 1;
  after.is_prefilled = is_prefilled || with_prefill;
  return std::max(0, after.Repeats() - charged);
}

RequestArrivals::RequestArrivals(FleetRetryBudget& budget, ServiceId service,
                                 RequestId request, ArrivalCounts before)
    : budget_(budget),
      service_(std::move(service)),
      request_(std::move(request)),
      counts_(before) {}

bool RequestArrivals::TryCover(Time now, Attempt attempt) {
  const int missing =
      counts_.MissingCharges(attempt == Attempt::kSplit) - reserved_;
  if (missing <= 0) return true;
  const bool reserved =
      budget_.TryReserve(now, service_, request_, static_cast<size_t>(missing));
  if (reserved) reserved_ += missing;
  return reserved;
}

void RequestArrivals::OnSent(Time now) {
  last_charged_at_.reset();
  ++counts_.arrivals;
  if (counts_.Repeats() <= counts_.charged) return;
  budget_.Charge(now, service_);
  reserved_ = std::max(0, reserved_ - 1);
  ++counts_.charged;
  last_charged_at_ = now;
}

void RequestArrivals::OnNotReached() {
  --counts_.arrivals;
  if (!last_charged_at_) return;
  budget_.Refund(*last_charged_at_, service_);
  last_charged_at_.reset();
  --counts_.charged;
  ++reserved_;
}

void RequestArrivals::Release() {
  if (reserved_ == 0) return;
  budget_.Release(service_, static_cast<size_t>(reserved_));
  reserved_ = 0;
}

ArrivalCounts RequestArrivals::HandOver(Time now) {
  for (; reserved_ > 0; --reserved_) {
    budget_.Charge(now, service_);
    ++counts_.charged;
  }
  return counts_;
}

}  // namespace corianderlink
