// A release note: what is added, changed and withdrawn.
#ifndef CORIANDERLINK_RELEASE_RELEASE_NOTE_H_
#define CORIANDERLINK_RELEASE_RELEASE_NOTE_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "corianderlink/Release/items.h"
#include "corianderlink/Support/json_reader.h"
#include "corianderlink/Support/strong_id.h"

namespace corianderlink {

using Revision = uint64_t;

struct ReleaseNote {
  NoteId id;
  /// Revision that the operator saw when writing the note.
  Revision base_revision = 0;
  Items added;
  Items changed;
  /// Keys such as "engines/e1".
  std::set<std::string> withdrawn;

  bool operator==(const ReleaseNote&) const = default;
  /// Keys of all items that the note names.
  std::set<std::string> Touched() const;
};

/// Reads a note from JSON with comments.  Every error is appended; nothing is
/// returned if there is one.
std::optional<ReleaseNote> ParseReleaseNote(const std::string& text,
                                            std::vector<JsonError>& errors);

Json ToJson(const ReleaseNote& note);

}  // namespace corianderlink

#endif  // CORIANDERLINK_RELEASE_RELEASE_NOTE_H_
