// Tells a crashed upstream from a broken connection.
#include "corianderlink/Gateway/crash_check.h"

#include <memory>

namespace corianderlink {
namespace {

constexpr Duration kConnectTimeout = milliseconds(250);
constexpr Duration kTimeout = milliseconds(1000);
// Status of an upstream that the request was not meant for.
constexpr int kMisdirected = 421;

}  // namespace

void CrashCheck::Start(const UpstreamRecord& upstream,
                       const std::string& health_path,
                       std::function<void()> on_crashed) {
  const bool is_engine = upstream.role != UpstreamRole::kPlain;
  if (!is_engine && health_path.empty()) return;
  const Incarnation incarnation{upstream.id, upstream.started_ms};
  Check& check = pending_[incarnation];
  check.on_crashed.push_back(std::move(on_crashed));
  if (check.on_crashed.size() > 1) return;
  UpstreamRequest request =
      is_engine ? codec_.encode_status_request(upstream)
                : codec_.encode_health_check(upstream, health_path);
  // A pooled connection may break like the first one.
  request.max_idle = kNoReuse;
  request.connect_timeout = kConnectTimeout;
  const auto reassigned = std::make_shared<bool>(false);
  UpstreamHandlers handlers;
  handlers.on_head = [reassigned](const ResponseHead& head) {
    *reassigned = head.status == kMisdirected;
  };
  handlers.on_end = [this, incarnation, reassigned] {
    OnResult(incarnation, *reassigned);
  };
  handlers.on_fail = [this, incarnation](const Outcome& outcome) {
    OnResult(incarnation, outcome.connection_refused);
  };
  check.timeout =
      loop_.After(kTimeout, [this, incarnation] { OnTimeout(incarnation); });
  check.call = pool_.Start(std::move(request), std::move(handlers));
}

void CrashCheck::OnTimeout(const Incarnation& incarnation) {
  pending_.at(incarnation).call->Cancel();
  OnResult(incarnation, false);
}

void CrashCheck::OnResult(const Incarnation& incarnation, bool crashed) {
  const auto node = pending_.extract(incarnation);
  if (node.empty() || !crashed) return;
  for (const auto& on_crashed : node.mapped().on_crashed) on_crashed();
}

}  // namespace corianderlink
