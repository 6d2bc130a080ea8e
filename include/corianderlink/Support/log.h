// Structured logging: each event is one line of key=value pairs, formatted by
// Boost.Log and written to standard output.  Lines that exceed the limits of
// LineWriter are dropped and counted.
#ifndef CORIANDERLINK_SUPPORT_LOG_H_
#define CORIANDERLINK_SUPPORT_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace corianderlink {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// A key and its value.  A value that is empty or contains whitespace, quotes
/// or an equals sign is quoted.
struct LogField {
  LogField(std::string_view key, std::string_view value);
  LogField(std::string_view key, const char* value);
  LogField(std::string_view key, const std::string& value);
  LogField(std::string_view key, int64_t value);
  LogField(std::string_view key, uint64_t value);
  LogField(std::string_view key, int value);
  LogField(std::string_view key, double value);

  std::string_view key;
  std::string value;
};

/// Initializes logging.  `process` appears in each line; events below
/// `min_level` are not written.
void InitLog(const std::string& process, LogLevel min_level);

/// Parses "debug", "info", "warning" or "error"; returns kInfo for any other
/// text.
LogLevel ParseLogLevel(std::string_view text);

/// Writes one event.
void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields);

}  // namespace corianderlink

#endif  // CORIANDERLINK_SUPPORT_LOG_H_
