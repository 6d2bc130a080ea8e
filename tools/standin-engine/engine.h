// Stand-in for a model engine: continuous batching with priorities, prefix
// cache, late reports, resume, cancel, KV export and import, and orders with
// or without a check of fencing tokens.
#ifndef CORIANDERLINK_TOOLS_STANDIN_ENGINE_ENGINE_H_
#define CORIANDERLINK_TOOLS_STANDIN_ENGINE_ENGINE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "corianderlink/Http/event_loop.h"
#include "corianderlink/Http/http_client.h"
#include "corianderlink/Http/http_server.h"
#include "corianderlink/Support/random.h"
#include "standin-engine/prefix_cache.h"
#include "standin-engine/stream.h"

namespace corianderlink {

struct EngineOptions {
  Address listen;
  std::optional<Address> platform;
  bool check_fencing = true;
  int max_batch = 16;
  int max_queue = 64;
  milliseconds step{10};
  double prefill_tokens_per_s = 20000;
  milliseconds load_time{300};
  milliseconds role_time{500};
  size_t cache_pieces = 64;
};

class StandinEngine {
 public:
  StandinEngine(EventLoop& loop, EngineOptions options);
  bool Listen();

 private:
  using Exchange = std::shared_ptr<HttpExchange>;
  using StreamPtr = std::shared_ptr<Stream>;

  /// Switchable faults.
  struct Faults {
    milliseconds report_lag{0};
    uint64_t event_gap_every = 0;
    bool crash_in_change = false;
    double slow_factor = 1;
  };

  /// Configuration order in progress or last done.
  struct Order {
    uint64_t sequence = 0;
    uint64_t fencing = 0;
    std::string state = "none";
    std::string reason;
    nlohmann::json config;
  };

  struct Report {
    Time at;
    nlohmann::json json;
  };

  void OnRequest(const Exchange& exchange);
  void OnChat(const Exchange& exchange);
  void OnResume(const Exchange& exchange, const std::string& id);
  void OnCancel(const Exchange& exchange, const std::string& id);
  void OnExport(const Exchange& exchange, const std::string& id);
  void OnState(const Exchange& exchange);
  void OnOrder(const Exchange& exchange);
  void OnFaults(const Exchange& exchange);

  void StartChat(const Exchange& exchange, const nlohmann::json& body);
  void ImportKv(const StreamPtr& stream, const std::string& source);
  void Attach(const StreamPtr& stream, const Exchange& exchange, uint64_t from);
  void SendToken(Stream& stream, uint64_t index);
  void FinishStream(Stream& stream);
  void Step();
  void Prefill(const std::vector<StreamPtr>& batch);
  std::vector<StreamPtr> Batch();
  void DropOldStreams(Time now);
  void ApplyOrder(const nlohmann::json& config);
  void FinishOrder();
  void LoadWeights();
  void Reboot();
  bool NeedsPause(const nlohmann::json& config) const;
  size_t InFlight() const;
  nlohmann::json CurrentReport() const;

  EventLoop& loop_;
  const EngineOptions options_;
  HttpClient client_;
  HttpServer server_;
  RandomSource random_;
  PrefixCache cache_;
  Faults faults_;
  std::string boot_id_;
  std::string role_ = "mixed";
  std::vector<std::string> models_;
  std::vector<std::string> adapters_;
  Order order_;
  bool away_ = false;
  uint64_t streams_cut_ = 0;
  uint64_t report_sequence_ = 0;
  nlohmann::json record_ = nlohmann::json::array();
  std::map<std::string, StreamPtr> streams_;
  std::deque<StreamPtr> arrival_order_;
  std::deque<Report> reports_;
  EventHandle step_timer_;
  EventHandle report_timer_;
  EventHandle order_timer_;
};

}  // namespace corianderlink

#endif  // CORIANDERLINK_TOOLS_STANDIN_ENGINE_ENGINE_H_
