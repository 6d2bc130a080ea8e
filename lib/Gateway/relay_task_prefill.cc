// Relaying a request whose prompt is computed by another engine than generates.
#include <utility>

#include "corianderlink/Gateway/relay_task.h"

namespace corianderlink {

void RelayTask::OnPrefillDone() {
  std::optional<std::string> id;
  if (response_->status == 200) id = context_.codec.decode_kv_handle(buffered_);
  if (!id) {
    OnAttemptFailed(Outcome::NotRun("prefill failed: status " +
                                    std::to_string(response_->status)),
                    true);
    return;
  }
  arrivals_.OnPrefilled();
  ReportFirstOutput();
  EndDispatch();
  context_.placer.OnSuccess(placement_->upstream);
  kv_handle_ = KvHandle{placement_->upstream, *id};
  SendDecodeStage();
}

void RelayTask::SendDecodeStage() {
  const Time now = BootClock::now();
  if (EndIfStopping(now, now - exchange_->received_at())) return;
  if (EndIfQuarantined(now)) return;
  if (ForwardIfPartitioned(now)) return;
  if (AwaitTrial(now, &RelayTask::SendDecodeStage)) return;
  const PlacementResult result = context_.placer.PlaceGeneration(
      now, MakePlacementQuery(now), kv_handle_->source);
  if (!result.placement) {
    if (ForwardForLackOfUpstreams(now)) return;
    if (exchange_->response_started()) {
      ReleaseKvHandle();
      ScheduleResume();
      return;
    }
    FailRequest(Outcome::NotRun(result.reason));
    return;
  }
  SendWithPermit(*result.placement, &RelayTask::SendDecodeStage);
}

void RelayTask::ReleaseKvHandle() {
  if (!kv_handle_) return;
  // The engine drops the handle by itself in time.
  if (context_.placer.notices().Blocks(BootClock::now(), kv_handle_->source)) {
    kv_handle_.reset();
    return;
  }
  const auto [method, target] =
      context_.codec.encode_release_kv_handle(kv_handle_->id);
  UpstreamRequest request;
  request.address = kv_handle_->source.address;
  request.method = method;
  request.target = target;
  kv_handle_.reset();
  context_.pool.Start(std::move(request), {});
}

}  // namespace corianderlink
