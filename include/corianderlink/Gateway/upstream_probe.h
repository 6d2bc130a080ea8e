// Checks whether an upstream responds.
#ifndef CORIANDERLINK_GATEWAY_UPSTREAM_PROBE_H_
#define CORIANDERLINK_GATEWAY_UPSTREAM_PROBE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "corianderlink/Gateway/order_codec.h"
#include "corianderlink/Gateway/upstream_record.h"
#include "corianderlink/Http1/upstream_pool.h"

namespace corianderlink {

/// What a new connection to an upstream has shown.
enum class ProbeResult {
  kAnswers,       ///< Its process works: it answered, or closed the connection.
  kUnresponsive,  ///< Its host accepts connections, its process does nothing.
  kUnreachable,   ///< No connection: it has ended, or the link is cut.
  kGone,          ///< Its host refuses, or another upstream has the address.
};

/// Returns the name of the result, for logs.
const char* ToString(ProbeResult result);

/// Asks upstreams for their status on new connections.  Requests that ask for
/// the same upstream at a time share one probe.  What a connection shows that
/// was there before a request asked may be older than its question: all that
/// ask while one is there share a further probe, which begins when it ends.
class UpstreamProbe {
 public:
  using Done = std::function<void(ProbeResult)>;

  UpstreamProbe(EventLoop& loop, UpstreamPool& pool, const OrderCodec& codec)
      : loop_(loop), pool_(pool), codec_(codec) {}

  /// Calls `done` later.  Upstreams other than engines are asked at
  /// `health_path`; without one, returns false and asks nothing.
  bool Start(const UpstreamRecord& upstream, const std::string& health_path,
             Done done);

  /// Receives the head of each answer: the upstream may say that it leaves.
  std::function<void(const UpstreamRecord&, const ResponseHead&)> on_answer;

 private:
  using Incarnation = std::pair<UpstreamId, int64_t>;

  struct Probe {
    UpstreamRecord upstream;
    std::string health_path;
    std::shared_ptr<UpstreamCall> call;
    EventHandle timeout;
    bool connected = false;
    std::vector<Done> waiting;
    /// Those that asked since it began, with no connection known.  The kernel
    /// may have had one, so its end says nothing to them.
    std::vector<Done> joined;
    /// Those that asked when the connection was there.
    std::vector<Done> later;
  };
  using ProbePtr = std::shared_ptr<Probe>;

  void Begin(const UpstreamRecord& upstream, const std::string& health_path,
             std::vector<Done> waiting);
  UpstreamHandlers MakeHandlers(const ProbePtr& probe);
  void OnFailure(const ProbePtr& probe, const Outcome& outcome);
  void OnTimeout(const ProbePtr& probe);
  void OnResult(const ProbePtr& probe, ProbeResult result);

  EventLoop& loop_;
  UpstreamPool& pool_;
  const OrderCodec& codec_;
  std::map<Incarnation, ProbePtr> pending_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_UPSTREAM_PROBE_H_
