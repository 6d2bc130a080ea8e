// Polls engines for their reports at a fixed interval.
#include "corianderlink/Node/engine_poller.h"

#include <algorithm>
#include <utility>

namespace corianderlink {
namespace {

// Timeout of a poll, in poll intervals.
constexpr int kTimeoutIntervals = 5;

}  // namespace

EnginePoller::EnginePoller(EventLoop& loop, HttpClient& client,
                           Duration interval, Callback callback)
    : client_(client), interval_(interval), callback_(std::move(callback)) {
  timer_ = loop.Every(interval_, [this] { PollAll(); });
}

void EnginePoller::SetTargets(std::map<Address, std::string> targets) {
  targets_ = std::move(targets);
}

void EnginePoller::SetTarget(const Address& engine, const std::string& target) {
  const auto it = targets_.find(engine);
  if (it != targets_.end()) it->second = target;
}

void EnginePoller::PollAll() {
  for (const auto& [engine, target] : targets_) Poll(engine, target);
}

void EnginePoller::Poll(const Address& engine, const std::string& target) {
  bool& outstanding = outstanding_[engine];
  if (outstanding) return;
  outstanding = true;
  HttpRequest request;
  request.address = engine;
  request.target = target;
  request.timeout = interval_ * kTimeoutIntervals;
  const Time sent_at = BootClock::now();
  client_.Start(request, [this, engine, sent_at](const HttpResponse& response) {
    outstanding_[engine] = false;
    if (response.ok()) callback_(engine, sent_at, response.body);
  });
}

}  // namespace corianderlink
