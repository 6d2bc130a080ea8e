// Checks whether an upstream responds.
#include "corianderlink/Gateway/upstream_probe.h"

#include <memory>

namespace corianderlink {
namespace {

constexpr Duration kConnectTimeout = milliseconds(250);
constexpr Duration kTimeout = milliseconds(1000);
// Status of an upstream that the request was not meant for.
constexpr int kMisdirected = 421;

}  // namespace

const char* ToString(ProbeResult result) {
  switch (result) {
    case ProbeResult::kAnswers:
      return "answers";
    case ProbeResult::kUnresponsive:
      return "unresponsive";
    case ProbeResult::kUnreachable:
      return "unreachable";
    case ProbeResult::kGone:
      return "gone";
  }
  return "";
}

bool UpstreamProbe::Start(const UpstreamRecord& upstream,
                          const std::string& health_path, Done done) {
  const bool is_engine = upstream.role != UpstreamRole::kPlain;
  if (!is_engine && health_path.empty()) return false;
  const Incarnation incarnation{upstream.id, upstream.started_ms};
  Probe& probe = pending_[incarnation];
  probe.waiting.push_back(std::move(done));
  if (probe.waiting.size() > 1) return true;
  UpstreamRequest request =
      is_engine ? codec_.encode_status_request(upstream)
                : codec_.encode_health_check(upstream, health_path);
  // A pooled connection may be broken like the one that raised the question.
  request.max_idle = kNoReuse;
  request.connect_timeout = kConnectTimeout;
  probe.timeout =
      loop_.After(kTimeout, [this, incarnation] { OnTimeout(incarnation); });
  probe.call = pool_.Start(std::move(request), MakeHandlers(upstream));
  return true;
}

UpstreamHandlers UpstreamProbe::MakeHandlers(const UpstreamRecord& upstream) {
  const Incarnation incarnation{upstream.id, upstream.started_ms};
  const auto result = std::make_shared<ProbeResult>(ProbeResult::kAnswers);
  UpstreamHandlers handlers;
  handlers.on_connected = [this, incarnation] {
    const auto probe = pending_.find(incarnation);
    if (probe != pending_.end()) probe->second.connected = true;
  };
  handlers.on_head = [this, upstream, result](const ResponseHead& head) {
    if (head.status == kMisdirected) *result = ProbeResult::kGone;
    if (on_answer) on_answer(upstream, head);
  };
  handlers.on_end = [this, incarnation, result] {
    OnResult(incarnation, *result);
  };
  handlers.on_fail = [this, incarnation](const Outcome& outcome) {
    OnFailure(incarnation, outcome);
  };
  return handlers;
}

void UpstreamProbe::OnFailure(const Incarnation& incarnation,
                              const Outcome& outcome) {
  if (outcome.connection_refused) {
    OnResult(incarnation, ProbeResult::kGone);
    return;
  }
  const auto probe = pending_.find(incarnation);
  if (probe == pending_.end()) return;
  OnResult(incarnation, probe->second.connected ? ProbeResult::kAnswers
                                                : ProbeResult::kUnreachable);
}

void UpstreamProbe::OnTimeout(const Incarnation& incarnation) {
  const Probe& probe = pending_.at(incarnation);
  probe.call->Cancel();
  OnResult(incarnation, probe.connected ? ProbeResult::kUnresponsive
                                        : ProbeResult::kUnreachable);
}

void UpstreamProbe::OnResult(const Incarnation& incarnation,
                             ProbeResult result) {
  const auto node = pending_.extract(incarnation);
  if (node.empty()) return;
  for (const Done& done : node.mapped().waiting) done(result);
}

}  // namespace corianderlink
