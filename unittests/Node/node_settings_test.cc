// Tests of parsing node settings.
#include "corianderlink/Node/node_settings.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include "corianderlink/Release/release_note.h"

namespace corianderlink {
namespace {

class NodeSettingsTest : public testing::Test {
 protected:
  NodeSettingsTest() {
    std::string name =
        (std::filesystem::temp_directory_path() / "settings-XXXXXX").string();
    directory_ = mkdtemp(name.data());
    std::ofstream(directory_ + "/peer.key") << "{}";
    std::ofstream(directory_ + "/admin.token") << "token";
  }
  ~NodeSettingsTest() override { std::filesystem::remove_all(directory_); }

  std::set<std::string> ErrorPaths(const std::string& text) {
    std::vector<JsonError> errors;
    EXPECT_FALSE(ParseNodeSettings(text, directory_, errors));
    std::set<std::string> paths;
    for (const JsonError& error : errors) paths.insert(error.path);
    return paths;
  }

  std::string directory_;
};

std::string ReadSample(const std::string& name) {
  return ReadFile(std::string(SOURCE_DIR) + "/etc/" + name).value_or("");
}

TEST_F(NodeSettingsTest, SamplesAreValid) {
  for (const char* name : {"copa-austral.json", "karoo.json"}) {
    std::vector<JsonError> errors;
    const auto settings =
        ParseNodeSettings(ReadSample(name), directory_, errors);
    for (const JsonError& error : errors) ADD_FAILURE() << error.ToString();
    ASSERT_TRUE(settings) << name;
  }
  std::vector<JsonError> errors;
  EXPECT_TRUE(ParseReleaseNote(ReadSample("first-note.json"), errors));
}

TEST_F(NodeSettingsTest, ReportsEveryErrorWithItsPath) {
  const std::set<std::string> expected = {
      "/instance",         "/zone",
      "/platform/address", "/platform/timeout_ms",
      "/colour",           "/peer_key_file",
      "/entry/listen",     "/fleet",
      "/timing/lease_ms"};
  EXPECT_EQ(ErrorPaths(R"({
    "deployment": "d", "zone": 7, "colour": "red",
    "platform": {"address": "host:1", "timeout_ms": 0},
    "peer_key_file": "absent.key", "admin_token_file": "admin.token",
    "entry": {"listen": "1.2.3.4", "peer": "1.2.3.4:1", "admin": "1.2.3.4:2"},
    "timing": {"lease_ms": "long"}})"),
            expected);
}

TEST_F(NodeSettingsTest, AddressesMustDiffer) {
  std::string text = ReadSample("karoo.json");
  const size_t at = text.find("10.30.1.1:8012");
  text.replace(at, 14, "10.30.1.1:8011");
  EXPECT_EQ(ErrorPaths(text), std::set<std::string>{"/fleet/admin"});
}

TEST_F(NodeSettingsTest, MalformedTextIsAnError) {
  for (const char* text : {"", "{", "[]", "7"}) {
    EXPECT_FALSE(ErrorPaths(text).empty()) << text;
  }
}

}  // namespace
}  // namespace corianderlink
