// One request sent to an upstream, and its response.
#ifndef CORIANDERLINK_HTTP1_UPSTREAM_CALL_H_
#define CORIANDERLINK_HTTP1_UPSTREAM_CALL_H_

#include <functional>
#include <string>

#include "corianderlink/Http1/message_head.h"
#include "corianderlink/Support/address.h"
#include "corianderlink/Support/time.h"
#include "corianderlink/Support/verdict.h"

namespace corianderlink {

/// A request to an upstream.  The fields hold neither hop-by-hop fields nor a
/// length; these are added.
struct UpstreamRequest {
  Address address;
  std::string method = "GET";
  std::string target = "/";
  HeaderFields fields;
  std::string body;
  /// A kept connection that was idle for longer is not used for this request.
  Duration max_idle = seconds(60);
  /// Connections to the upstream, busy and idle: a new one beyond them takes
  /// the place of an idle one.
  size_t max_connections = 100;
  /// Longest time for a new connection to be made.
  Duration connect_timeout = milliseconds(300);
  /// A response answers this request only if this holds; other responses on
  /// the connection are skipped.  Empty: the next response is the answer.
  std::function<bool(const ResponseHead&)> answers;
};

/// Receives the response.  Either on_end or on_fail is the last call.
struct UpstreamHandlers {
  std::function<void(const ResponseHead&)> on_head;
  std::function<void(std::string data)> on_body;
  std::function<void()> on_end;
  /// The verdict says whether the request may have run.
  std::function<void(const Outcome&)> on_fail;
};

/// A request in progress.
class UpstreamCall {
 public:
  virtual ~UpstreamCall() = default;
  /// Closes the connection.  No handler is called afterwards.
  virtual void Cancel() = 0;
  virtual void PauseReading() = 0;
  virtual void ResumeReading() = 0;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_HTTP1_UPSTREAM_CALL_H_
