// Checks whether an upstream responds.
#include "corianderlink/Gateway/upstream_probe.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

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
  const auto it = pending_.find({upstream.id, upstream.started_ms});
  if (it == pending_.end()) {
    std::vector<Done> waiting;
    waiting.push_back(std::move(done));
    Begin(upstream, health_path, std::move(waiting));
    return true;
  }
  Probe& probe = *it->second;
  (probe.connected ? probe.later : probe.joined).push_back(std::move(done));
  return true;
}

void UpstreamProbe::Begin(const UpstreamRecord& upstream,
                          const std::string& health_path,
                          std::vector<Done> waiting) {
  const auto probe = std::make_shared<Probe>();
  probe->upstream = upstream;
  probe->health_path = health_path;
  probe->waiting = std::move(waiting);
  pending_[{upstream.id, upstream.started_ms}] = probe;
  UpstreamRequest request =
      upstream.role != UpstreamRole::kPlain
          ? codec_.encode_status_request(upstream)
          : codec_.encode_health_check(upstream, health_path);
  // A pooled connection may be broken like the one that raised the question.
  request.max_idle = kNoReuse;
  request.connect_timeout = kConnectTimeout;
  const std::weak_ptr<Probe> weak = probe;
  probe->timeout = loop_.After(kTimeout, [this, weak] {
    if (const ProbePtr pending = weak.lock()) OnTimeout(pending);
  });
  probe->call = pool_.Start(std::move(request), MakeHandlers(probe));
}

UpstreamHandlers UpstreamProbe::MakeHandlers(const ProbePtr& probe) {
  // The probe owns the call, which owns the handlers.
  const std::weak_ptr<Probe> weak = probe;
  const auto result = std::make_shared<ProbeResult>(ProbeResult::kAnswers);
  UpstreamHandlers handlers;
  handlers.on_connected = [weak] {
    if (const ProbePtr pending = weak.lock()) pending->connected = true;
  };
  handlers.on_head = [this, upstream = probe->upstream,
                      result](const ResponseHead& head) {
    if (head.status == kMisdirected) *result = ProbeResult::kGone;
    if (on_answer) on_answer(upstream, head);
  };
  handlers.on_end = [this, weak, result] {
    if (const ProbePtr pending = weak.lock()) OnResult(pending, *result);
  };
  handlers.on_fail = [this, weak](const Outcome& outcome) {
    if (const ProbePtr pending = weak.lock()) OnFailure(pending, outcome);
  };
  return handlers;
}

void UpstreamProbe::OnFailure(const ProbePtr& probe, const Outcome& outcome) {
  if (outcome.connection_refused) {
    OnResult(probe, ProbeResult::kGone);
    return;
  }
  std::move(probe->joined.begin(), probe->joined.end(),
            std::back_inserter(probe->later));
  probe->joined.clear();
  OnResult(probe, probe->connected ? ProbeResult::kAnswers
                                   : ProbeResult::kUnreachable);
}

void UpstreamProbe::OnTimeout(const ProbePtr& probe) {
  probe->call->Cancel();
  OnResult(probe, probe->connected ? ProbeResult::kUnresponsive
                                   : ProbeResult::kUnreachable);
}

void UpstreamProbe::OnResult(const ProbePtr& probe, ProbeResult result) {
  const auto it =
      pending_.find({probe->upstream.id, probe->upstream.started_ms});
  if (it == pending_.end() || it->second != probe) return;
  pending_.erase(it);
  // The callbacks may ask again, so this comes before they run.
  if (!probe->later.empty()) {
    Begin(probe->upstream, probe->health_path, std::move(probe->later));
  }
  for (const Done& done : probe->waiting) done(result);
  for (const Done& done : probe->joined) done(result);
}

}  // namespace corianderlink
