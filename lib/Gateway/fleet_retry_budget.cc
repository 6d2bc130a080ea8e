// Retry budgets of all services at one gateway.
#include "corianderlink/Gateway/fleet_retry_budget.h"

#include "corianderlink/Support/log.h"

namespace corianderlink {

FleetRetryBudget::FleetRetryBudget(RetryLimits limits, Time whole_from,
                                   Metrics& metrics)
    : limits_(limits), whole_from_(whole_from), metrics_(metrics) {}

void FleetRetryBudget::SetLimits(const RetryLimits& limits) {
  limits_ = limits;
  for (auto& [service, window] : windows_) window.SetLimits(limits);
}

RetryWindow& FleetRetryBudget::WindowOf(const ServiceId& service) {
  return windows_.try_emplace(service, limits_, whole_from_).first->second;
}

void FleetRetryBudget::OnRequest(Time now, const ServiceId& service) {
  WindowOf(service).OnRequest(now);
}

bool FleetRetryBudget::TryReserve(Time now, const ServiceId& service,
                                  const RequestId& request, size_t retries) {
  RetryWindow& window = WindowOf(service);
  const size_t gateways = sharing_.count();
  const bool reserved = window.TryReserve(now, gateways, retries);
  if (!reserved) metrics_.Add("gateway_retry_denials_total");
  const RetryWindowUse use = window.UseAt(now, gateways);
  Log(LogLevel::kInfo, reserved ? "retry_reserved" : "retry_denied",
      {{"request", request.value()},
       {"service", service.value()},
       {"retries", static_cast<uint64_t>(retries)},
       {"window_requests", static_cast<uint64_t>(use.requests)},
       {"window_retries", static_cast<uint64_t>(use.retries)},
       {"allowed", use.allowed},
       {"gateways", static_cast<uint64_t>(gateways)}});
  return reserved;
}

void FleetRetryBudget::Charge(Time now, const ServiceId& service) {
  WindowOf(service).Charge(now);
  metrics_.Add("gateway_retry_charges_total");
}

void FleetRetryBudget::Refund(Time charged_at, const ServiceId& service) {
  WindowOf(service).Refund(charged_at);
  metrics_.Add("gateway_retry_refunds_total");
}

void FleetRetryBudget::Release(const ServiceId& service, size_t retries) {
  WindowOf(service).Release(retries);
}

}  // namespace corianderlink
