// A request to an upstream and the handlers of its response.
#ifndef CORIANDERLINK_HTTP1_UPSTREAM_CALL_H_
#define CORIANDERLINK_HTTP1_UPSTREAM_CALL_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "corianderlink/Http/message_head.h"
#include "corianderlink/Support/address.h"
#include "corianderlink/Support/time.h"
#include "corianderlink/Support/verdict.h"

namespace corianderlink {

/// As UpstreamRequest::max_idle: no pooled connection is young enough.
constexpr Duration kNoReuse = milliseconds(-1);

/// A request to an upstream.  `fields` contains neither hop-by-hop fields nor
/// Content-Length; the connection adds the latter.
struct UpstreamRequest {
  Address address;
  std::string method = "GET";
  std::string target = "/";
  HeaderFields fields;
  std::string body;
  /// A pooled connection that was idle for longer is not used.
  Duration max_idle = seconds(60);
  /// Number of connections to the upstream, busy and idle, from which on a new
  /// connection replaces the oldest idle one.  Busy ones are not limited.
  size_t max_connections = 100;
  /// Time limit for establishing a new connection.
  Duration connect_timeout = milliseconds(300);
  /// Id of the request, which its response names; empty if it names none.  Such
  /// a request, and one whose id a pooled connection has carried, gets another
  /// connection: a copy of an earlier response could be taken for its own.
  std::string id;
  /// Returns the id of the request that a response names; empty if none.  The
  /// connection discards the responses to other requests.  Not needed without
  /// an id.
  std::function<std::string(const ResponseHead&)> named_request;
};

/// The connection that carries a request, for the log.
struct UpstreamConnectionInfo {
  /// Number of the connection in its pool, from 1.
  uint64_t number = 0;
  /// Requests that it carried before this one.
  uint64_t earlier_requests = 0;
};

/// Callbacks for the response.  The last one is either on_end or on_fail.
struct UpstreamHandlers {
  /// A new connection for the request was established.
  std::function<void()> on_connected;
  std::function<void(const ResponseHead&)> on_head;
  std::function<void(std::string data)> on_body;
  std::function<void()> on_end;
  /// The outcome says whether the upstream may have executed the request.
  std::function<void(const Outcome&)> on_fail;
};

/// A request in progress.
class UpstreamCall {
 public:
  virtual ~UpstreamCall() = default;
  virtual UpstreamConnectionInfo connection() const = 0;
  /// Closes the connection.  No handler is called afterwards.
  virtual void Cancel() = 0;
  /// Makes the upstream's host acknowledge the connection once a second while
  /// the upstream sends nothing.
  virtual void ProbeHost() = 0;
  /// Time since the upstream's host last acknowledged something; nothing if it
  /// is unknown.
  virtual std::optional<Duration> SinceAcknowledgement() const = 0;
  virtual void PauseReading() = 0;
  virtual void ResumeReading() = 0;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_HTTP1_UPSTREAM_CALL_H_
