// Keeps each stream at the software version that began it: decisions.
#include "corianderlink/Gateway/stream_versions.h"

#include <algorithm>

namespace corianderlink {
namespace {

constexpr size_t kMaxOriginsPerReport = 512;
// Without a response of the store for this long, what peers know may differ.
constexpr Duration kDoubtfulStoreAge = seconds(2);
// Longer than the knowledge of a gateway that resumes unknown streams can be
// old, so that such a gateway knows of the version by then.
constexpr Duration kAnnouncementTime =
    StreamVersions::kMaxKnowledgeAge + milliseconds(500);

std::set<SoftwareVersion> VersionsIn(const StreamVersionReport& report,
                                     const ServiceId& service) {
  std::set<SoftwareVersion> versions;
  for (const VersionSighting& sighting : report.sightings) {
    if (sighting.service == service) versions.insert(sighting.version);
  }
  return versions;
}

}  // namespace

void StreamVersions::Update(Time now) {
  history_.Update(now, directory_);
  origins_.Forget(now - history_.stream_lifetime());
}

void StreamVersions::OnKnowledge(Time as_of) {
  if (!known_until_ || as_of - *known_until_ > kMaxKnowledgeAge) {
    known_since_ = as_of;
  }
  known_until_ = std::max(known_until_.value_or(as_of), as_of);
}

Duration StreamVersions::KnowledgeAge(Time now) const {
  return known_until_ ? now - *known_until_ : Duration::max();
}

void StreamVersions::OnHistory(Time as_of) {
  history_as_of_ = std::max(history_as_of_.value_or(as_of), as_of);
}

bool StreamVersions::is_complete() const {
  if (!known_since_) return history_as_of_.has_value();
  if (*known_until_ - *known_since_ > history_.stream_lifetime()) return true;
  return history_as_of_ && *known_since_ - *history_as_of_ <= kMaxKnowledgeAge;
}

ResumptionDecision StreamVersions::Resolve(Time now, StreamKey key,
                                           const ServiceId& service,
                                           Time reported_until) const {
  const auto origin = origins_.Find(key);
  if (origin && now - origin->begun_at <= history_.stream_lifetime()) {
    return {origin->version, origin->service, ""};
  }
  const std::set<SoftwareVersion> possible = history_.Possible(service);
  if (possible.empty()) return {{}, {}, "no upstream is known"};
  if (possible.size() > 1) {
    return {{}, {}, "stream may have begun at several software versions"};
  }
  if (!is_complete()) {
    return {{}, {}, "software versions of recent streams are not known yet"};
  }
  if (KnowledgeAge(now) > kMaxKnowledgeAge) {
    return {{}, {}, "list of upstreams is too old for a stream not known"};
  }
  if (!history_.SeenFirstAfter(service, reported_until).empty()) {
    return {{}, {}, "not all peers know yet what this gateway knows"};
  }
  return {*possible.begin(), {}, ""};
}

VersionConstraint StreamVersions::ForNewStream(
    Time now, const ServiceId& service,
    const std::vector<const StreamVersionReport*>& peers) const {
  const std::set<SoftwareVersion> recent =
      history_.SeenFirstAfter(service, now - kAnnouncementTime);
  if (recent.empty()) return {};
  VersionConstraint unknown;
  VersionConstraint misplaced;
  for (const StreamVersionReport* peer : peers) {
    const std::set<SoftwareVersion> known = VersionsIn(*peer, service);
    for (const SoftwareVersion& version : recent) {
      if (known.count(version) > 0) continue;
      unknown.avoided.insert(version);
      if (!known.empty()) misplaced.avoided.insert(version);
    }
  }
  return HasPermitted(service, unknown) ? unknown : misplaced;
}

bool StreamVersions::HasPermitted(const ServiceId& service,
                                  const VersionConstraint& constraint) const {
  const auto usable = directory_.Usable(service);
  return std::any_of(
      usable.begin(), usable.end(), [&](const UpstreamRecord* upstream) {
        const bool answers = upstream->role != UpstreamRole::kPrefill;
        return answers && constraint.Permits(*upstream);
      });
}

StreamVersionReport StreamVersions::NextReport(Time now, Duration store_age) {
  const bool doubtful = store_age > kDoubtfulStoreAge;
  StreamVersionReport report;
  report.is_complete = is_complete();
  report.sightings = history_.Sightings();
  report.knowledge_age = KnowledgeAge(now);
  const std::set<ServiceId> mixed = history_.MixedServices();
  if (!doubtful && mixed.empty()) return report;
  report.origins = origins_.TakeUnsent(
      kMaxOriginsPerReport, [&mixed, doubtful](const ServiceId& service) {
        return doubtful || mixed.count(service) > 0;
      });
  return report;
}

void StreamVersions::OnReport(Time now, const StreamVersionReport& report,
                              std::optional<Time> reported_after) {
  for (const VersionSighting& sighting : report.sightings) {
    history_.OnSighting(now, sighting);
  }
  for (const StreamOrigin& origin : report.origins) {
    origins_.AddKnown(origin, false);
  }
  if (!reported_after || report.knowledge_age == Duration::max()) return;
  const Time as_of = *reported_after - report.knowledge_age;
  OnKnowledge(as_of);
  if (report.is_complete) OnHistory(as_of);
}

}  // namespace corianderlink
