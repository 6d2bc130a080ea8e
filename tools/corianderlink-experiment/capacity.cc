// Slopes of state, time and messages, from the real classes and messages.
#include "corianderlink-experiment/capacity.h"

#include <malloc.h>

#include <cmath>
#include <functional>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "corianderlink-experiment/routing.h"
#include "corianderlink/Authority/lease_record.h"
#include "corianderlink/Authority/order_record.h"
#include "corianderlink/Membership/peer_table.h"
#include "corianderlink/Node/release_follower.h"
#include "corianderlink/Routing/admission_queue.h"
#include "corianderlink/Routing/engine_router.h"
#include "corianderlink/Routing/prefix_index.h"
#include "corianderlink/Serving/claim_ledger.h"
#include "corianderlink/Serving/claim_record.h"
#include "corianderlink/Serving/job_record.h"
#include "corianderlink/Support/hash.h"

namespace corianderlink {
namespace {

/// What one size cost.
struct Point {
  double size = 0;
  double bytes = 0;
  double ns = 0;
};

double HeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

/// Builds something and measures its heap and time; it lives until measured.
Point Measure(double size,
              const std::function<std::shared_ptr<void>()>& build) {
  const double before = HeapBytes();
  const Time begin = BootClock::now();
  const std::shared_ptr<void> kept = build();
  const Time end = BootClock::now();
  return {size, HeapBytes() - before,
          static_cast<double>((end - begin).count())};
}

/// Least squares; the error is the largest relative distance from the line.
void PrintFit(const std::string& item, const std::string& unit,
              const std::vector<Point>& points,
              const std::function<double(const Point&)>& value) {
  double n = 0, sx = 0, sy = 0, sxx = 0, sxy = 0;
  for (const Point& p : points) {
    n += 1;
    sx += p.size;
    sy += value(p);
    sxx += p.size * p.size;
    sxy += p.size * value(p);
  }
  const double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  const double base = (sy - slope * sx) / n;
  double error = 0;
  nlohmann::json sizes = nlohmann::json::array();
  for (const Point& p : points) {
    sizes.push_back({p.size, value(p)});
    const double fitted = base + slope * p.size;
    if (value(p) > 0) {
      error = std::max(error, std::abs(fitted - value(p)) / value(p));
    }
  }
  std::cout << nlohmann::json{{"item", item},           {"unit", unit},
                              {"per_item", slope},      {"base", base},
                              {"largest_error", error}, {"points", sizes}}
                   .dump()
            << std::endl;
}

double Bytes(const Point& p) { return p.bytes; }
double Nanoseconds(const Point& p) { return p.ns; }

DesiredState StateWith(int engines, int accounts) {
  DesiredState state;
  state.revision = 1;
  state.items.models[ModelId("m")] = {"m@1"};
  for (int i = 0; i < engines; ++i) {
    EngineSpec spec;
    spec.address = {
        "10.1." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1),
        9000};
    spec.zone = ZoneId("zone-1");
    spec.models.insert(ModelId("m"));
    const std::string name = "engine-" + std::to_string(i);
    state.items.engines[EngineId(name)] = spec;
    state.last_changes["engines/" + name] = {1, NoteId("first")};
  }
  for (int i = 0; i < accounts; ++i) {
    const std::string name = "account-" + std::to_string(i);
    state.items.accounts[AccountId(name)] = {Sha256Hex(name), 1, 64};
    state.last_changes["accounts/" + name] = {1, NoteId("first")};
  }
  return state;
}

ReleaseNote NoteFor(int number) {
  ReleaseNote note;
  note.id = NoteId("note-" + std::to_string(number));
  note.base_revision = 1;
  EngineSpec spec = StateWith(1, 0).items.engines.begin()->second;
  spec.role = EngineRole::kDecode;
  note.changed.engines[EngineId("engine-0")] = spec;
  return note;
}

void MeasureWorkers() {
  std::vector<Point> points;
  std::vector<Point> decisions;
  for (const int size : {100, 500, 2000, 7400}) {
    points.push_back(Measure(size, [size] {
      auto router = std::make_shared<EngineRouter>(
          RouterLimits(), OutlierEjectorLimits(), ZoneId("z"));
      router->SetEngines(StateWith(size, 0).items.engines);
      EngineReport report;
      report.boot_id = "0123456789abcdef0123456789abcdef";
      report.config.models.insert(ModelId("m"));
      for (const EngineId& id : router->EngineIds()) {
        router->OnReport(Time{seconds(1)}, id, report);
      }
      return router;
    }));
    decisions.push_back(
        {static_cast<double>(size), 0, DecisionNanoseconds(size)});
  }
  PrintFit("worker in the router", "bytes", points, Bytes);
  PrintFit("routing decision by workers", "ns", decisions, Nanoseconds);
}

void MeasureDesiredState() {
  std::vector<Point> states;
  std::vector<Point> frames;
  std::vector<Point> applied;
  for (const int size : {100, 500, 2000, 7400}) {
    states.push_back(Measure(size, [size] {
      return std::make_shared<DesiredState>(StateWith(size, 0));
    }));
    const DesiredState state = StateWith(size, 760);
    frames.push_back({static_cast<double>(size),
                      static_cast<double>(ToJson(state).dump().size()), 0});
    applied.push_back(Measure(size, [&state] {
      std::vector<JsonError> errors;
      ApplyNote(state, NoteFor(1), errors);
      return std::shared_ptr<void>();
    }));
  }
  PrintFit("worker in the desired state", "bytes", states, Bytes);
  PrintFit("worker in the head row (760 accounts)", "bytes", frames, Bytes);
  PrintFit("applying a note by workers in force", "ns", applied, Nanoseconds);
  std::vector<Point> accounts;
  for (const int size : {50, 200, 400, 760}) {
    accounts.push_back(Measure(size, [size] {
      return std::make_shared<DesiredState>(StateWith(0, size));
    }));
  }
  PrintFit("account in the desired state", "bytes", accounts, Bytes);
}

wire::Heartbeat HeartbeatWith(int shares) {
  wire::Heartbeat heartbeat;
  heartbeat.set_instance("instance-123");
  heartbeat.set_kind("entry");
  heartbeat.set_zone("zone-1");
  heartbeat.set_revision(11000);
  heartbeat.set_entry_address("10.1.2.3:8000");
  heartbeat.set_peer_address("10.1.2.3:8001");
  heartbeat.set_prompt_tokens_per_s(1000);
  heartbeat.set_output_tokens_per_s(1000);
  heartbeat.set_store_age_ms(1000);
  for (int i = 0; i < shares; ++i) {
    wire::EngineShare& share = *heartbeat.add_shares();
    share.set_engine("engine-" + std::to_string(1000 + i));
    share.set_requests(10);
    share.set_prefill_tokens(10000);
  }
  return heartbeat;
}

void MeasurePeers() {
  std::vector<Point> peers;
  for (const int size : {10, 50, 200, 790}) {
    peers.push_back(Measure(size, [size] {
      auto table = std::make_shared<PeerTable>(seconds(1));
      for (int i = 0; i < size; ++i) {
        wire::Heartbeat heartbeat = HeartbeatWith(12);
        heartbeat.set_peer_address("10.1." + std::to_string(i / 250) + "." +
                                   std::to_string(i % 250 + 1) + ":1");
        table->OnHeartbeat(Time{seconds(1)},
                           ProcessId("entry-" + std::to_string(i)), heartbeat);
      }
      return table;
    }));
  }
  PrintFit("peer in the table (12 shares)", "bytes", peers, Bytes);
  PrintFit("peer's heartbeat taken in", "ns", peers, Nanoseconds);
  std::vector<Point> frames;
  for (const int size : {0, 12, 50, 200}) {
    wire::Envelope envelope;
    envelope.set_deployment("deployment");
    envelope.set_protocol(1);
    envelope.set_process("entry-instance-123-0123456789ab");
    envelope.set_sequence(1000000);
    *envelope.mutable_heartbeat() = HeartbeatWith(size);
    frames.push_back({static_cast<double>(size),
                      static_cast<double>(envelope.ByteSizeLong()), 0});
  }
  PrintFit("share in a heartbeat frame", "bytes", frames, Bytes);
}

void MeasureNotes() {
  std::vector<Point> notes;
  for (const int size : {10, 50, 200, 1000}) {
    Point point{static_cast<double>(size), 0, 0};
    for (int i = 0; i < size; ++i) {
      wire::Envelope envelope;
      envelope.mutable_release_update()->set_revision(1);
      envelope.mutable_release_update()->set_note_json(
          ToJson(NoteFor(i)).dump());
      point.bytes += static_cast<double>(envelope.ByteSizeLong());
    }
    notes.push_back(point);
  }
  PrintFit("note pushed to one peer", "bytes", notes, Bytes);
}

void MeasureRequests() {
  std::vector<Point> queue;
  std::vector<Point> claims;
  std::vector<Point> pieces;
  for (const int size : {100, 1000, 5000, 20000}) {
    queue.push_back(Measure(size, [size] {
      AdmissionLimits limits;
      limits.max_queued = 1000000;
      auto admission = std::make_shared<AdmissionQueue>(limits);
      for (int i = 0; i < size; ++i) {
        PendingRequest request;
        request.id = RequestId("0123456789abcdef-" + std::to_string(i));
        request.account = AccountId("account-" + std::to_string(i % 760));
        request.model = ModelId("m");
        request.deadline = Time{seconds(100)};
        request.cost_tokens = 1000;
        admission->Offer(Time{seconds(1)}, request, 0);
      }
      return admission;
    }));
    claims.push_back(Measure(size, [size] {
      auto ledger = std::make_shared<ClaimLedger>(seconds(3600));
      for (int i = 0; i < size; ++i) {
        ledger->Track(Time{seconds(1)},
                      "0123456789abcdef0123456789" + std::to_string(i));
      }
      return ledger;
    }));
    pieces.push_back(Measure(size, [size] {
      auto index = std::make_shared<PrefixIndex>(seconds(600), 1000000);
      for (int i = 0; i < size; ++i) {
        index->OnDispatch(Time{seconds(1)}, {static_cast<uint64_t>(i)});
      }
      return index;
    }));
  }
  PrintFit("queued request", "bytes", queue, Bytes);
  PrintFit("queued request, offered", "ns", queue, Nanoseconds);
  PrintFit("remembered claim", "bytes", claims, Bytes);
  PrintFit("cache piece in the index", "bytes", pieces, Bytes);
  PrintFit("cache piece, learned", "ns", pieces, Nanoseconds);
}

void PrintRow(const std::string& item, const std::string& row) {
  std::cout << nlohmann::json{{"item", item},
                              {"unit", "bytes"},
                              {"per_item", row.size()}}
                   .dump()
            << std::endl;
}

void MeasureRows() {
  LeaseRecord lease{ProcessId("fleet-instance-123-0123456789ab"), 1000,
                    std::string(32, 'n')};
  PrintRow("lease row", EncodeLeaseRecord(lease));
  OrderRecord order;
  order.config.models.insert(ModelId("m"));
  order.boot_id = std::string(32, 'b');
  PrintRow("order row", EncodeOrderRecord(order));
  ClaimRecord claim;
  claim.owner = lease.holder;
  claim.owner_address = "10.1.2.3:8001";
  claim.nonce = std::string(32, 'n');
  claim.request_digest = std::string(64, 'd');
  claim.body = std::string(200, 'x');
  PrintRow("claim row (200 bytes of answer)", EncodeClaimRecord(claim));
  JobRecord job;
  job.id = JobId(std::string(32, 'j'));
  job.request = std::string(8000, 'x');
  PrintRow("job row (8,000 bytes of text)", EncodeJobRecord(job));
}

}  // namespace

void RunCapacity() {
  MeasureWorkers();
  MeasureDesiredState();
  MeasurePeers();
  MeasureNotes();
  MeasureRequests();
  MeasureRows();
}

}  // namespace corianderlink
