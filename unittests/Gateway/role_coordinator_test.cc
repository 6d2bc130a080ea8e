// Role orders: sent only under the lease, with its fencing token, and not
// while an earlier holder's orders may still arrive.
#include "corianderlink/Gateway/role_coordinator.h"

#include <gtest/gtest.h>
#include <poll.h>

#include <map>
#include <thread>

#include "Common/raw_tcp_server.h"
#include "Gateway/gateway_test_harness.h"

namespace corianderlink {
namespace {

constexpr Duration kLeaseDuration = milliseconds(1200);

/// An in-memory table that completes its calls from the event loop.
class FakeLeaseTable {
 public:
  explicit FakeLeaseTable(EventLoop& loop) : loop_(loop) {}

  void Commit(const TableTransaction& txn, CommitCallback callback) {
    CommitResult result;
    result.status = CommitStatus::kCommitted;
    if (unreachable) {
      result.status = CommitStatus::kUnknown;
    } else {
      for (const TableCondition& condition : txn.conditions) {
        if (rows_[condition.key].version != condition.version) {
          result.status = CommitStatus::kConflict;
        }
      }
    }
    if (result.status == CommitStatus::kCommitted) {
      result.version = ++version_;
      for (const TableWrite& write : txn.writes) {
        rows_[write.key] = {write.key, version_, write.value.value_or("")};
      }
    }
    loop_.Post([callback, result] { callback(result); });
  }
  void Read(const std::string& key, ReadCallback callback) {
    ReadResult result;
    if (!unreachable) {
      result.rows.emplace();
      if (rows_[key].version > 0) result.rows->push_back(rows_[key]);
    }
    loop_.Post([callback, result] { callback(result); });
  }
  /// Writes the lease's row as another process would.
  void WriteLease(const std::string& holder, FencingToken fencing) {
    const LeaseRecord record{ProcessId(holder), fencing,
                             "n" + std::to_string(version_)};
    rows_["roles"] = {"roles", ++version_, EncodeLeaseRecord(record)};
  }
  /// Writes the lease's row as it stands, malformed or not.
  void WriteLeaseRow(const std::string& value) {
    rows_["roles"] = {"roles", ++version_, value};
  }
  LeaseRecord StoredLease() {
    return DecodeLeaseRecord(rows_["roles"].value).value_or(LeaseRecord{});
  }

  bool unreachable = false;

 private:
  EventLoop& loop_;
  std::map<std::string, TableRow> rows_;
  RowVersion version_ = 0;
};

class RoleCoordinatorTest : public ::testing::Test {
 protected:
  RoleCoordinatorTest() {
    record_.id = UpstreamId("e1");
    record_.address = fake_engine_.address;
    record_.role = UpstreamRole::kDecode;
    fake_engine_.on_request = [this](const FakeUpstream::Exchange& exchange) {
      if (exchange->head().method == "GET") {
        exchange->SendResponse(200, {},
                               R"({"phase":"decode","busy":false,"seq":3})");
        return;
      }
      received_orders_.push_back({BootClock::now(), exchange->body()});
      if (!accept_orders_) return;
      record_.role = UpstreamRole::kPrefill;
      exchange->SendResponse(202, {}, "");
    };
  }

  RoleCoordinatorCallbacks Callbacks() {
    RoleCoordinatorCallbacks callbacks;
    callbacks.is_candidate = [this](Time) { return candidate_; };
    callbacks.plan_changes = [this](Time) {
      std::vector<RoleChange> changes;
      if (record_.role == UpstreamRole::kDecode) {
        changes.push_back({record_.id, UpstreamRole::kPrefill});
      }
      return changes;
    };
    callbacks.on_ordered = [](Time, const RoleChange&) {};
    callbacks.find_engine = [this](const UpstreamId&) { return &record_; };
    callbacks.set_held_engines = [this](const std::set<UpstreamId>& held) {
      held_engines_ = held;
      if (on_held_changed_) on_held_changed_();
    };
    callbacks.commit = [this](const TableTransaction& txn,
                              CommitCallback done) {
      table_.Commit(txn, std::move(done));
    };
    callbacks.read = [this](const std::string& key, ReadCallback done) {
      table_.Read(key, std::move(done));
    };
    return callbacks;
  }

  void RunFor(Duration time) {
    const EventHandle stop = loop_.After(time, [this] { loop_.Stop(); });
    loop_.Run();
  }

  struct ReceivedOrder {
    Time at{};
    std::string body;
  };

  EventLoop loop_;
  UpstreamPool pool_{loop_};
  RandomSource random_{7};
  FakeLeaseTable table_{loop_};
  FakeUpstream fake_engine_{loop_, "e1"};
  UpstreamRecord record_;
  std::vector<ReceivedOrder> received_orders_;
  std::set<UpstreamId> held_engines_;
  std::function<void()> on_held_changed_;
  bool candidate_ = true;
  bool accept_orders_ = true;
  const OrderCodec codec_ = platform::MakeOrderCodec();
  RoleCoordinator coordinator_{loop_,      pool_,           random_,
                               codec_,     ProcessId("me"), kLeaseDuration,
                               Callbacks()};
};

TEST_F(RoleCoordinatorTest, OddLeaseRowEndsNotAllOrders) {
  for (const std::string& row :
       {std::string("7"),
        std::string(R"({"holder":"x","fencing":18446744073709551615,)"
                    R"("nonce":"n"})")}) {
    received_orders_.clear();
    record_.role = UpstreamRole::kDecode;
    table_.WriteLeaseRow(row);
    RoleCoordinator coordinator(loop_, pool_, random_, codec_, ProcessId("me"),
                                kLeaseDuration, Callbacks());
    coordinator.ExchangeFencing(8);
    coordinator.Start();
    // An order right away could meet one of the row's holder.
    RunFor(kLeaseDuration);
    EXPECT_EQ(received_orders_.size(), 0U) << row.substr(0, 80);
    RunFor(seconds(5));
    ASSERT_EQ(received_orders_.size(), 1U) << row.substr(0, 80);
    EXPECT_NE(received_orders_[0].body.find(R"("fence":9)"), std::string::npos)
        << received_orders_[0].body;
  }
}

TEST_F(RoleCoordinatorTest, SendsOneOrderThenReleasesTheLease) {
  coordinator_.Start();
  RunFor(seconds(1));
  ASSERT_EQ(received_orders_.size(), 1U);
  EXPECT_NE(received_orders_[0].body.find(R"("fence":1)"), std::string::npos);
  EXPECT_NE(received_orders_[0].body.find(R"("expected":3)"),
            std::string::npos);
  EXPECT_NE(received_orders_[0].body.find(R"("holder":"me")"),
            std::string::npos);
  RunFor(seconds(4));
  EXPECT_EQ(received_orders_.size(), 1U);
  EXPECT_TRUE(table_.StoredLease().holder.empty());
  EXPECT_TRUE(held_engines_.empty());
}

TEST_F(RoleCoordinatorTest, WaitsUntilAnEarlierHoldersOrdersTimeOut) {
  table_.WriteLease("other", 4);
  const Time start = BootClock::now();
  coordinator_.Start();
  RunFor(seconds(6));
  ASSERT_EQ(received_orders_.size(), 1U);
  // The other holder may have sent its last order just before this process read
  // the row: its lease has to expire first, and then the time for which orders
  // may be in flight has to pass.
  EXPECT_GE(received_orders_[0].at - start, 2 * kLeaseDuration);
  EXPECT_NE(received_orders_[0].body.find(R"("fence":5)"), std::string::npos);
}

TEST_F(RoleCoordinatorTest, SendsNoOrderAfterTheLeaseMayHaveExpired) {
  // The store becomes unreachable while the engine is being held, and the
  // process is suspended for longer than the lease lasts.
  on_held_changed_ = [this] {
    table_.unreachable = true;
    if (!held_engines_.empty()) {
      std::this_thread::sleep_for(kLeaseDuration);
    }
  };
  coordinator_.Start();
  RunFor(seconds(2));
  EXPECT_TRUE(received_orders_.empty());
}

TEST_F(RoleCoordinatorTest, SendsNoOrderAfterAnUnansweredOne) {
  accept_orders_ = false;
  coordinator_.Start();
  RunFor(seconds(4));
  EXPECT_EQ(received_orders_.size(), 1U);
}

TEST_F(RoleCoordinatorTest, SendsNoOrderToABusyEngine) {
  fake_engine_.on_request = [this](const FakeUpstream::Exchange& exchange) {
    if (exchange->head().method == "POST") received_orders_.push_back({});
    exchange->SendResponse(200, {},
                           R"({"phase":"decode","busy":true,"seq":3})");
  };
  coordinator_.Start();
  RunFor(seconds(1));
  EXPECT_TRUE(received_orders_.empty());
}

TEST_F(RoleCoordinatorTest, OnlyACandidateAcquiresTheLease) {
  candidate_ = false;
  coordinator_.Start();
  RunFor(seconds(1));
  EXPECT_TRUE(received_orders_.empty());
  EXPECT_TRUE(table_.StoredLease().holder.empty());
}

constexpr char kRefusal[] =
    "HTTP/1.1 503 Busy\r\nRequest-Id: r1\r\nNot-Run: 1\r\n"
    "Content-Length: 0\r\n\r\n";

/// Serves a connection of an engine that refuses the request r1, and writes the
/// refusal once more before its answer to an order on that connection.
void RepeatRefusalBeforeOrder(int fd) {
  constexpr char kStatus[] = R"({"phase":"decode","busy":false,"seq":3})";
  // Shorter than a call of the coordinator may take.
  constexpr int kAwaitInputMs = 400;
  bool has_refused = false;
  char text[4096];
  pollfd readable{fd, POLLIN, 0};
  while (poll(&readable, 1, kAwaitInputMs) == 1) {
    const ssize_t n = read(fd, text, sizeof(text));
    if (n <= 0) return;
    const std::string request(text, static_cast<size_t>(n));
    std::string answer;
    if (request.find("Request-Id: r1") != std::string::npos) {
      has_refused = true;
      answer = kRefusal;
    } else if (request.starts_with("GET")) {
      answer = "HTTP/1.1 200 OK\r\nContent-Length: " +
               std::to_string(sizeof(kStatus) - 1) + "\r\n\r\n" + kStatus;
    } else {
      answer = (has_refused ? kRefusal : std::string()) +
               "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
    }
    EXPECT_EQ(write(fd, answer.data(), answer.size()),
              static_cast<ssize_t>(answer.size()));
  }
}

TEST_F(RoleCoordinatorTest, AcceptedOrderIsNotTakenForRefused) {
  const RawTcpServer engine(RepeatRefusalBeforeOrder);
  record_.address = engine.address;
  on_held_changed_ = [&] {
    if (held_engines_.empty()) return;
    UpstreamRequest request;
    request.address = engine.address;
    request.method = "POST";
    request.fields = {{"Request-Id", "r1"}};
    pool_.Start(std::move(request), {});
  };
  coordinator_.Start();
  RunFor(milliseconds(2500));
  // The coordinator waits until the engine has changed its role.
  EXPECT_EQ(held_engines_, std::set<UpstreamId>{record_.id});
}

}  // namespace
}  // namespace corianderlink
