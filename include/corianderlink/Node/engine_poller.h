// Polls engines for their reports at a fixed interval.
#ifndef CORIANDERLINK_NODE_ENGINE_POLLER_H_
#define CORIANDERLINK_NODE_ENGINE_POLLER_H_

#include <functional>
#include <map>
#include <string>

#include "corianderlink/Http/event_loop.h"
#include "corianderlink/Http/http_client.h"
#include "corianderlink/Support/address.h"
#include "corianderlink/Support/time.h"

namespace corianderlink {

/// Polls each engine at every interval, unless the previous request to that
/// engine is still outstanding.
class EnginePoller {
 public:
  /// Called for each successful response.  `sent_at` is the time at which
  /// the request was sent.
  using Callback = std::function<void(const Address& engine, Time sent_at,
                                      const std::string& body)>;

  EnginePoller(EventLoop& loop, HttpClient& client, Duration interval,
               Callback callback);

  /// Replaces the set of polled engines.  `targets` maps each engine to its
  /// request target, such as "/v1/state".
  void SetTargets(std::map<Address, std::string> targets);
  /// Changes the request target of `engine`.  Unknown engines are ignored.
  void SetTarget(const Address& engine, const std::string& target);

 private:
  void PollAll();
  void Poll(const Address& engine, const std::string& target);

  HttpClient& client_;
  const Duration interval_;
  const Callback callback_;
  std::map<Address, std::string> targets_;
  std::map<Address, bool> outstanding_;
  EventHandle timer_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_NODE_ENGINE_POLLER_H_
