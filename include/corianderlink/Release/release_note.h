// A release note: a change to the desired state that adds, changes and
// withdraws items.
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

/// Number of the desired state: 0 initially, incremented by each accepted note.
using Revision = uint64_t;

/// A release note as submitted by an operator.
struct ReleaseNote {
  NoteId id;
  /// Revision on which the note is based.  The note conflicts with changes of
  /// its items in later revisions.
  Revision base_revision = 0;
  Items added;
  Items changed;
  /// Keys of the withdrawn items, such as "engines/e1".
  std::set<std::string> withdrawn;

  bool operator==(const ReleaseNote&) const = default;
  /// Keys of all items that the note adds, changes or withdraws.
  std::set<std::string> ItemKeys() const;
};

/// Parses a note from JSON with comments.  Appends every error and returns
/// nothing if there is one.
std::optional<ReleaseNote> ParseReleaseNote(const std::string& text,
                                            std::vector<JsonError>& errors);

Json ToJson(const ReleaseNote& note);

}  // namespace corianderlink

#endif  // CORIANDERLINK_RELEASE_RELEASE_NOTE_H_
