// Real processes on loopback for tests: stand-ins and instances.
#ifndef CORIANDERLINK_UNITTESTS_PROCESS_LOCAL_FLEET_H_
#define CORIANDERLINK_UNITTESTS_PROCESS_LOCAL_FLEET_H_

#include <sys/types.h>

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "corianderlink/Http/http_client.h"

namespace corianderlink {

using Json = nlohmann::json;

/// One blocking HTTP call.  With `stop_after` the call is broken off by the
/// caller once that many bytes of a streamed answer came.
HttpResponse Call(const std::string& address, const std::string& method,
                  const std::string& target, const std::string& body = "",
                  const HttpHeaders& headers = {}, size_t stop_after = 0);

/// Waits until `condition` holds; false after `limit`.
bool WaitFor(Duration limit, const std::function<bool()>& condition);

class LocalFleet {
 public:
  /// Ports are taken from `base_port` on.
  LocalFleet(int base_port, int instances, int engines, int services);
  ~LocalFleet();

  /// Starts everything and waits until all processes hear each other.
  bool Start();
  void StartInstance(int i);
  void StartEntry(int i);
  void StartService(int i);
  /// Moves instance `i` to other ports, as a replacement would.
  void MoveInstance(int i) { moved_[i] += 50; }
  /// Sends the platform's list as it is now.
  void PublishList(const std::vector<int>& instances);
  /// Applies a note through instance `i`; the HTTP status.
  HttpResponse Apply(int i, const Json& note);
  /// Declares one model on all engines and one service, and waits until every
  /// instance serves.
  bool ApplyFirstNote(bool engines_check_fencing = true);

  void Signal(const std::string& name, int signal_number);
  void Kill(const std::string& name);
  /// Waits for the end of a process; its exit status, or nothing.
  std::optional<int> WaitExit(const std::string& name, Duration limit);

  std::string At(int offset) const;
  std::string platform() const { return At(0); }
  std::string engine(int i) const { return At(100 + i); }
  std::string service(int i) const { return At(200 + i); }
  std::string entry(int i) const { return Moved(i, 300); }
  std::string entry_admin(int i) const { return Moved(i, 320); }
  std::string fleet_admin(int i) const { return Moved(i, 340); }
  Json EngineItem(int i, const std::string& role = "mixed") const;
  Json AdminGet(const std::string& address, const std::string& target) const;
  size_t Effects() const;
  int instances() const { return instances_; }

  /// A chat-completions body.
  static std::string Chat(const std::string& content, int max_tokens,
                          bool stream);
  /// The text that the stand-in engine answers to `content`.
  static std::string ExpectedText(const std::string& content, int tokens);

 private:
  std::string Moved(int i, int offset) const;
  Json InstanceRow(int i) const;
  std::string WriteFile(const std::string& name, const std::string& text) const;
  std::string WriteSettings(int i) const;
  void Spawn(const std::string& name, const std::vector<std::string>& args);

  const int base_port_;
  const int instances_;
  const int engines_;
  const int services_;
  bool engines_check_fencing_ = true;
  std::string directory_;
  std::map<int, int> moved_;
  std::map<std::string, pid_t> processes_;
};

/// Text and markers of a streamed answer.
struct StreamedAnswer {
  std::string text;
  std::string last_marker;
  bool done = false;
};
StreamedAnswer ParseStream(const std::string& body);

}  // namespace corianderlink

#endif  // CORIANDERLINK_UNITTESTS_PROCESS_LOCAL_FLEET_H_
