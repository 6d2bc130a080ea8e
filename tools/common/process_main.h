// Start-up that the entry and the fleet process share.
#ifndef CORIANDERLINK_TOOLS_COMMON_PROCESS_MAIN_H_
#define CORIANDERLINK_TOOLS_COMMON_PROCESS_MAIN_H_

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "corianderlink/Node/node.h"
#include "corianderlink/Support/log.h"

namespace corianderlink {

constexpr char kVersion[] = "0.1.0";
/// Exit status for bad arguments and settings.
constexpr int kExitUsage = 2;

/// What a process starts with.
struct ProcessInputs {
  NodeSettings settings;
  std::optional<PeerKeys> keys;
  std::string admin_token;
};

inline std::string Trimmed(std::string text) {
  while (!text.empty() &&
         std::isspace(static_cast<unsigned char>(text.back()))) {
    text.pop_back();
  }
  return text;
}

/// Reads settings, keys and token.  Prints each error and returns nothing if
/// there is one.
inline std::optional<ProcessInputs> LoadInputs(const std::string& file) {
  std::vector<std::string> errors;
  auto settings = LoadNodeSettings(file, errors);
  ProcessInputs inputs;
  if (settings) {
    inputs.settings = *settings;
    inputs.keys =
        DecodePeerKeys(ReadFile(settings->peer_key_file).value_or(""));
    inputs.admin_token =
        Trimmed(ReadFile(settings->admin_token_file).value_or(""));
    if (!inputs.keys) {
      errors.push_back(settings->peer_key_file +
                       ": expected a key file made by corianderlinkctl keygen");
    }
    if (inputs.admin_token.empty()) {
      errors.push_back(settings->admin_token_file + ": expected a token");
    }
  }
  for (const std::string& error : errors) std::cerr << error << "\n";
  if (!errors.empty()) return std::nullopt;
  return inputs;
}

/// Runs a process whose server type is `Server`: constructed from a Node, with
/// Start() and BeginStop().
template <typename Server>
int RunProcess(int argc, char** argv, const std::string& name, NodeKind kind,
               const std::string& description) {
  CLI::App app(description);
  std::string file;
  app.add_option("--settings", file, "settings file, JSON with comments")
      ->required();
  app.set_version_flag("--version", kVersion);
  app.footer("Example:\n  " + name + " --settings etc/instance-1.json\n" +
             "Exit status: 0 after a planned stop, 2 for bad arguments or "
             "settings, 1 otherwise.");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kExitUsage;
  }
  auto inputs = LoadInputs(file);
  if (!inputs) return kExitUsage;
  InitLog(name, ParseLogLevel(inputs->settings.log_level));
  EventLoop loop;
  Node node(loop, inputs->settings, kind, inputs->keys, inputs->admin_token);
  Server server(node);
  std::string reason;
  const bool started = node.Start(reason) && server.Start();
  if (!started) {
    if (reason.empty()) reason = "cannot bind the callers' address";
    Log(LogLevel::kError, "start_failed", {{"reason", reason}});
    return 1;
  }
  // A second signal changes nothing: a planned stop cuts no request.
  const EventHandle term =
      loop.OnSignal(SIGTERM, [&server] { server.BeginStop(); });
  const EventHandle interrupt =
      loop.OnSignal(SIGINT, [&server] { server.BeginStop(); });
  Log(LogLevel::kInfo, "started",
      {{"self", node.self().value()}, {"version", kVersion}});
  loop.Run();
  Log(LogLevel::kInfo, "stopped", {});
  return 0;
}

}  // namespace corianderlink

#endif  // CORIANDERLINK_TOOLS_COMMON_PROCESS_MAIN_H_
