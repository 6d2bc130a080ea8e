// Client side of one HTTP/1.1 connection to an upstream.
#ifndef CORIANDERLINK_LIB_HTTP1_UPSTREAM_CONNECTION_H_
#define CORIANDERLINK_LIB_HTTP1_UPSTREAM_CONNECTION_H_

#include <memory>
#include <string>

#include "corianderlink/Http/byte_stream.h"
#include "corianderlink/Http/event_loop.h"
#include "corianderlink/Http/message_parser.h"
#include "corianderlink/Http1/carried_requests.h"
#include "corianderlink/Http1/upstream_call.h"

namespace corianderlink {

class UpstreamPool;

/// A connection that carries one request at a time.
class UpstreamConnection
    : public ByteStreamListener,
      public std::enable_shared_from_this<UpstreamConnection> {
 public:
  /// `number` tells the connection from the others of the pool.
  UpstreamConnection(UpstreamPool& pool, EventLoop& loop, Address address,
                     uint64_t number);
  ~UpstreamConnection() override;

  /// Sends a request and returns its handle.  No other request may be in
  /// progress.
  std::shared_ptr<UpstreamCall> Send(UpstreamRequest request,
                                     UpstreamHandlers handlers);

  UpstreamConnectionInfo info() const {
    return {number_, carried_.count() - 1};
  }
  /// True if the request that followed so many others is in progress.
  bool IsInProgress(uint64_t earlier_requests) const {
    return busy_ && !closed_ && carried_.count() == earlier_requests + 1;
  }
  /// These concern the request in progress, as described in UpstreamCall.
  void Cancel();
  void ProbeHost();
  std::optional<Duration> SinceAcknowledgement() const;
  void PauseReading();
  void ResumeReading();

  const Address& address() const { return address_; }
  /// False if the response to a request with this id, or to one without, could
  /// be confused with that to an earlier request.
  bool CanCarry(const std::string& id) const { return carried_.CanCarry(id); }
  /// Time at which the connection last became idle.
  Time idle_since() const { return idle_since_; }
  /// False if the upstream's announced keep-alive timeout has expired, or is
  /// about to expire, at `now`.
  bool usable(Time now) const { return now < usable_until_; }
  void Close();

 private:
  void OnConnected() override;
  void OnReadable() override;
  void OnPeerClosed() override;
  void OnError(const std::string& reason) override;

  void OnConnectTimeout();
  void Fail(const std::string& reason, bool refused = false);
  void DeliverHead();
  /// Id of the request that the response names; empty if it names none.
  std::string NamedRequest(const ResponseHead& head) const;
  void LogDiscarded(const ResponseHead& head);
  void DeliverBody();
  void FinishResponse();
  void StartParser();
  void CompleteCall();
  void ApplyKeepAliveTimeout(const ResponseHead& head);

  UpstreamPool* pool_;
  EventLoop& loop_;
  const Address address_;
  const uint64_t number_;
  // Requests sent, with the present one.
  CarriedRequests carried_;
  std::unique_ptr<ByteStream> stream_;
  std::unique_ptr<ResponseParser> parser_;
  AnsweredMethod method_ = AnsweredMethod::kAny;
  // Id of the request in progress, and how its response names it.
  std::string id_;
  std::function<std::string(const ResponseHead&)> named_request_;
  // Discarded responses of the request in progress.
  int discarded_ = 0;
  UpstreamHandlers handlers_;
  EventHandle connect_timer_;
  // Keeps this object alive until the connection is closed.
  std::shared_ptr<UpstreamConnection> keep_alive_self_;
  Time idle_since_{};
  Time usable_until_ = Time::max();
  bool connected_ = false;
  bool busy_ = false;
  bool closed_ = false;
  // A discarded response has said that the connection ends.
  bool ends_after_call_ = false;
  bool head_delivered_ = false;
  // The current response is interim or belongs to another request.
  bool discarding_response_ = false;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_LIB_HTTP1_UPSTREAM_CONNECTION_H_
