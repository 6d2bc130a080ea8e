// A request to an upstream and the handlers of its response.
#ifndef CORIANDERLINK_HTTP1_UPSTREAM_CALL_H_
#define CORIANDERLINK_HTTP1_UPSTREAM_CALL_H_

#include <functional>
#include <optional>
#include <string>

#include "corianderlink/Http1/message_head.h"
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
  /// Returns whether a response belongs to this request; the connection
  /// discards any other response.  If empty, the next response is accepted.
  std::function<bool(const ResponseHead&)> matches_request;
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
