// Forwards one client request to another gateway, which serves it.
//
// Used for requests that this gateway cannot serve, as it reaches none or too
// few of the upstreams.  A forwarded request is never forwarded again.
#ifndef CORIANDERLINK_GATEWAY_FORWARD_TASK_H_
#define CORIANDERLINK_GATEWAY_FORWARD_TASK_H_

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "corianderlink/Gateway/answer_memory.h"
#include "corianderlink/Gateway/event_splitter.h"
#include "corianderlink/Gateway/gateway_config.h"
#include "corianderlink/Gateway/relay_codec.h"
#include "corianderlink/Http/inbound_exchange.h"
#include "corianderlink/Http1/upstream_pool.h"
#include "corianderlink/Support/metrics.h"
#include "corianderlink/Support/random.h"
#include "corianderlink/Support/verdict.h"

namespace corianderlink {

/// Dependencies shared by all forward tasks of a gateway.
struct ForwardContext {
  EventLoop& loop;
  UpstreamPool& pool;
  const RelayCodec& codec;
  Metrics& metrics;
  RandomSource& random;
  AnswerMemory& answer_memory;
  /// Chooses a peer that can serve the service, without the given ones.
  std::function<std::optional<Address>(Time, const ServiceId&,
                                       const std::set<Address>&)>
      choose_peer = {};
  /// A request to the peer has begun, or ended.
  std::function<void(const Address&)> on_begin = {};
  std::function<void(const Address&)> on_end = {};
};

/// A request to be forwarded, and what has become of it so far.
struct ForwardedRequest {
  std::shared_ptr<InboundExchange> exchange;
  RouteSpec route;
  ServiceId service;
  ClientRequest request;
  Time deadline{};
  /// An upstream may have run the request already.
  bool may_have_run = false;
  /// What the peer has to know of the attempts so far.
  ForwardingState state;
  /// Id of the last event that the client has, if its stream has started here.
  std::optional<uint64_t> last_event_id;
};

/// Passes on the response of the peer: that of an upstream, or the peer's own,
/// which is final.
class ForwardTask : public std::enable_shared_from_this<ForwardTask> {
 public:
  ForwardTask(ForwardContext& context, ForwardedRequest forwarded);

  /// The task keeps itself alive until the response has ended.
  void Start();

 private:
  bool is_event_stream() const;
  void SendToNextPeer();
  /// Tries all peers again later, if they have refused a stream that has begun;
  /// false if they must not be tried.
  bool WaitForPeers();
  UpstreamRequest BuildRequest(Time now) const;
  UpstreamHandlers BuildHandlers();
  void OnHead(const ResponseHead& head);
  void OnBody(std::string data);
  void OnEnd();
  void OnFailure(const Outcome& outcome);
  /// The peer may have sent the request to upstreams, and has charged that.
  void OnPeerReached();
  /// Counts what is kept of the response and what its client has yet to read.
  void UpdateHeldAnswer();
  void SendEvents();
  void SendBufferedResponse();
  void PauseReadingForSlowClient();
  /// Ends the request without a response of a peer.
  void Fail(const std::string& reason);
  void OnDeadline();
  void OnProcessEnding();
  /// Ends a request that its peer has not answered in time.
  void EndUnanswered(const std::string& reason);
  void OnClientDisconnected();
  void EndCall();
  void Finish(const char* result, int status, const std::string& reason);

  ForwardContext& context_;
  ForwardedRequest forwarded_;
  std::set<Address> tried_;
  std::optional<Address> peer_;
  std::shared_ptr<UpstreamCall> call_;
  std::optional<ResponseHead> response_;
  UpstreamResponseInfo response_info_;
  std::string buffered_;
  EventSplitter event_splitter_;
  HeldAnswer held_;
  bool finished_ = false;
  // Rounds of peers that have refused the stream.
  int refused_rounds_ = 0;
  EventHandle deadline_timer_;
  EventHandle retry_timer_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_FORWARD_TASK_H_
