// Command line for operators.
#include <CLI/CLI.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "common/process_main.h"
#include "corianderlink/Http/event_loop.h"
#include "corianderlink/Http/http_client.h"
#include "corianderlink/Release/release_note.h"
#include "corianderlink/Support/url_encode.h"
#include "corianderlink/Wire/peer_bus.h"

namespace corianderlink {
namespace {

// Exit statuses besides 0 and kExitUsage.
constexpr int kExitRefused = 1;
constexpr int kExitUnclear = 3;
constexpr int kExitClash = 4;
constexpr seconds kCallTimeout{10};

struct Options {
  std::string admin;
  std::string token_file;
  std::string output = "text";
  std::string argument;
};

HttpResponse Call(const Options& options, const std::string& method,
                  const std::string& target, const std::string& body) {
  HttpResponse result;
  const auto address = Address::Parse(options.admin);
  if (!address) {
    result.outcome = Outcome::NotRun("--admin: expected ip:port");
    return result;
  }
  EventLoop loop;
  HttpClient client(loop);
  HttpRequest request;
  request.address = *address;
  request.method = method;
  request.target = target;
  request.body = body;
  request.timeout = kCallTimeout;
  const std::string token = Trimmed(ReadFile(options.token_file).value_or(""));
  request.headers = {{"Authorization", "Bearer " + token}};
  client.Start(request, [&](const HttpResponse& response) {
    result = response;
    // Lets the call free its connection first.
    loop.Post([&loop] { loop.Post([&loop] { loop.Stop(); }); });
  });
  loop.Run();
  return result;
}

int ExitStatus(const HttpResponse& response) {
  if (!response.outcome.ran()) {
    return response.outcome.verdict == Verdict::kNotRun ? kExitRefused
                                                        : kExitUnclear;
  }
  if (response.ok()) return 0;
  const Json body = Json::parse(response.body, nullptr, false);
  const bool unclear =
      body.is_object() && body.value("verdict", "") == "may have run";
  if (unclear) return kExitUnclear;
  return response.status == 409 ? kExitClash : kExitRefused;
}

// Prints JSON as indented lines of "key: value".
void PrintText(const Json& json, int depth) {
  const std::string indent(static_cast<size_t>(depth) * 2, ' ');
  if (json.is_array()) {
    for (const Json& item : json) {
      if (!item.is_structured()) {
        std::cout << indent << "- " << item.dump() << "\n";
        continue;
      }
      std::cout << indent << "-\n";
      PrintText(item, depth + 1);
    }
    return;
  }
  for (const auto& [key, value] : json.items()) {
    if (value.is_structured()) {
      std::cout << indent << key << (value.empty() ? ": none\n" : ":\n");
      PrintText(value, depth + 1);
      continue;
    }
    std::cout << indent << key << ": "
              << (value.is_string() ? value.get<std::string>() : value.dump())
              << "\n";
  }
}

int Print(const Options& options, const HttpResponse& response) {
  if (!response.outcome.ran()) {
    std::cerr << "corianderlinkctl: " << options.admin << ": "
              << response.outcome.reason << " ("
              << ToString(response.outcome.verdict) << ")\n";
    return ExitStatus(response);
  }
  const Json body = Json::parse(response.body, nullptr, false);
  if (options.output == "json" || !body.is_structured()) {
    std::cout << response.body << "\n";
  } else {
    PrintText(body, 0);
  }
  return ExitStatus(response);
}

int Get(const Options& options, const std::string& target) {
  return Print(options, Call(options, "GET", target, ""));
}

int PrintErrors(const Options& options, const std::string& file,
                const std::vector<JsonError>& errors) {
  Json list = Json::array();
  for (const JsonError& error : errors) {
    list.push_back({{"path", error.path}, {"expected", error.expected}});
    if (options.output != "json") {
      std::cerr << file << ": " << error.ToString() << "\n";
    }
  }
  if (options.output == "json") {
    std::cout << Json{{"valid", false}, {"file", file}, {"errors", list}}.dump()
              << "\n";
  }
  return kExitUsage;
}

int SubmitNote(const Options& options, const std::string& target) {
  const auto text = ReadFile(options.argument);
  if (!text) {
    return PrintErrors(options, options.argument, {{"", "a readable file"}});
  }
  std::vector<JsonError> errors;
  if (!ParseReleaseNote(*text, errors)) {
    return PrintErrors(options, options.argument, errors);
  }
  const HttpResponse response = Call(options, "POST", target, *text);
  const int status = Print(options, response);
  if (status != 0) return status;
  const Json body = Json::parse(response.body, nullptr, false);
  const bool invalid =
      body.is_object() && body.contains("valid") && !body["valid"].get<bool>();
  if (!invalid) return 0;
  return body["clashes"].empty() ? kExitRefused : kExitClash;
}

// Without --admin only the note itself is checked.
int CheckNote(const Options& options) {
  if (!options.admin.empty()) return SubmitNote(options, "/v1/notes/check");
  std::vector<JsonError> errors;
  const auto text = ReadFile(options.argument);
  if (!text) errors.push_back({"", "a readable file"});
  if (text) ParseReleaseNote(*text, errors);
  if (!errors.empty()) return PrintErrors(options, options.argument, errors);
  std::cout << (options.output == "json" ? "{\"valid\":true}" : "valid: true")
            << "\n";
  return 0;
}

int CheckSettings(const Options& options) {
  std::vector<std::string> errors;
  LoadNodeSettings(options.argument, errors);
  if (options.output == "json") {
    std::cout << Json{{"valid", errors.empty()}, {"errors", errors}}.dump()
              << "\n";
  } else {
    for (const std::string& error : errors) std::cerr << error << "\n";
    if (errors.empty()) std::cout << "valid: true\n";
  }
  return errors.empty() ? 0 : kExitUsage;
}

int GenerateKeys(const Options& options) {
  const auto keys = GeneratePeerKeys();
  if (!keys) {
    std::cerr << "corianderlinkctl: the ZeroMQ library lacks CURVE\n";
    return kExitRefused;
  }
  std::ofstream file(options.argument);
  file << EncodePeerKeys(*keys) << "\n";
  file.close();
  if (!file) {
    std::cerr << options.argument << ": cannot be written\n";
    return kExitRefused;
  }
  std::filesystem::permissions(
      options.argument,
      std::filesystem::perms::owner_read | std::filesystem::perms::owner_write);
  return 0;
}

int Main(int argc, char** argv) {
  CLI::App app("Operates a corianderlink deployment.");
  Options options;
  int status = 0;
  app.set_version_flag("--version", kVersion);
  app.add_option("--admin", options.admin,
                 "admin address of a process, ip:port (fleet for notes)");
  app.add_option("--token-file", options.token_file, "file with the token");
  app.add_option("--output", options.output, "text or json")
      ->check(CLI::IsMember({"text", "json"}));
  app.require_subcommand(1);
  app.fallthrough();
  app.footer(
      "Examples:\n"
      "  corianderlinkctl note check note.json\n"
      "  corianderlinkctl --admin 127.0.0.1:7301 --token-file admin.token "
      "note apply note.json\n"
      "  corianderlinkctl --admin 127.0.0.1:7301 --token-file admin.token "
      "--output json status\n"
      "Exit status: 0 done, 1 refused (not run), 2 bad arguments, note or "
      "settings,\n  3 unclear (may have run; submit the same note again), "
      "4 clash with another note.");

  CLI::App* note = app.add_subcommand("note", "release notes");
  note->require_subcommand(1);
  const auto add = [&](CLI::App* parent, const std::string& name,
                       const std::string& help, const std::string& argument,
                       std::function<int()> run) {
    CLI::App* command = parent->add_subcommand(name, help);
    if (!argument.empty()) {
      command->add_option(argument, options.argument)->required();
    }
    command->callback([&status, run = std::move(run)] { status = run(); });
  };
  add(note, "check", "checks a note without applying it", "file",
      [&] { return CheckNote(options); });
  add(note, "apply", "submits a note; repeating it is harmless", "file",
      [&] { return SubmitNote(options, "/v1/notes"); });
  add(note, "status", "shows where a note is in force", "id", [&] {
    return Get(options, "/v1/notes/" + UrlEncode(options.argument) + "/status");
  });
  add(note, "show", "shows an accepted note", "id",
      [&] { return Get(options, "/v1/notes/" + UrlEncode(options.argument)); });
  add(note, "history", "lists accepted notes in order", "",
      [&] { return Get(options, "/v1/notes"); });
  add(&app, "status", "shows engines and open orders", "",
      [&] { return Get(options, "/v1/status"); });
  add(&app, "dump", "dumps the state of a process", "",
      [&] { return Get(options, "/v1/dump"); });
  add(&app, "drain", "starts a planned stop of a process", "",
      [&] { return Print(options, Call(options, "POST", "/v1/drain", "")); });
  add(&app, "keygen", "writes a new peer key file", "file",
      [&] { return GenerateKeys(options); });
  CLI::App* settings = app.add_subcommand("settings", "settings files");
  settings->require_subcommand(1);
  add(settings, "check", "checks a settings file", "file",
      [&] { return CheckSettings(options); });
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kExitUsage;
  }
  return status;
}

}  // namespace
}  // namespace corianderlink

int main(int argc, char** argv) { return corianderlink::Main(argc, argv); }
