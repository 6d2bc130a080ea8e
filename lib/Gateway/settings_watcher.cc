// Watches the settings file and reports changes.
#include "corianderlink/Gateway/settings_watcher.h"

#include <fstream>
#include <sstream>
#include <utility>
#include <vector>

#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

constexpr Duration kPollInterval = seconds(1);

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

SettingsWatcher::SettingsWatcher(EventLoop& loop, std::string path,
                                 ChangedCallback on_changed)
    : loop_(loop), path_(std::move(path)), on_changed_(std::move(on_changed)) {}

void SettingsWatcher::Start() {
  last_text_ = ReadFile(path_);
  timer_ = loop_.Every(kPollInterval, [this] { Check(); });
}

void SettingsWatcher::Check() {
  std::string text = ReadFile(path_);
  // The file may be empty or missing for a moment while it is replaced.
  if (text.empty() || text == last_text_) return;
  last_text_ = std::move(text);
  std::vector<std::string> errors;
  const auto settings = ParseGatewaySettings(last_text_, errors);
  for (const std::string& error : errors) {
    Log(LogLevel::kError, "settings_refused", {{"reason", error}});
  }
  if (settings) on_changed_(*settings);
}

}  // namespace corianderlink
