// Starts real processes on loopback for tests: the entry and fleet processes of
// each instance, and stand-ins for the platform, the engines and the service
// workers.
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

/// Sends an HTTP request and waits for its response.  If `stop_after` isn't 0,
/// cancels the request once that many bytes of a streamed response arrived.
HttpResponse SendRequest(const std::string& address, const std::string& method,
                         const std::string& target,
                         const std::string& body = "",
                         const HttpHeaders& headers = {},
                         size_t stop_after = 0);

/// Polls `condition` until it holds; returns false if it does not within
/// `limit`.
bool WaitFor(Duration limit, const std::function<bool()>& condition);

/// Runs the processes of one deployment and kills them on destruction.
class LocalFleet {
 public:
  /// Listens on ports from `base_port` on, which is below those of FreeAddress;
  /// the processes of each role have fixed offsets.
  LocalFleet(int base_port, int instances, int engines, int services);
  ~LocalFleet();

  /// Starts all processes; returns true once every fleet process reports all of
  /// its peers, false after 20 s.
  bool Start();
  /// Starts the fleet and the entry process of instance `i`.
  void StartInstance(int i);
  void StartEntry(int i);
  void StartService(int i);
  /// Assigns other ports to instance `i`, as for a replacement machine; takes
  /// effect at its next start.
  void MoveInstance(int i) { port_offsets_[i] += 50; }
  /// Replaces the platform's list of instances by `instances`.
  void PublishInstances(const std::vector<int>& instances);
  /// Submits a release note to instance `i`; returns the HTTP response.
  HttpResponse AddNote(int i, const Json& note);
  /// Submits a release note with one model on all engines and one service;
  /// returns true once every entry serves a chat request and every engine has
  /// the model.
  bool ApplyInitialNote(bool engines_check_fencing = true);

  void Signal(const std::string& name, int signal_number);
  /// Sends SIGKILL and waits for the end of the process.
  void Kill(const std::string& name);
  /// Waits up to `limit` for a process to end.  Returns its exit status, -1 if
  /// a signal ended it, or nothing on timeout.
  std::optional<int> WaitForExit(const std::string& name, Duration limit);

  /// Address of the port at `offset` from the base port.
  std::string AddressAt(int offset) const;
  std::string platform() const { return AddressAt(0); }
  std::string engine(int i) const { return AddressAt(100 + i); }
  std::string service(int i) const { return AddressAt(200 + i); }
  std::string entry(int i) const { return InstanceAddress(i, 300); }
  std::string entry_admin(int i) const { return InstanceAddress(i, 320); }
  std::string fleet_admin(int i) const { return InstanceAddress(i, 340); }
  /// The entry of engine `i` in a release note.
  Json EngineItem(int i, const std::string& role = "mixed") const;
  /// Sends a GET request with the admin token; null if it fails.
  Json AdminGet(const std::string& address, const std::string& target) const;
  /// Number of service calls that took effect, over all workers.
  size_t CountServiceEffects() const;
  int instances() const { return instances_; }

  /// Body of a chat-completions request.
  static std::string ChatBody(const std::string& content, int max_tokens,
                              bool stream);
  /// First `tokens` tokens of the stand-in engine's reply to `content`.
  static std::string ExpectedText(const std::string& content, int tokens);

 private:
  /// Address of a process of instance `i`, after any MoveInstance().
  std::string InstanceAddress(int i, int offset) const;
  /// Row of instance `i` in the platform's list.
  Json InstanceRow(int i) const;
  /// Writes a file to the test's directory and returns its path.
  std::string WriteFile(const std::string& name, const std::string& text) const;
  /// Writes the settings file of instance `i` and returns its path.
  std::string WriteSettings(int i) const;
  /// Starts args[0] from the build directory as process `name`; its output goes
  /// to NAME.log in the test's directory.
  void Spawn(const std::string& name, const std::vector<std::string>& args);

  const int base_port_;
  const int instances_;
  const int engines_;
  const int services_;
  bool engines_check_fencing_ = true;
  std::string directory_;
  /// Offset that MoveInstance() added to the ports of each instance.
  std::map<int, int> port_offsets_;
  std::map<std::string, pid_t> processes_;
};

/// Content of a streamed chat response.
struct StreamedResponse {
  std::string text;
  /// Id of the last chunk, with which a client resumes the stream.
  std::string last_event_id;
  /// True if the stream ended with [DONE].
  bool done = false;
};
/// Parses the server-sent events of a response, which may be truncated.
StreamedResponse ParseStreamedResponse(const std::string& body);

}  // namespace corianderlink

#endif  // CORIANDERLINK_UNITTESTS_PROCESS_LOCAL_FLEET_H_
