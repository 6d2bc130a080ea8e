// Orders to engines: under the lease, fenced, quiet after another holder.
#include "corianderlink/Gateway/role_duty.h"

#include <gtest/gtest.h>

#include <map>
#include <thread>

#include "Gateway/gateway_test_harness.h"

namespace corianderlink {
namespace {

constexpr Duration kLease = milliseconds(1200);

/// A table of one process, answering from the loop.
class LoopTable {
 public:
  explicit LoopTable(EventLoop& loop) : loop_(loop) {}

  void Commit(const TableTransaction& txn, CommitCallback callback) {
    CommitResult result;
    result.status = CommitStatus::kCommitted;
    if (down) {
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
    if (!down) {
      result.rows.emplace();
      if (rows_[key].version > 0) result.rows->push_back(rows_[key]);
    }
    loop_.Post([callback, result] { callback(result); });
  }
  /// Another process writes the lease row.
  void WriteLease(const std::string& holder, FencingNumber fencing) {
    const LeaseRecord record{ProcessId(holder), fencing,
                             "n" + std::to_string(version_)};
    rows_["roles"] = {"roles", ++version_, EncodeLeaseRecord(record)};
  }
  LeaseRecord Lease() {
    return DecodeLeaseRecord(rows_["roles"].value).value_or(LeaseRecord{});
  }

  bool down = false;

 private:
  EventLoop& loop_;
  std::map<std::string, TableRow> rows_;
  RowVersion version_ = 0;
};

class RoleDutyTest : public ::testing::Test {
 protected:
  RoleDutyTest() {
    record_.id = UpstreamId("e1");
    record_.address = engine_.address;
    record_.role = UpstreamRole::kDecode;
    engine_.on_request = [this](const FakeUpstream::Exchange& exchange) {
      if (exchange->head().method == "GET") {
        exchange->SendResponse(200, {},
                               R"({"phase":"decode","busy":false,"seq":3})");
        return;
      }
      orders_.push_back({BootClock::now(), exchange->body()});
      if (!answer_orders_) return;
      record_.role = UpstreamRole::kPrefill;
      exchange->SendResponse(202, {}, "");
    };
  }

  RoleDutyPorts Ports() {
    RoleDutyPorts ports;
    ports.candidate = [this](Time) { return candidate_; };
    ports.plan = [this](Time) {
      std::vector<RoleChange> changes;
      if (record_.role == UpstreamRole::kDecode) {
        changes.push_back({record_.id, UpstreamRole::kPrefill});
      }
      return changes;
    };
    ports.on_ordered = [](Time, const RoleChange&) {};
    ports.find = [this](const UpstreamId&) { return &record_; };
    ports.set_held = [this](const std::set<UpstreamId>& held) {
      held_ = held;
      if (on_hold_) on_hold_();
    };
    ports.commit = [this](const TableTransaction& txn, CommitCallback done) {
      table_.Commit(txn, std::move(done));
    };
    ports.read = [this](const std::string& key, ReadCallback done) {
      table_.Read(key, std::move(done));
    };
    return ports;
  }

  void RunFor(Duration time) {
    const EventHandle stop = loop_.After(time, [this] { loop_.Stop(); });
    loop_.Run();
  }

  struct Order {
    Time at{};
    std::string body;
  };

  EventLoop loop_;
  UpstreamPool pool_{loop_};
  RandomSource random_{7};
  LoopTable table_{loop_};
  FakeUpstream engine_{loop_, "e1"};
  UpstreamRecord record_;
  std::vector<Order> orders_;
  std::set<UpstreamId> held_;
  std::function<void()> on_hold_;
  bool candidate_ = true;
  bool answer_orders_ = true;
  const OrderCodec codec_ = platform::MakeOrderCodec();
  RoleDuty duty_{loop_,           pool_,  random_, codec_,
                 ProcessId("me"), kLease, Ports()};
};

TEST_F(RoleDutyTest, OrdersOnceUnderTheLeaseAndGivesItBack) {
  duty_.Start();
  RunFor(seconds(1));
  ASSERT_EQ(orders_.size(), 1U);
  EXPECT_NE(orders_[0].body.find(R"("fence":1)"), std::string::npos);
  EXPECT_NE(orders_[0].body.find(R"("expected":3)"), std::string::npos);
  EXPECT_NE(orders_[0].body.find(R"("holder":"me")"), std::string::npos);
  RunFor(seconds(4));
  EXPECT_EQ(orders_.size(), 1U);
  EXPECT_TRUE(table_.Lease().holder.empty());
  EXPECT_TRUE(held_.empty());
}

TEST_F(RoleDutyTest, StaysQuietForTheLeaseTimeAfterAnotherHolder) {
  table_.WriteLease("other", 4);
  const Time start = BootClock::now();
  duty_.Start();
  RunFor(seconds(6));
  ASSERT_EQ(orders_.size(), 1U);
  // The other's last order may have been sent just before the row was seen:
  // its lease has to run out, and the quiet time has to pass after that.
  EXPECT_GE(orders_[0].at - start, 2 * kLease);
  EXPECT_NE(orders_[0].body.find(R"("fence":5)"), std::string::npos);
}

TEST_F(RoleDutyTest, NoOrderOnceTheLeaseMayHaveRunOut) {
  // The store goes away while the gateways are told to hold the engine, for
  // longer than the lease lasts.
  on_hold_ = [this] {
    table_.down = true;
    if (!held_.empty()) {
      std::this_thread::sleep_for(kLease);
    }
  };
  duty_.Start();
  RunFor(seconds(2));
  EXPECT_TRUE(orders_.empty());
}

TEST_F(RoleDutyTest, UnansweredOrderIsNotFollowedByAnother) {
  answer_orders_ = false;
  duty_.Start();
  RunFor(seconds(4));
  EXPECT_EQ(orders_.size(), 1U);
}

TEST_F(RoleDutyTest, ABusyEngineIsNotOrdered) {
  engine_.on_request = [this](const FakeUpstream::Exchange& exchange) {
    if (exchange->head().method == "POST") orders_.push_back({});
    exchange->SendResponse(200, {},
                           R"({"phase":"decode","busy":true,"seq":3})");
  };
  duty_.Start();
  RunFor(seconds(1));
  EXPECT_TRUE(orders_.empty());
}

TEST_F(RoleDutyTest, OnlyACandidateTakesTheDuty) {
  candidate_ = false;
  duty_.Start();
  RunFor(seconds(1));
  EXPECT_TRUE(orders_.empty());
  EXPECT_TRUE(table_.Lease().holder.empty());
}

}  // namespace
}  // namespace corianderlink
