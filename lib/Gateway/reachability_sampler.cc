// Takes samples of connections to find out whether upstreams can be reached.
#include "corianderlink/Gateway/reachability_sampler.h"

#include <algorithm>
#include <utility>

namespace corianderlink {
namespace {

constexpr Duration kConnectTimeout = milliseconds(250);

}  // namespace

ReachabilitySampler::~ReachabilitySampler() {
  for (const auto& [service, sample] : samples_) {
    for (const auto& call : sample.calls) call->Cancel();
  }
}

void ReachabilitySampler::Start(const ServiceId& service,
                                std::vector<const UpstreamRecord*> upstreams,
                                size_t most, const std::string& health_path,
                                Done done) {
  for (size_t i = 0; i + 1 < upstreams.size(); ++i) {
    std::swap(upstreams[i],
              upstreams[i + random_.Bits() % (upstreams.size() - i)]);
  }
  upstreams.resize(std::min(upstreams.size(), most));
  Sample& sample = samples_[service];
  sample.done = std::move(done);
  sample.awaited = upstreams.size();
  for (const UpstreamRecord* upstream : upstreams) {
    Connect(service, *upstream, health_path);
  }
}

void ReachabilitySampler::Connect(const ServiceId& service,
                                  const UpstreamRecord& upstream,
                                  const std::string& health_path) {
  const bool is_engine = upstream.role != UpstreamRole::kPlain;
  UpstreamRequest request =
      is_engine ? codec_.encode_status_request(upstream)
                : codec_.encode_health_check(upstream, health_path);
  // Pooled connections may live on while new ones fail.
  request.max_idle = kNoReuse;
  request.connect_timeout = kConnectTimeout;
  // Both handlers may be called; the first one counts.
  const auto decided = std::make_shared<bool>(false);
  const auto decide = [this, service, decided,
                       address = upstream.address](bool established) {
    if (std::exchange(*decided, true)) return;
    loop_.Post([self = std::weak_ptr(self_), service, address, established] {
      if (const auto sampler = self.lock()) {
        (*sampler)->OnResult(service, address, established);
      }
    });
  };
  UpstreamHandlers handlers;
  handlers.on_connected = [decide] { decide(true); };
  handlers.on_head = [self = std::weak_ptr(self_),
                      upstream](const ResponseHead& head) {
    const auto sampler = self.lock();
    if (sampler && (*sampler)->on_answer) (*sampler)->on_answer(upstream, head);
  };
  handlers.on_fail = [decide](const Outcome&) { decide(false); };
  samples_[service].calls.push_back(
      pool_.Start(std::move(request), std::move(handlers)));
}

void ReachabilitySampler::OnResult(const ServiceId& service,
                                   const Address& upstream, bool established) {
  const auto it = samples_.find(service);
  if (it == samples_.end()) return;
  Sample& sample = it->second;
  (established ? sample.result.established : sample.result.failed)
      .push_back(upstream);
  if (--sample.awaited > 0) return;
  for (const auto& call : sample.calls) call->Cancel();
  const Sample ended = std::move(sample);
  samples_.erase(it);
  ended.done(ended.result);
}

}  // namespace corianderlink
