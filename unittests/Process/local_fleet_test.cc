// Starts real processes on loopback for tests.
#include "Process/local_fleet.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "common/token_text.h"
#include "corianderlink/Http/event_loop.h"
#include "corianderlink/Serving/sse_parser.h"
#include "corianderlink/Wire/peer_bus.h"

namespace corianderlink {
namespace {

constexpr char kToken[] = "local-admin-token";
const char* const kZones[] = {"zone-a", "zone-b", "zone-c"};

std::string BinaryPath(const std::string& name) {
  const auto self = std::filesystem::read_symlink("/proc/self/exe");
  return (self.parent_path().parent_path() / name).string();
}

}  // namespace

HttpResponse SendRequest(const std::string& address, const std::string& method,
                         const std::string& target, const std::string& body,
                         const HttpHeaders& headers, size_t stop_after) {
  EventLoop loop;
  HttpClient client(loop);
  HttpRequest request;
  request.address = Address::Parse(address).value();
  request.method = method;
  request.target = target;
  request.body = body;
  request.headers = headers;
  HttpResponse result;
  std::string streamed;
  const auto stop = [&loop] {
    loop.Post([&loop] { loop.Post([&loop] { loop.Stop(); }); });
  };
  std::shared_ptr<HttpCall> call;
  call = client.Start(
      request,
      [&](const HttpResponse& response) {
        result = response;
        stop();
      },
      [&](int status, std::string chunk) {
        streamed += chunk;
        if (stop_after == 0 || streamed.size() < stop_after) return;
        result.status = status;
        result.outcome = Outcome::MayHaveRun("cancelled by the test");
        call->Cancel();
        stop();
      });
  loop.Run();
  if (!streamed.empty()) result.body = streamed;
  return result;
}

bool WaitFor(Duration limit, const std::function<bool()>& condition) {
  const Time end = BootClock::now() + limit;
  while (!condition()) {
    if (BootClock::now() >= end) return false;
    poll(nullptr, 0, 20);
  }
  return true;
}

LocalFleet::LocalFleet(int base_port, int instances, int engines, int services)
    : base_port_(base_port),
      instances_(instances),
      engines_(engines),
      services_(services) {
  std::string name =
      (std::filesystem::temp_directory_path() / "corianderlink-XXXXXX")
          .string();
  directory_ = mkdtemp(name.data());
}

LocalFleet::~LocalFleet() {
  for (const auto& [name, pid] : processes_) kill(pid, SIGKILL);
  for (const auto& [name, pid] : processes_) waitpid(pid, nullptr, 0);
  std::filesystem::remove_all(directory_);
}

std::string LocalFleet::AddressAt(int offset) const {
  return "127.0.0.1:" + std::to_string(base_port_ + offset);
}

std::string LocalFleet::InstanceAddress(int i, int offset) const {
  const auto it = port_offsets_.find(i);
  return AddressAt(offset + i + (it == port_offsets_.end() ? 0 : it->second));
}

std::string LocalFleet::WriteFile(const std::string& name,
                                  const std::string& text) const {
  const std::string path = directory_ + "/" + name;
  std::ofstream(path) << text;
  return path;
}

Json LocalFleet::InstanceRow(int i) const {
  return {{"id", "i" + std::to_string(i)},
          {"zone", kZones[i % 3]},
          {"entry", entry(i)},
          {"entry_peer", InstanceAddress(i, 310)},
          {"fleet_peer", InstanceAddress(i, 330)}};
}

std::string LocalFleet::WriteSettings(int i) const {
  const Json row = InstanceRow(i);
  const Json settings = {
      {"deployment", "test"},
      {"instance", row["id"]},
      {"zone", row["zone"]},
      {"platform", {{"address", platform()}, {"timeout_ms", 500}}},
      {"peer_key_file", "peer.key"},
      {"admin_token_file", "admin.token"},
      {"log_level", "info"},
      {"timing",
       {{"lease_ms", 1200},
        {"lease_guard_ms", 600},
        {"heartbeat_ms", 100},
        {"peer_timeout_ms", 800},
        {"store_poll_ms", 300},
        {"instance_poll_ms", 300},
        {"engine_poll_ms", 100},
        {"engine_report_lag_ms", 300},
        {"freshness_ms", 2000},
        {"directory_keep_ms", 1000}}},
      {"entry",
       {{"listen", entry(i)},
        {"peer", row["entry_peer"]},
        {"admin", entry_admin(i)}}},
      {"fleet", {{"peer", row["fleet_peer"]}, {"admin", fleet_admin(i)}}}};
  return WriteFile("i" + std::to_string(i) + ".json", settings.dump(1));
}

void LocalFleet::Spawn(const std::string& name,
                       const std::vector<std::string>& args) {
  const std::string binary = BinaryPath(args[0]);
  std::vector<char*> argv;
  for (const std::string& arg : args) {
    argv.push_back(const_cast<char*>(arg.c_str()));
  }
  argv.push_back(nullptr);
  const std::string log = directory_ + "/" + name + ".log";
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_addopen(&files, 1, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&files, 1, 2);
  pid_t pid = 0;
  posix_spawn(&pid, binary.c_str(), &files, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&files);
  processes_[name] = pid;
}

void LocalFleet::StartEntry(int i) {
  Spawn("entry-" + std::to_string(i),
        {"corianderlink-entry", "--settings", WriteSettings(i)});
}

void LocalFleet::StartInstance(int i) {
  Spawn("fleet-" + std::to_string(i),
        {"corianderlink-fleet", "--settings", WriteSettings(i)});
  StartEntry(i);
}

void LocalFleet::StartService(int i) {
  Spawn("service-" + std::to_string(i),
        {"standin-service", "--listen", service(i)});
}

void LocalFleet::PublishInstances(const std::vector<int>& instances) {
  Json rows = Json::array();
  for (const int i : instances) rows.push_back(InstanceRow(i));
  SendRequest(platform(), "POST", "/instances/set",
              Json{{"instances", rows}}.dump());
}

bool LocalFleet::Start() {
  WriteFile("peer.key", EncodePeerKeys(GeneratePeerKeys().value()));
  WriteFile("admin.token", kToken);
  Json rows = Json::array();
  for (int i = 0; i < instances_; ++i) rows.push_back(InstanceRow(i));
  Spawn("platform",
        {"standin-platform", "--listen", platform(), "--instances",
         WriteFile("instances.json", Json{{"instances", rows}}.dump())});
  for (int i = 0; i < engines_; ++i) {
    Spawn("engine-" + std::to_string(i),
          {"standin-engine", "--listen", engine(i),
           engines_check_fencing_ ? "--check-fencing" : "--no-check-fencing",
           "--load-ms", "100", "--role-ms", "100"});
  }
  for (int i = 0; i < services_; ++i) StartService(i);
  for (int i = 0; i < instances_; ++i) StartInstance(i);
  return WaitFor(seconds(20), [this] {
    for (int i = 0; i < instances_; ++i) {
      const Json dump = AdminGet(fleet_admin(i), "/v1/dump");
      const auto peers = static_cast<size_t>(2 * instances_ - 1);
      if (!dump.is_object() || dump["peers"].size() != peers) return false;
    }
    return true;
  });
}

Json LocalFleet::AdminGet(const std::string& address,
                          const std::string& target) const {
  const HttpResponse response =
      SendRequest(address, "GET", target, "",
                  {{"Authorization", std::string("Bearer ") + kToken}});
  if (!response.ok()) return nullptr;
  return Json::parse(response.body, nullptr, false);
}

HttpResponse LocalFleet::AddNote(int i, const Json& note) {
  return SendRequest(fleet_admin(i), "POST", "/v1/notes", note.dump(),
                     {{"Authorization", std::string("Bearer ") + kToken}});
}

Json LocalFleet::EngineItem(int i, const std::string& role) const {
  return {{"address", engine(i)},
          {"zone", kZones[i % 3]},
          {"role", role},
          {"checks_fencing", engines_check_fencing_},
          {"models", {"model"}}};
}

bool LocalFleet::ApplyInitialNote(bool engines_check_fencing) {
  engines_check_fencing_ = engines_check_fencing;
  Json engines = Json::object();
  for (int i = 0; i < engines_; ++i) {
    engines["e" + std::to_string(i)] = EngineItem(i);
  }
  Json workers = Json::array();
  for (int i = 0; i < services_; ++i) workers.push_back(service(i));
  const Json note = {{"id", "first"},
                     {"base_revision", 0},
                     {"added",
                      {{"models", {{"model", {{"weights", "model@1"}}}}},
                       {"engines", engines},
                       {"services",
                        {{"booking",
                          {{"workers", workers},
                           {"calls",
                            {{{"method", "POST"}, {"path", "/book"}},
                             {{"method", "GET"},
                              {"path", "/stock"},
                              {"idempotent", true}}}}}}}}}}};
  if (!WaitFor(seconds(5), [&] { return AddNote(0, note).ok(); })) return false;
  return WaitFor(seconds(30), [this] {
    for (int i = 0; i < instances_; ++i) {
      const HttpResponse response =
          SendRequest(entry(i), "POST", "/v1/chat/completions",
                      ChatBody("warm-up", 1, false));
      if (!response.ok()) return false;
    }
    for (int i = 0; i < engines_; ++i) {
      const HttpResponse state = SendRequest(engine(i), "GET", "/v1/state");
      const Json json = Json::parse(state.body, nullptr, false);
      if (!json.is_object() || json["models"].empty()) return false;
    }
    return true;
  });
}

void LocalFleet::Signal(const std::string& name, int signal_number) {
  kill(processes_.at(name), signal_number);
}

void LocalFleet::Kill(const std::string& name) {
  kill(processes_.at(name), SIGKILL);
  waitpid(processes_.at(name), nullptr, 0);
  processes_.erase(name);
}

std::optional<int> LocalFleet::WaitForExit(const std::string& name,
                                           Duration limit) {
  int status = 0;
  const pid_t pid = processes_.at(name);
  const bool ended =
      WaitFor(limit, [&] { return waitpid(pid, &status, WNOHANG) == pid; });
  if (!ended) return std::nullopt;
  processes_.erase(name);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

size_t LocalFleet::CountServiceEffects() const {
  size_t effects = 0;
  for (int i = 0; i < services_; ++i) {
    const HttpResponse ledger = SendRequest(service(i), "GET", "/ledger");
    effects += Json::parse(ledger.body)["ledger"].size();
  }
  return effects;
}

std::string LocalFleet::ChatBody(const std::string& content, int max_tokens,
                                 bool stream) {
  return Json{{"model", "model"},
              {"stream", stream},
              {"max_tokens", max_tokens},
              {"messages", {{{"role", "user"}, {"content", content}}}}}
      .dump();
}

std::string LocalFleet::ExpectedText(const std::string& content, int tokens) {
  return TokenText("user:" + content + "\n")
      .First(static_cast<uint64_t>(tokens));
}

StreamedResponse ParseStreamedResponse(const std::string& body) {
  StreamedResponse parsed;
  SseParser parser;
  parser.Feed(body);
  while (const auto event = parser.Next()) {
    if (event->data == "[DONE]") parsed.done = true;
    const Json json = Json::parse(event->data, nullptr, false);
    if (!json.is_object() || !json.contains("choices")) continue;
    parsed.last_event_id = event->id;
    parsed.text += json["choices"][0]["delta"].value("content", "");
  }
  return parsed;
}

}  // namespace corianderlink
