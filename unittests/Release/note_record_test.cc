// Tests of parsing and serializing release notes.
#include <gtest/gtest.h>

#include "corianderlink/Release/note_acceptor.h"

namespace corianderlink {
namespace {

constexpr char kNote[] = R"({
  // What the note is for.
  "id": "n1", "base_revision": 0,
  "added": {
    "models": {"m": {"weights": "m@1"}},
    "adapters": {"a": {"model": "m", "weights": "a@1"}},
    "engines": {"e": {"address": "127.0.0.1:1", "zone": "z", "models": ["m"]}},
    "services": {"s": {"workers": ["127.0.0.1:2"],
      "calls": [{"method": "POST", "path": "/book",
                 "not_run_statuses": [503]}]}},
    "accounts": {"acme": {"key_sha256":
      "0123456789012345678901234567890123456789012345678901234567890123"}}
  },
  "withdrawn": {"engines": ["old"]}
})";

TEST(NoteRecordTest, EncodedNoteDecodesToAnEqualNote) {
  std::vector<JsonError> errors;
  const auto note = ParseReleaseNote(kNote, errors);
  ASSERT_TRUE(note) << errors.front().ToString();
  const auto record = DecodeNoteRecord(EncodeNoteRecord({7, *note}));
  ASSERT_TRUE(record);
  EXPECT_EQ(record->revision, 7u);
  EXPECT_EQ(record->note, *note);
}

TEST(NoteRecordTest, ReportsEveryErrorWithItsPath) {
  std::vector<JsonError> errors;
  const auto note = ParseReleaseNote(R"({
    "id": "a/b", "base_revision": -1, "colour": "red",
    "added": {"engines": {"e": {"address": "nowhere", "zone": "z",
                                "role": "king", "moddels": []}}}})",
                                     errors);
  EXPECT_FALSE(note);
  std::set<std::string> paths;
  for (const JsonError& error : errors) paths.insert(error.path);
  const std::set<std::string> expected = {"/id",
                                          "/base_revision",
                                          "/colour",
                                          "/added/engines/e/address",
                                          "/added/engines/e/role",
                                          "/added/engines/e/moddels"};
  EXPECT_EQ(paths, expected);
}

TEST(NoteRecordTest, MalformedTextIsAnErrorAndNotACrash) {
  for (const char* text : {"", "{", "[]", "null", "\"x\"", "{\"id\":1}",
                           "{\"id\":\"x\",\"added\":{\"engines\":[]}}"}) {
    std::vector<JsonError> errors;
    EXPECT_FALSE(ParseReleaseNote(text, errors)) << text;
    EXPECT_FALSE(errors.empty()) << text;
  }
}

}  // namespace
}  // namespace corianderlink
