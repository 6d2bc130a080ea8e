// Notices that the settings file has changed.
#ifndef CORIANDERLINK_GATEWAY_SETTINGS_WATCHER_H_
#define CORIANDERLINK_GATEWAY_SETTINGS_WATCHER_H_

#include <functional>
#include <string>

#include "corianderlink/Gateway/gateway_settings.h"
#include "corianderlink/Http/event_loop.h"

namespace corianderlink {

/// Reads the file on request and at an interval, as it may change without a
/// signal.  A file that cannot be used is logged and changes nothing.
class SettingsWatcher {
 public:
  using ChangedCallback = std::function<void(const GatewaySettings&)>;

  SettingsWatcher(EventLoop& loop, std::string path, ChangedCallback changed);

  void Start();
  /// Reads the file now.
  void Check();

 private:
  EventLoop& loop_;
  const std::string path_;
  const ChangedCallback changed_;
  std::string text_;
  EventHandle timer_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_GATEWAY_SETTINGS_WATCHER_H_
