// Tests parsing of the settings and their reload when the file changes.
#include "corianderlink/Gateway/gateway_settings.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <fstream>

#include "corianderlink/Gateway/settings_watcher.h"

namespace corianderlink {
namespace {

constexpr char kValidSettings[] = R"({
  // A comment.
  "instance": "g1", "availability_zone": "z",
  "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2",
             "directory": "127.0.0.1:3", "peer": "127.0.0.1:4",
             "admin": "127.0.0.1:5"},
  "store": "127.0.0.1:6", "max_descriptors": 6150, "stop_grace_s": 8,
  "directory_ttl_max_s": 5, "lease_s": 3000e-3,
  "retries": {"ratio": 0.2, "slack": 58, "window_s": 10}
})";

TEST(GatewaySettingsTest, ParsesAllSettings) {
  std::vector<std::string> errors;
  const auto settings = ParseGatewaySettings(kValidSettings, errors);
  ASSERT_TRUE(settings) << errors[0];
  EXPECT_EQ(settings->front.port, 1);
  EXPECT_EQ(settings->lease, Duration(seconds(3)));
  EXPECT_DOUBLE_EQ(settings->retries.slack, 58);
}

TEST(GatewaySettingsTest, ForwardAddressIsOptional) {
  std::vector<std::string> errors;
  std::string text = kValidSettings;
  EXPECT_EQ(ParseGatewaySettings(text, errors)->forward.port, 0);
  const std::string peer = R"("peer": "127.0.0.1:4",)";
  text.insert(text.find(peer), R"("forward": "127.0.0.1:7",)");
  EXPECT_EQ(ParseGatewaySettings(text, errors)->forward.port, 7);
}

TEST(GatewaySettingsTest, ReportsEveryErrorWithItsPath) {
  std::vector<std::string> errors;
  EXPECT_FALSE(ParseGatewaySettings(
      R"({"instance": 3, "listen": {"front": "x"}, "surprise": 1})", errors));
  std::string joined;
  for (const std::string& error : errors) joined += error + "\n";
  for (const char* path : {"/instance", "/listen/front", "/listen/ready",
                           "/store", "/surprise", "/availability_zone"}) {
    EXPECT_NE(joined.find(path), std::string::npos) << path << " in\n"
                                                    << joined;
  }
}

TEST(GatewaySettingsTest, MalformedJsonIsAnError) {
  std::vector<std::string> errors;
  EXPECT_FALSE(ParseGatewaySettings("{", errors));
  EXPECT_EQ(errors.size(), 1U);
}

class SettingsWatcherTest : public ::testing::Test {
 protected:
  ~SettingsWatcherTest() override { unlink(path_.c_str()); }
  void Write(const std::string& text) const { std::ofstream(path_) << text; }

  const std::string path_ =
      "/tmp/corianderlink-settings-" + std::to_string(getpid());
  EventLoop loop_;
  int changes_ = 0;
  // Retry slack of the latest change.
  double slack_ = 0;
  SettingsWatcher watcher_{loop_, path_, [this](const GatewaySettings& s) {
                             ++changes_;
                             slack_ = s.retries.slack;
                           }};
};

TEST_F(SettingsWatcherTest, ReportsAChangeOnceAndIgnoresInvalidSettings) {
  Write(kValidSettings);
  watcher_.Start();
  watcher_.Check();
  EXPECT_EQ(changes_, 0);
  std::string changed = kValidSettings;
  changed.replace(changed.find("58"), 2, "99");
  Write(changed);
  watcher_.Check();
  watcher_.Check();
  EXPECT_EQ(changes_, 1);
  EXPECT_DOUBLE_EQ(slack_, 99);
  Write("{ broken");
  watcher_.Check();
  EXPECT_EQ(changes_, 1);
}

}  // namespace
}  // namespace corianderlink
