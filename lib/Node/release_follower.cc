// Holds the desired state that is in effect in this process.
#include "corianderlink/Node/release_follower.h"

#include <utility>
#include <vector>

namespace corianderlink {
namespace {

constexpr size_t kMaxCachedNotes = 64;

}  // namespace

bool ReleaseFollower::ApplyState(const DesiredState& state) {
  if (has_state_ && state.revision <= state_.revision) return false;
  has_state_ = true;
  state_ = state;
  return true;
}

void ReleaseFollower::CacheNote(Revision revision, const ReleaseNote& note) {
  if (!notes_.empty() && notes_.back().revision >= revision) return;
  notes_.push_back({revision, ToJson(note).dump()});
  if (notes_.size() > kMaxCachedNotes) notes_.pop_front();
}

bool ReleaseFollower::ApplyUpdate(const wire::ReleaseUpdate& update,
                                  std::string& reason) {
  if (has_state_ && update.revision() <= state_.revision) {
    reason = "the revision is not newer";
    return false;
  }
  if (!update.state_json().empty()) {
    const auto state = ParseDesiredState(update.state_json(), reason);
    return state && ApplyState(*state);
  }
  if (!has_state_ || update.revision() != state_.revision + 1) {
    reason = "intermediate revisions are missing";
    return false;
  }
  std::vector<JsonError> errors;
  const auto note = ParseReleaseNote(update.note_json(), errors);
  if (!note) {
    reason = "malformed note: " + errors.front().ToString();
    return false;
  }
  auto next = ApplyNote(state_, *note, errors);
  if (!next) {
    reason = "note does not apply: " + errors.front().ToString();
    return false;
  }
  state_ = std::move(*next);
  CacheNote(state_.revision, *note);
  return true;
}

std::optional<wire::ReleaseUpdate> ReleaseFollower::UpdateFor(
    const wire::ReleaseRequest& request) const {
  const Revision have_revision = request.have_revision();
  const bool needs_state = request.needs_state();
  if (!has_state_) return std::nullopt;
  if (!needs_state && have_revision >= state_.revision) return std::nullopt;
  wire::ReleaseUpdate update;
  for (const CachedNote& note : notes_) {
    if (needs_state || note.revision != have_revision + 1) continue;
    update.set_revision(note.revision);
    update.set_note_json(note.json);
    return update;
  }
  update.set_revision(state_.revision);
  update.set_state_json(ToJson(state_).dump());
  return update;
}

}  // namespace corianderlink
