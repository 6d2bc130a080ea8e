// Upstreams and peers that end in the middle of their answer's head: nothing of
// such an answer reaches the client.
#include <gtest/gtest.h>

#include "Common/raw_tcp_server.h"
#include "Gateway/gateway_test_harness.h"
#include "corianderlink/Gateway/forward_task.h"

namespace corianderlink {
namespace {

constexpr char kHead[] =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Stamp: 1.2.3\r\n"
    "Keep-Alive: timeout=9\r\n";

/// Heads that end inside the status line, a name, a value, a line break, and
/// before the empty line.
std::vector<std::string> CutHeads() {
  std::vector<std::string> heads;
  for (const std::string& framing :
       {std::string("Content-Length: 5\r\n"),
        std::string("Transfer-Encoding: chunked\r\n"), std::string()}) {
    const std::string head = kHead + framing + "\r\n";
    for (const size_t length :
         {size_t{4}, size_t{9}, size_t{12}, size_t{15}, size_t{16}, size_t{17},
          size_t{22}, size_t{30}, size_t{33}, head.size() - 12, head.size() - 4,
          head.size() - 3, head.size() - 2, head.size() - 1}) {
      heads.push_back(head.substr(0, length));
    }
  }
  return heads;
}

enum class Ending { kClose, kReset };

void End(int fd, Ending ending) {
  if (ending == Ending::kClose) return;
  // The bytes arrive before the reset does.
  usleep(5'000);
  const linger abort{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
}

void WriteAll(int fd, const std::string& bytes) {
  EXPECT_EQ(write(fd, bytes.data(), bytes.size()),
            static_cast<ssize_t>(bytes.size()));
}

class CutHeadTest : public ::testing::Test {
 protected:
  CutHeadTest() { harness_.Configure(); }

  void SetUpstream(const std::string& service, const Address& address) {
    ++version_;
    harness_.gateway().OnAllUpstreams(
        {{"s" + std::to_string(version_),
          R"({"service":")" + service + R"(","addr":")" + address.ToString() +
              R"(","zone":"z","slots":4,"state":"ready"})",
          version_}},
        {1, version_});
  }

  void ExpectNothingPassedOn(const std::string& target,
                             const std::string& sent) {
    const auto result = harness_.Send("POST", target, {}, "b");
    harness_.Await(result);
    EXPECT_TRUE(result->failed || result->status >= 500)
        << target << " status=" << result->status << " after " << sent;
    EXPECT_EQ(result->body, "") << sent;
    EXPECT_EQ(result->Field("Server-Stamp"), "") << sent;
  }

  GatewayTestHarness harness_;
  uint64_t version_ = 0;
};

TEST_F(CutHeadTest, NoStatusOfACutHeadIsPassedOn) {
  for (const auto& [service, target] :
       {std::pair("shop", "/unsafe/1"), std::pair("shop", "/safe/1"),
        std::pair("chat", "/chat/1"), std::pair("model", "/model/1")}) {
    for (const Ending ending : {Ending::kClose, Ending::kReset}) {
      for (const std::string& head : CutHeads()) {
        const RawTcpServer server([&](int fd) {
          if (!ReadRequest(fd)) return;
          WriteAll(fd, head);
          End(fd, ending);
        });
        SetUpstream(service, server.address);
        ExpectNothingPassedOn(target, head);
      }
    }
  }
}

TEST_F(CutHeadTest, NoStatusOfACutHeadOnAKeptConnectionIsPassedOn) {
  for (const Ending ending : {Ending::kClose, Ending::kReset}) {
    for (const std::string& head : CutHeads()) {
      std::atomic<bool> kept{false};
      const RawTcpServer server([&](int fd) {
        if (!ReadRequest(fd)) return;
        WriteAll(fd,
                 "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nServer-Stamp: 1.2.3\r\n"
                 "Content-Length: 2\r\n\r\nok");
        if (!ReadRequest(fd)) return;
        kept = true;
        WriteAll(fd, head);
        End(fd, ending);
      });
      SetUpstream("shop", server.address);
      const auto first = harness_.Send("POST", "/unsafe/1", {}, "b", "r0");
      harness_.Await(first);
      EXPECT_EQ(first->body, "ok");
      ExpectNothingPassedOn("/unsafe/1", head);
      EXPECT_TRUE(kept);
    }
  }
}

TEST_F(CutHeadTest, CutHeadAfterAnInterimOneIsNotPassedOn) {
  for (const Ending ending : {Ending::kClose, Ending::kReset}) {
    for (const char* head :
         {"HTTP/1.1 100 Continue\r\n\r\n",
          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: r1\r\n",
          "HTTP/1.1 103 Early Hints\r\nRequest-Id: r1\r\n"}) {
      const RawTcpServer server([&](int fd) {
        if (!ReadRequest(fd)) return;
        WriteAll(fd, head);
        End(fd, ending);
      });
      SetUpstream("shop", server.address);
      ExpectNothingPassedOn("/unsafe/1", head);
    }
  }
}

TEST_F(CutHeadTest, EmptyBodyWithoutALengthIsNotFramedAsWhole) {
  for (const char* target : {"/unsafe/1", "/safe/1"}) {
    const RawTcpServer server([&](int fd) {
      if (ReadRequest(fd)) WriteAll(fd, std::string(kHead) + "\r\n");
    });
    SetUpstream("shop", server.address);
    ExpectNothingPassedOn(target, "a head");
  }
}

TEST_F(CutHeadTest, BodyThatEndsShortIsNotFramedAsWhole) {
  for (const Ending ending : {Ending::kClose, Ending::kReset}) {
    for (const std::string& rest :
         {std::string("Content-Length: 5\r\n\r\n"),
          std::string("Content-Length: 5\r\n\r\nhalf"),
          std::string("Transfer-Encoding: chunked\r\n\r\n"),
          std::string("Transfer-Encoding: chunked\r\n\r\n5\r\nhalf"),
          std::string("Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n"),
          std::string(
              "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n")}) {
      for (const auto& [service, target] :
           {std::pair("shop", "/unsafe/1"), std::pair("chat", "/chat/1")}) {
        const RawTcpServer server([&](int fd) {
          if (!ReadRequest(fd)) return;
          WriteAll(fd, kHead + rest);
          End(fd, ending);
        });
        SetUpstream(service, server.address);
        const auto result = harness_.Send("POST", target, {}, "b");
        harness_.Await(result);
        EXPECT_FALSE(result->complete && result->status == 200)
            << target << " body=" << result->body << " after " << rest;
      }
    }
  }
}

/// Hands each request of its client to one peer, which answers as the test
/// says.
class CutPeerTest : public ::testing::Test {
 protected:
  CutPeerTest() {
    context_.choose_peer = [this](Time, const ServiceId&,
                                  const std::set<Address>& tried) {
      return tried.empty() ? peer_ : std::nullopt;
    };
    context_.on_begin = [](const Address&) {};
    context_.on_end = [](const Address&) {};
    front_.Listen(address_);
  }

  std::shared_ptr<ClientResult> Ask(RouteKind kind, const std::string& answer,
                                    Ending ending) {
    const RawTcpServer peer([&](int fd) {
      if (!ReadRequest(fd)) return;
      WriteAll(fd, answer);
      End(fd, ending);
    });
    peer_ = peer.address;
    kind_ = kind;
    auto result = std::make_shared<ClientResult>();
    UpstreamRequest request;
    request.address = address_;
    request.method = "POST";
    request.target = "/x/1";
    request.fields = {{"Host", "h"}, {"Request-Id", "r1"}};
    request.body = "b";
    UpstreamHandlers handlers;
    handlers.on_head = [result](const ResponseHead& head) {
      result->status = head.status;
    };
    handlers.on_body = [result](const std::string& data) {
      result->body += data;
    };
    handlers.on_end = [this, result] {
      result->complete = true;
      loop_.Stop();
    };
    handlers.on_fail = [this, result](const Outcome&) {
      result->failed = true;
      loop_.Stop();
    };
    const auto call = client_.Start(std::move(request), std::move(handlers));
    const EventHandle limit = loop_.After(seconds(3), [this] { loop_.Stop(); });
    loop_.Run();
    return result;
  }

  void Forward(const std::shared_ptr<InboundExchange>& exchange) {
    ForwardedRequest forwarded;
    forwarded.exchange = exchange;
    forwarded.route.kind = kind_;
    forwarded.service = ServiceId("s");
    forwarded.request = codec_.decode_request(exchange->head());
    forwarded.deadline = BootClock::now() + seconds(2);
    std::make_shared<ForwardTask>(context_, std::move(forwarded))->Start();
  }

  EventLoop loop_;
  UpstreamPool pool_{loop_};
  UpstreamPool client_{loop_};
  const RelayCodec codec_ = platform::MakeRelayCodec();
  Metrics metrics_;
  RandomSource random_{7};
  AnswerMemory answer_memory_{1 << 20};
  ForwardContext context_{loop_,    pool_,   codec_,
                          metrics_, random_, answer_memory_};
  std::optional<Address> peer_;
  RouteKind kind_ = RouteKind::kNonIdempotent;
  const Address address_ = FreeAddress();
  InboundServer front_{
      loop_, 100, [this](const std::shared_ptr<InboundExchange>& exchange) {
        Forward(exchange);
      }};
};

TEST_F(CutPeerTest, NoStatusOfACutHeadIsPassedOn) {
  for (const RouteKind kind : {RouteKind::kNonIdempotent, RouteKind::kStream}) {
    for (const Ending ending : {Ending::kClose, Ending::kReset}) {
      for (const std::string& head : CutHeads()) {
        const auto result = Ask(kind, head, ending);
        EXPECT_TRUE(result->failed || result->status >= 500) << head;
        EXPECT_EQ(result->body, "") << head;
      }
    }
  }
}

TEST_F(CutPeerTest, AnswerOfAPeerWithoutAnEndIsNotFramedAsWhole) {
  for (const RouteKind kind : {RouteKind::kNonIdempotent, RouteKind::kStream}) {
    for (const Ending ending : {Ending::kClose, Ending::kReset}) {
      for (const std::string& rest :
           {std::string("\r\n"), std::string("\r\nhalf"),
            std::string("\r\nid: 1\ndata: x\n\n"),
            std::string("Content-Length: 9\r\n\r\nhalf"),
            std::string("Transfer-Encoding: chunked\r\n\r\n"),
            std::string("Transfer-Encoding: chunked\r\n\r\n"
                        "10\r\nid: 1\ndata: x\n\n\r\n")}) {
        const auto result = Ask(kind, kHead + rest, ending);
        EXPECT_FALSE(result->complete && result->status == 200)
            << rest << " body=" << result->body;
      }
    }
  }
}

}  // namespace
}  // namespace corianderlink
