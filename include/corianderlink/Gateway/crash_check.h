// Tells a crashed upstream from a broken connection.
#ifndef CORIANDERLINK_GATEWAY_CRASH_CHECK_H_
#define CORIANDERLINK_GATEWAY_CRASH_CHECK_H_

#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "corianderlink/Gateway/order_codec.h"
#include "corianderlink/Gateway/upstream_record.h"
#include "corianderlink/Http1/upstream_pool.h"

namespace corianderlink {

/// After a connection to an upstream broke, asks for its status on a new one.
/// If its host refuses the connection, or another upstream answers, the
/// upstream has crashed.  Requests that broke together share one check.  An
/// upstream that cannot be reached otherwise, or does not answer in time,
/// counts as running: the link may be cut.
class CrashCheck {
 public:
  CrashCheck(EventLoop& loop, UpstreamPool& pool, const OrderCodec& codec)
      : loop_(loop), pool_(pool), codec_(codec) {}

  /// Calls `on_crashed` later, if the upstream has crashed.  Upstreams other
  /// than engines are asked at `health_path`; without one, nothing is known.
  void Start(const UpstreamRecord& upstream, const std::string& health_path,
             std::function<void()> on_crashed);

 private:
  using Incarnation = std::pair<UpstreamId, int64_t>;

  struct Check {
    std::shared_ptr<UpstreamCall> call;
    EventHandle timeout;
    std::vector<std::function<void()>> on_crashed;
  };

  void OnTimeout(const Incarnation& incarnation);
  void OnResult(const Incarnation& incarnation, bool crashed);

  EventLoop& loop_;
  UpstreamPool& pool_;
  const OrderCodec& codec_;
  std::map<Incarnation, Check> pending_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_CRASH_CHECK_H_
