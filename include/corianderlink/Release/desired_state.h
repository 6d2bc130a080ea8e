// The state that accepted release notes add up to.
#ifndef CORIANDERLINK_RELEASE_DESIRED_STATE_H_
#define CORIANDERLINK_RELEASE_DESIRED_STATE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "corianderlink/Release/items.h"
#include "corianderlink/Release/release_note.h"

namespace corianderlink {

/// Which note last touched an item; kept for withdrawn items too.
struct ItemMark {
  Revision revision = 0;
  NoteId note;
  bool operator==(const ItemMark&) const = default;
};

struct DesiredState {
  Revision revision = 0;
  Items items;
  std::map<std::string, ItemMark> marks;

  bool operator==(const DesiredState&) const = default;
};

Json ToJson(const DesiredState& state);
/// Nothing with a reason if malformed.
std::optional<DesiredState> ParseDesiredState(const std::string& text,
                                              std::string& reason);

/// An item of a note that another note has touched since the base revision.
struct NoteClash {
  std::string item;
  NoteId other_note;
  Revision other_revision = 0;
};

/// Items of `note` that were touched after its base revision.
std::vector<NoteClash> FindClashes(const DesiredState& state,
                                   const ReleaseNote& note);

/// Applies `note` as revision `state.revision + 1`.  Every error is appended;
/// nothing is returned if there is one.  Deterministic, so that each process
/// derives the same state from the same note.
std::optional<DesiredState> ApplyNote(const DesiredState& state,
                                      const ReleaseNote& note,
                                      std::vector<JsonError>& errors);

}  // namespace corianderlink

#endif  // CORIANDERLINK_RELEASE_DESIRED_STATE_H_
