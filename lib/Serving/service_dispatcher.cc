// Chooses workers for calls to plain services and answers claim queries.
#include "corianderlink/Serving/service_dispatcher.h"

#include <utility>

#include "corianderlink/Support/log.h"

namespace corianderlink {
namespace {

constexpr std::chrono::hours kClaimRetention{1};
constexpr seconds kExpireInterval{10};
constexpr double kRetryBurst = 10;

}  // namespace

ServiceDispatcher::ServiceDispatcher(Node& node)
    : node_(node),
      ledger_(kClaimRetention),
      ejector_({}),
      retry_budget_(node.settings().requests.retry_budget_ratio, kRetryBurst) {
  timer_ = node_.loop().Every(kExpireInterval, [this] {
    ledger_.Expire(BootClock::now());
    std::erase_if(askers_, [](const auto& e) { return e.second.expired(); });
  });
  node_.signal_claim.connect(
      sigc::mem_fun(*this, &ServiceDispatcher::OnClaimMessage));
}

std::shared_ptr<ServiceTask> ServiceDispatcher::Start(ServiceCall call,
                                                      ServiceTask::Done done) {
  auto task =
      std::make_shared<ServiceTask>(*this, std::move(call), std::move(done));
  tasks_.insert(task);
  task->Start();
  return task;
}

void ServiceDispatcher::OnTaskEnded(const std::shared_ptr<ServiceTask>& task) {
  tasks_.erase(task);
}

std::optional<Address> ServiceDispatcher::ChooseWorker(
    Time now, const ServiceId& service, const std::set<Address>& tried) {
  const auto& services = node_.state().items.services;
  const auto it = services.find(service);
  if (it == services.end() || it->second.workers.empty()) return std::nullopt;
  const std::vector<Address>& workers = it->second.workers;
  size_t& next = next_worker_[service];
  std::optional<Address> fallback;
  for (size_t i = 0; i < workers.size(); ++i) {
    const Address& worker = workers[(next + i) % workers.size()];
    if (tried.count(worker) > 0) continue;
    if (!fallback) fallback = worker;
    if (ejector_.IsEjected(now, worker)) continue;
    next = (next + i + 1) % workers.size();
    return worker;
  }
  if (fallback) return fallback;
  next = (next + 1) % workers.size();
  return workers[next];
}

void ServiceDispatcher::OnWorkerResult(Time now, const ServiceId& service,
                                       const Address& worker, bool failed) {
  const auto& services = node_.state().items.services;
  const auto it = services.find(service);
  if (!failed || it == services.end()) return ejector_.OnSuccess(worker);
  ejector_.OnFailure(now, worker, it->second.workers.size());
}

void ServiceDispatcher::QueryOwner(const std::string& owner_address,
                                   const std::string& claim,
                                   const std::string& nonce,
                                   std::shared_ptr<ServiceTask> asker) {
  const bool own = owner_address == node_.addresses().peer.ToString();
  if (own) {
    // A claim of an earlier process at this address is not tracked here and
    // counts as dispatched.
    const RevocationStatus status = ledger_.TryRevoke(nonce);
    node_.loop().Post([asker = std::move(asker), nonce, status] {
      asker->OnOwnerResponse(nonce, status);
    });
    return;
  }
  const auto address = Address::Parse(owner_address);
  if (!address) return;
  askers_.emplace(nonce, asker);
  wire::Envelope envelope;
  envelope.mutable_claim_query()->set_claim(claim);
  envelope.mutable_claim_query()->set_nonce(nonce);
  node_.bus().Send(*address, envelope);
}

void ServiceDispatcher::OnClaimMessage(const wire::Envelope& message) {
  if (message.has_claim_query()) {
    const wire::ClaimQuery& query = message.claim_query();
    const auto& peers = node_.peers().peers();
    const auto peer = peers.find(ProcessId(message.process()));
    // Before a heartbeat of the peer, the address for the response is unknown.
    if (peer == peers.end()) return;
    const RevocationStatus status = ledger_.TryRevoke(query.nonce());
    wire::Envelope reply;
    wire::ClaimAnswer& answer = *reply.mutable_claim_answer();
    answer.set_claim(query.claim());
    answer.set_nonce(query.nonce());
    answer.set_status(status == RevocationStatus::kRevoked
                          ? wire::ClaimAnswer::NEVER
                          : wire::ClaimAnswer::DISPATCHED);
    node_.bus().Send(peer->second.address, reply);
    return;
  }
  const wire::ClaimAnswer& answer = message.claim_answer();
  if (answer.status() == wire::ClaimAnswer::UNKNOWN) return;
  const RevocationStatus status = answer.status() == wire::ClaimAnswer::NEVER
                                      ? RevocationStatus::kRevoked
                                      : RevocationStatus::kDispatched;
  auto [begin, end] = askers_.equal_range(answer.nonce());
  std::vector<std::shared_ptr<ServiceTask>> asking;
  for (auto it = begin; it != end; ++it) {
    if (auto task = it->second.lock()) asking.push_back(std::move(task));
  }
  askers_.erase(begin, end);
  for (const auto& task : asking) task->OnOwnerResponse(answer.nonce(), status);
}

}  // namespace corianderlink
