// Logging through Boost.Log and the non-blocking line writer.
#include "corianderlink/Support/log.h"

#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>

#include "corianderlink/Support/line_writer.h"

namespace corianderlink {
namespace {

namespace blog = boost::log;

std::string& ProcessName() {
  static auto& name = *new std::string("corianderlink");
  return name;
}

blog::sources::severity_logger<LogLevel>& Logger() {
  static auto& logger = *new blog::sources::severity_logger<LogLevel>();
  return logger;
}

// Boost.Log sink that writes formatted lines to standard output.
class LineSink : public blog::sinks::basic_formatted_sink_backend<
                     char, blog::sinks::synchronized_feeding> {
 public:
  void consume(const blog::record_view&, const std::string& line) {  // NOLINT
    StandardOutputWriter().Write(BootClock::now(), line);
  }
};

const char* LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "info";
}

// Quotes `value` if necessary, and replaces line breaks and tabs by spaces so
// that an event stays on one line.
std::string QuoteIfNeeded(std::string_view value) {
  if (!value.empty() &&
      value.find_first_of(" \"=\n\r\t") == std::string_view::npos) {
    return std::string{value};
  }
  std::string quoted = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') quoted += '\\';
    quoted += (c == '\n' || c == '\r' || c == '\t') ? ' ' : c;
  }
  return quoted + '"';
}

}  // namespace

LogField::LogField(std::string_view k, std::string_view v)
    : key(k), value(QuoteIfNeeded(v)) {}
LogField::LogField(std::string_view k, const char* v)
    : LogField(k, std::string_view{v}) {}
LogField::LogField(std::string_view k, const std::string& v)
    : LogField(k, std::string_view{v}) {}
LogField::LogField(std::string_view k, int64_t v)
    : key(k), value(std::to_string(v)) {}
LogField::LogField(std::string_view k, uint64_t v)
    : key(k), value(std::to_string(v)) {}
LogField::LogField(std::string_view k, int v)
    : key(k), value(std::to_string(v)) {}
LogField::LogField(std::string_view k, double v)
    : key(k), value(std::to_string(v)) {}

void InitLog(const std::string& process, LogLevel min_level) {
  ProcessName() = process;
  blog::add_common_attributes();
  auto sink = boost::make_shared<blog::sinks::synchronous_sink<LineSink>>();
  sink->set_formatter(
      blog::expressions::stream
      << "time="
      << blog::expressions::format_date_time<boost::posix_time::ptime>(
             "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
      << " " << blog::expressions::smessage);
  blog::core::get()->add_sink(sink);
  blog::core::get()->set_filter(blog::expressions::attr<LogLevel>("Severity") >=
                                min_level);
}

LogLevel ParseLogLevel(std::string_view text) {
  if (text == "debug") return LogLevel::kDebug;
  if (text == "warning") return LogLevel::kWarning;
  if (text == "error") return LogLevel::kError;
  return LogLevel::kInfo;
}

void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields) {
  BOOST_LOG_SEV(Logger(), level) << [&] {
    std::string line = "level=";
    line += LevelName(level);
    line += " process=" + ProcessName() + " event=";
    line += event;
    for (const LogField& field : fields) {
      line += ' ';
      line += field.key;
      line += '=';
      line += field.value;
    }
    return line;
  }();
}

}  // namespace corianderlink
