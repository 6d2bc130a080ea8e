// The desired state: the result of applying all accepted release notes in
// order of their revisions.
#ifndef CORIANDERLINK_RELEASE_DESIRED_STATE_H_
#define CORIANDERLINK_RELEASE_DESIRED_STATE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "corianderlink/Release/items.h"
#include "corianderlink/Release/release_note.h"

namespace corianderlink {

/// The note that last added, changed or withdrew an item, and its revision.
struct ItemLastChange {
  Revision revision = 0;
  NoteId note;
  bool operator==(const ItemLastChange&) const = default;
};

/// All declared items at one revision.
struct DesiredState {
  Revision revision = 0;
  Items items;
  /// Last change of each item by item key, stored as "marks".  Withdrawn items
  /// keep their entry, so that later conflicts with them are detected.
  std::map<std::string, ItemLastChange> last_changes;

  bool operator==(const DesiredState&) const = default;
};

Json ToJson(const DesiredState& state);
/// Parses a stored state.  If it is malformed, returns nothing and sets
/// `reason`.
std::optional<DesiredState> ParseDesiredState(const std::string& text,
                                              std::string& reason);

/// An item of a note that another note has changed since the base revision.
struct NoteConflict {
  std::string item;
  NoteId other_note;
  Revision other_revision = 0;
};

/// Items of `note` that other notes have changed since its base revision.
std::vector<NoteConflict> FindConflicts(const DesiredState& state,
                                        const ReleaseNote& note);

/// Applies `note` as revision `state.revision + 1`.  Appends every error and
/// returns nothing if there is one.  Deterministic, so that all processes
/// derive the same state from the same notes.
std::optional<DesiredState> ApplyNote(const DesiredState& state,
                                      const ReleaseNote& note,
                                      std::vector<JsonError>& errors);

}  // namespace corianderlink

#endif  // CORIANDERLINK_RELEASE_DESIRED_STATE_H_
