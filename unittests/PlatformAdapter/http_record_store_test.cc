// The HTTP client of the store against a fake store on loopback.
#include "platform/http_record_store.h"

#include <gtest/gtest.h>

#include <map>

#include "Gateway/gateway_test_harness.h"

namespace corianderlink::platform {
namespace {

using Status = StoreReadResult::Status;

class HttpRecordStoreTest : public ::testing::Test {
 protected:
  StoreReadResult ReadAll() {
    StoreReadResult received;
    store_.ReadAll("t", [&](const StoreReadResult& result) {
      received = result;
      loop_.Stop();
    });
    loop_.Run();
    return received;
  }
  CommitResult Commit() {
    CommitResult received;
    store_.Commit({{{"roles", 4}}, {{"roles", "value"}}},
                  [&](const CommitResult& result) {
                    received = result;
                    loop_.Stop();
                  });
    loop_.Run();
    return received;
  }

  EventLoop loop_;
  FakeUpstream fake_store_{loop_, "store"};
  HttpClient client_{loop_};
  HttpRecordStore store_{client_, fake_store_.address};
};

TEST_F(HttpRecordStoreTest, ReadsSeveralPages) {
  fake_store_.on_request = [this](const FakeUpstream::Exchange& exchange) {
    const bool first = fake_store_.requests.size() == 1;
    exchange->SendResponse(200, {},
                           first
                               ? R"({"rows":[{"key":"a","value":"QQ==","ver":1},
                   {"key":"b","value":"Qg==","ver":2}],
                   "truncated":true,"ver":9,"now_ms":1})"
                               : R"({"rows":[{"key":"b","value":"Qg==","ver":2},
                   {"key":"c","value":"Q0M=","ver":3}],
                   "truncated":false,"ver":11,"now_ms":2})");
  };
  const StoreReadResult result = ReadAll();
  EXPECT_EQ(result.status, Status::kOk);
  // A watch continues from the version of the first page.
  EXPECT_EQ(result.position.version, 9U);
  ASSERT_EQ(result.records.size(), 3U);
  EXPECT_EQ(result.records[2].value, "CC");
}

TEST_F(HttpRecordStoreTest, SilentWatchFailsSoonAfterItsWait) {
  const Time start = BootClock::now();
  StoreReadResult received;
  store_.Watch("t", 5, milliseconds(200), [&](const StoreReadResult& result) {
    received = result;
    loop_.Stop();
  });
  loop_.Run();
  EXPECT_EQ(received.status, Status::kFailed);
  EXPECT_LT(BootClock::now() - start, milliseconds(1000));
}

TEST_F(HttpRecordStoreTest, RemovedRowsHaveNoValue) {
  fake_store_.on_request = [](const FakeUpstream::Exchange& exchange) {
    exchange->SendResponse(
        200, {}, R"({"rows":[{"key":"a","removed":true,"ver":5}],"ver":5})");
  };
  const StoreReadResult result = ReadAll();
  ASSERT_EQ(result.records.size(), 1U);
  EXPECT_FALSE(result.records[0].value);
}

TEST_F(HttpRecordStoreTest, OddRowsHideNoOthers) {
  fake_store_.on_request = [](const FakeUpstream::Exchange& exchange) {
    exchange->SendResponse(
        200, {},
        R"({"rows":[7,null,[],{},{"key":7,"value":"QQ==","ver":1},)"
        R"({"value":"QQ==","ver":1},{"key":"","value":"QQ==","ver":1},)"
        R"({"key":"b","ver":1},{"key":"c","value":7,"ver":1},)"
        R"({"key":"d","value":"?","ver":1},{"key":"e","value":"====","ver":1},)"
        R"({"key":"f","value":"QQ==","ver":"1"},)"
        R"({"key":"g","value":"QQ==","ver":1e300},)"
        R"({"key":"h","value":"QQ==","ver":-1},)"
        R"({"key":"i","key":"j","value":"QQ==","ver":1},)"
        R"({"key":"k","removed":7,"ver":1},)"
        R"({"key":"z","value":"Qg==","ver":2}],"truncated":"no","ver":9})");
  };
  const StoreReadResult result = ReadAll();
  EXPECT_EQ(result.status, Status::kOk);
  std::map<std::string, StoreRecord> records;
  for (const StoreRecord& record : result.records) {
    records[record.key] = record;
  }
  EXPECT_EQ(records["z"].value, "B");
  EXPECT_EQ(records["z"].version, 2U);
  // Their readers tell of rows whose values cannot be read.
  for (const char* key : {"b", "c", "d"}) {
    EXPECT_EQ(records[key].value, "") << key;
  }
}

TEST_F(HttpRecordStoreTest, PageWithoutANewRowEndsTheRead) {
  fake_store_.on_request = [](const FakeUpstream::Exchange& exchange) {
    exchange->SendResponse(
        200, {},
        R"({"rows":[{"key":"a","value":"QQ==","ver":1}],"truncated":true,)"
        R"("ver":9})");
  };
  const EventHandle limit = loop_.After(seconds(1), [this] { loop_.Stop(); });
  EXPECT_EQ(ReadAll().reason, "a page of the store brings no new row");
  EXPECT_EQ(fake_store_.requests.size(), 2U);
}

TEST_F(HttpRecordStoreTest, OddAnswersAreFailures) {
  const std::string nested =
      std::string(100'000, '[') + std::string(100'000, ']');
  for (const std::string& body :
       {nested, "{\"rows\":" + nested + ",\"ver\":1}",
        "{\"rows\":[],\"ver\":1,\"truncated\":" + nested + "}",
        std::string(R"({"rows":[],"ver":"1"})"),
        std::string(R"({"rows":[],"ver":-1})"),
        "{\"rows\":[],\"ver\":" + std::string(400, '9') + "}",
        std::string("{\"rows\":[{\"key\":\"\xff\"}],\"ver\":1}")}) {
    fake_store_.on_request = [&](const FakeUpstream::Exchange& exchange) {
      exchange->SendResponse(200, {}, body);
    };
    EXPECT_EQ(ReadAll().status, Status::kFailed) << body.substr(0, 60);
    EXPECT_NE(Commit().status, CommitStatus::kNotRun) << body.substr(0, 60);
  }
}

TEST_F(HttpRecordStoreTest, DistinguishesLostHistoryFromFailures) {
  fake_store_.on_request = [](const FakeUpstream::Exchange& exchange) {
    exchange->SendResponse(410, {}, "");
  };
  EXPECT_EQ(ReadAll().status, Status::kHistoryLost);
  for (const char* body :
       {"", "[]", R"({"rows":3,"ver":1})", R"({"rows":[]})"}) {
    fake_store_.on_request = [body](const FakeUpstream::Exchange& exchange) {
      exchange->SendResponse(200, {}, body);
    };
    EXPECT_EQ(ReadAll().status, Status::kFailed) << body;
  }
  fake_store_.on_request = [](const FakeUpstream::Exchange& exchange) {
    exchange->Abort();
  };
  EXPECT_EQ(ReadAll().status, Status::kFailed);
}

TEST_F(HttpRecordStoreTest, CommitWithoutAClearResponseIsUnknown) {
  const auto with_status = [this](int status, const char* body) {
    fake_store_.on_request = [status,
                              body](const FakeUpstream::Exchange& exchange) {
      exchange->SendResponse(status, {}, body);
    };
    return Commit();
  };
  const CommitResult done = with_status(200, R"({"ver":12,"now_ms":1})");
  EXPECT_EQ(done.status, CommitStatus::kCommitted);
  EXPECT_EQ(done.version, 12U);
  EXPECT_EQ(with_status(412, R"({"rows":[]})").status, CommitStatus::kConflict);
  EXPECT_EQ(with_status(503, "").status, CommitStatus::kNotRun);
  EXPECT_EQ(with_status(429, "").status, CommitStatus::kNotRun);
  EXPECT_EQ(with_status(200, "garbage").status, CommitStatus::kUnknown);
  EXPECT_EQ(with_status(500, "").status, CommitStatus::kUnknown);
  fake_store_.on_request = [](const FakeUpstream::Exchange& exchange) {
    exchange->Abort();
  };
  EXPECT_EQ(Commit().status, CommitStatus::kUnknown);
}

TEST_F(HttpRecordStoreTest, SendsConditionsAndEncodedValues) {
  fake_store_.on_request = [](const FakeUpstream::Exchange& exchange) {
    exchange->SendResponse(200, {}, R"({"ver":12})");
  };
  Commit();
  ASSERT_EQ(fake_store_.requests.size(), 1U);
  const std::string& body = fake_store_.requests[0]->body();
  EXPECT_NE(body.find(R"("ver":4)"), std::string::npos);
  EXPECT_NE(body.find("dmFsdWU="), std::string::npos);
}

TEST_F(HttpRecordStoreTest, TellsTheEraOfEachResponse) {
  fake_store_.on_request = [](const FakeUpstream::Exchange& exchange) {
    exchange->SendResponse(200, {{"Store-Era", "3"}},
                           R"({"rows":[],"truncated":false,"ver":9})");
  };
  EXPECT_EQ(ReadAll().position, (StorePosition{3, 9}));
  EXPECT_EQ(Commit().era, 3U);
}

TEST_F(HttpRecordStoreTest, ReadFailsIfTheStoreIsRestoredBetweenItsPages) {
  fake_store_.on_request = [this](const FakeUpstream::Exchange& exchange) {
    const bool first = fake_store_.requests.size() == 1;
    exchange->SendResponse(
        200, {{"Store-Era", first ? "1" : "2"}},
        first ? R"({"rows":[{"key":"a","value":"QQ==","ver":1}],
                    "truncated":true,"ver":9})"
              : R"({"rows":[{"key":"b","value":"Qg==","ver":2}],
                    "truncated":false,"ver":4})");
  };
  EXPECT_EQ(ReadAll().status, Status::kFailed);
}

}  // namespace
}  // namespace corianderlink::platform
