// Relaying a request: requests and parts of prompts that crash upstreams.
#include <string>

#include "corianderlink/Gateway/relay_task.h"
#include "corianderlink/Support/hash.h"

namespace corianderlink {

void RelayTask::CheckForCrash(const Outcome& outcome) {
  if (placement_->prefill_only) return;
  if (outcome.verdict == Verdict::kNotRun) return;
  if (events_received_ >= kAnsweringEvents) return;
  const Placer& placer = context_.placer;
  const UpstreamRecord* upstream =
      placer.directory().Find(placement_->upstream.id);
  // The end of an upstream that leaves is planned.
  if (upstream == nullptr || upstream->draining) return;
  if (placer.notices().IsLeaving(*upstream)) return;
  const UpstreamCrash crash{upstream->id, upstream->started_ms, sent_at_,
                            BootClock::now(), RequestDigest()};
  const auto on_probed = [&context = context_, service = service_.id,
                          request = Suspects(), crash](ProbeResult result) {
    // An upstream that cannot be reached may be behind a cut link.
    if (result != ProbeResult::kGone) return;
    context.report_crash(service, request, crash);
  };
  context_.upstream_probe.Start(*upstream, service_.health_path, on_probed);
}

RequestSuspects RelayTask::Suspects() {
  RequestSuspects request;
  if (is_model_request()) request = SuspectsOf(*request_.prompt);
  request.digest = RequestDigest();
  return request;
}

void RelayTask::ReportAnswered() {
  context_.quarantine.OnAnswered(BootClock::now(), Suspects());
}

bool RelayTask::EndIfQuarantined(Time now) {
  // A verdict may have come due since the last periodic update.
  context_.quarantine.UpdateIfDue(now);
  const auto quarantined = context_.quarantine.Find(now, Suspects(), trial_);
  if (!quarantined) return false;
  context_.metrics.Add("gateway_quarantine_refusals_total");
  const std::string reason = "crashes upstreams: " + ToString(quarantined->key);
  if (possible_runs_ == 0 && !exchange_->response_started()) {
    Refuse(reason, quarantined->ends_at - now);
    return true;
  }
  ReleaseKvHandle();
  FailRequest(Outcome::MayHaveRun(reason));
  return true;
}

bool RelayTask::AwaitTrial(Time now, void (RelayTask::*place_again)()) {
  const TrialId claimed =
      context_.quarantine.ClaimTrial(now, Suspects(), trial_);
  if (claimed == 0) return false;
  trial_ = claimed;
  placement_timer_ = context_.loop.After(
      QuarantineTrials::kSettle, [self = shared_from_this(), place_again] {
        if (!self->finished_) (self.get()->*place_again)();
      });
  return true;
}

uint64_t RelayTask::RequestDigest() {
  if (request_digest_) return *request_digest_;
  const RequestHead& head = exchange_->head();
  std::string text;
  for (const std::string* field :
       {&head.method, &request_.host, &head.target, &request_.credentials}) {
    // The lengths keep the fields apart.
    text += std::to_string(field->size()) + ":" + *field;
  }
  if (request_.prompt) {
    for (const PromptPart& part : request_.prompt->parts) {
      text += FormatPartId(part.id) + ",";
    }
  }
  text += exchange_->body();
  request_digest_ = StableHash(text);
  return *request_digest_;
}

std::string RelayTask::SharedPartsText() const {
  if (!request_.prompt) return "";
  std::string text;
  for (const PromptPart& part : request_.prompt->SharedParts()) {
    text += (text.empty() ? "" : ",") + FormatPartId(part.id);
  }
  return text;
}

}  // namespace corianderlink
