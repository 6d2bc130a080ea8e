// Takes samples of connections to find out whether upstreams can be reached.
#ifndef CORIANDERLINK_GATEWAY_REACHABILITY_SAMPLER_H_
#define CORIANDERLINK_GATEWAY_REACHABILITY_SAMPLER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "corianderlink/Gateway/order_codec.h"
#include "corianderlink/Gateway/upstream_reachability.h"
#include "corianderlink/Gateway/upstream_record.h"
#include "corianderlink/Http/event_loop.h"
#include "corianderlink/Http1/upstream_pool.h"
#include "corianderlink/Support/random.h"

namespace corianderlink {

/// Opens new connections to some upstreams of a service and closes them again.
/// Only their establishment counts, so a busy upstream passes.
class ReachabilitySampler {
 public:
  using Done = std::function<void(const ConnectionSample&)>;

  ReachabilitySampler(EventLoop& loop, UpstreamPool& pool, RandomSource& random,
                      const OrderCodec& codec)
      : loop_(loop), pool_(pool), random_(random), codec_(codec) {}

  ~ReachabilitySampler();
  ReachabilitySampler(const ReachabilitySampler&) = delete;
  ReachabilitySampler& operator=(const ReachabilitySampler&) = delete;

  /// Takes a sample of `most` of the service's `upstreams`, which are not
  /// empty; `done` is called later, from the event loop.  One sample of a
  /// service at a time.
  void Start(const ServiceId& service,
             std::vector<const UpstreamRecord*> upstreams, size_t most,
             const std::string& health_path, Done done);

  /// Receives the head of each answer: the upstream may say that it leaves.
  std::function<void(const UpstreamRecord&, const ResponseHead&)> on_answer;

 private:
  struct Sample {
    ConnectionSample result;
    size_t awaited = 0;
    std::vector<std::shared_ptr<UpstreamCall>> calls;
    Done done;
  };

  void Connect(const ServiceId& service, const UpstreamRecord& upstream,
               const std::string& health_path);
  void OnResult(const ServiceId& service, const Address& upstream,
                bool established);

  EventLoop& loop_;
  UpstreamPool& pool_;
  RandomSource& random_;
  const OrderCodec& codec_;
  std::map<ServiceId, Sample> samples_;
  // Expires with this object, for callbacks that are still to come.
  std::shared_ptr<ReachabilitySampler*> self_ =
      std::make_shared<ReachabilitySampler*>(this);
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_REACHABILITY_SAMPLER_H_
