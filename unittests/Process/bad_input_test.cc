// Invalid input to real entry and fleet processes: they report an error, don't
// crash and still serve other clients.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Process/local_fleet.h"

namespace corianderlink {
namespace {

/// TCP connection on which a test sends arbitrary bytes.
class RawTcpClient {
 public:
  explicit RawTcpClient(const std::string& address) {
    const Address to = Address::Parse(address).value();
    fd_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(to.port);
    inet_pton(AF_INET, to.ip.c_str(), &target.sin_addr);
    connect(fd_, reinterpret_cast<sockaddr*>(&target), sizeof(target));
  }
  ~RawTcpClient() { close(fd_); }

  void Send(const std::string& bytes) {
    size_t at = 0;
    while (at < bytes.size()) {
      const ssize_t n =
          send(fd_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
      if (n <= 0) return;
      at += static_cast<size_t>(n);
    }
  }

  /// Reads until the received bytes contain `end`, the peer closes the
  /// connection or 3 s pass without data; returns all bytes received.
  std::string ReadUntil(const std::string& end) {
    std::string text;
    char buffer[4096];
    pollfd ready{fd_, POLLIN, 0};
    while (text.find(end) == std::string::npos && poll(&ready, 1, 3000) > 0) {
      const ssize_t n = read(fd_, buffer, sizeof(buffer));
      if (n <= 0) break;
      text.append(buffer, static_cast<size_t>(n));
    }
    return text;
  }

 private:
  int fd_;
};

class BadInputTest : public testing::Test {
 protected:
  BadInputTest() : fleet_(3000, 1, 1, 1) {}
  void SetUp() override {
    ASSERT_TRUE(fleet_.Start());
    ASSERT_TRUE(fleet_.ApplyInitialNote());
  }

  /// Expects that a valid request on another connection succeeds.
  void ExpectServing() {
    const HttpResponse chat =
        SendRequest(fleet_.entry(0), "POST", "/v1/chat/completions",
                    LocalFleet::ChatBody("hello", 3, false));
    EXPECT_EQ(chat.status, 200) << chat.body;
    const Json json = Json::parse(chat.body, nullptr, false);
    // Members that common clients of the chat-completions API read.
    for (const char* member : {"id", "object", "created", "model", "choices"}) {
      EXPECT_TRUE(json.contains(member)) << member;
    }
  }

  /// Sends a request that must be rejected without being run; returns the
  /// status and the detail of the error.
  std::string PostRejected(const std::string& target, const std::string& body) {
    const HttpResponse response =
        SendRequest(fleet_.entry(0), "POST", target, body);
    const Json json = Json::parse(response.body, nullptr, false);
    EXPECT_TRUE(json.is_object()) << response.body;
    EXPECT_EQ(json.value("verdict", ""), "not run") << response.body;
    return std::to_string(response.status) + " " + json.value("detail", "");
  }

  LocalFleet fleet_;
};

TEST_F(BadInputTest, MalformedRequestsAreRejectedWithAVerdict) {
  EXPECT_EQ(PostRejected("/v1/chat/completions", "\xff\xfe{").substr(0, 3),
            "400");
  EXPECT_EQ(PostRejected("/v1/chat/completions", "[]").substr(0, 3), "400");
  const std::string errors = PostRejected(
      "/v1/chat/completions",
      R"({"model":7,"messages":[{"role":1}],"max_tokens":-1,"priority":"x"})");
  for (const char* path :
       {"/model", "/messages/0/role", "/max_tokens", "/priority"}) {
    EXPECT_NE(errors.find(path), std::string::npos) << errors;
  }
  EXPECT_EQ(PostRejected("/v1/chat/completions",
                         R"({"model":"none","messages":[{"role":"user"}]})")
                .substr(0, 3),
            "404");
  EXPECT_EQ(PostRejected("/v1/services/none/x", "").substr(0, 3), "404");
  EXPECT_EQ(PostRejected("/nowhere", "").substr(0, 3), "404");
  ExpectServing();
}

TEST_F(BadInputTest, DeeplyNestedBodiesEndNoProcess) {
  constexpr size_t kDepth = 100'000;
  const std::string nested =
      std::string(kDepth, '[') + "1" + std::string(kDepth, ']');
  for (const std::string& body :
       {nested,
        R"({"model":"m1","messages":[{"role":"user","content":)" + nested +
            "}]}",
        R"({"model":"m1","messages":[{"role":"user","content":"x"}],)"
        R"("tools":)" +
            nested + "}"}) {
    EXPECT_EQ(PostRejected("/v1/chat/completions", body).substr(0, 3), "400");
    ExpectServing();
  }
}

TEST_F(BadInputTest, GarbageAndPartialRequestsDoNotAffectOtherClients) {
  for (const std::string& bytes :
       {std::string("\0\1\2\3\xff\xff\r\n\r\n", 10), std::string(5000, 'A'),
        std::string("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: "
                    "99999\r\n\r\n{\"half\":"),
        std::string("POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n"),
        std::string("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "zzzz\r\n"),
        std::string("GET http://[ HTTP/1.1\r\n\r\n"),
        std::string("BREW / HTTP/9.9\r\n\r\n")}) {
    RawTcpClient client(fleet_.entry(0));
    client.Send(bytes);
    ExpectServing();
  }
}

TEST_F(BadInputTest, OversizedHeadersAndBodiesAreRejected) {
  {
    RawTcpClient client(fleet_.entry(0));
    client.Send("GET / HTTP/1.1\r\nX: " + std::string(100000, 'h') +
                "\r\n\r\n");
    EXPECT_EQ(client.ReadUntil("\r\n").find(" 200 "), std::string::npos);
  }
  {
    RawTcpClient client(fleet_.entry(0));
    client.Send("POST /v1/jobs HTTP/1.1\r\nContent-Length: 999999999\r\n\r\n");
    const std::string response = client.ReadUntil("\r\n");
    EXPECT_NE(response.find("413"), std::string::npos) << response;
  }
  ExpectServing();
}

TEST_F(BadInputTest, PipelinedRequestsDoNotBreakAStreamedResponse) {
  RawTcpClient client(fleet_.entry(0));
  const std::string body = LocalFleet::ChatBody("ahead", 40, true);
  client.Send("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\n\r\n" + body);
  for (int i = 0; i < 50; ++i) client.Send("GET /health HTTP/1.1\r\n\r\n");
  EXPECT_NE(client.ReadUntil("[DONE]").find("[DONE]"), std::string::npos);
  ExpectServing();
}

TEST_F(BadInputTest, ConnectionIsReusableAfterAStreamedResponse) {
  RawTcpClient client(fleet_.entry(0));
  const std::string body = LocalFleet::ChatBody("first", 5, true);
  for (int i = 0; i < 3; ++i) {
    client.Send("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
    EXPECT_NE(client.ReadUntil("0\r\n\r\n").find("[DONE]"), std::string::npos);
  }
}

TEST_F(BadInputTest, ClientDisconnectReleasesTheEngine) {
  const HttpResponse broken =
      SendRequest(fleet_.entry(0), "POST", "/v1/chat/completions",
                  LocalFleet::ChatBody("leaves", 5000, true), {}, 500);
  EXPECT_EQ(broken.outcome.verdict, Verdict::kMayHaveRun);
  EXPECT_TRUE(WaitFor(seconds(5), [this] {
    const HttpResponse state =
        SendRequest(fleet_.engine(0), "GET", "/v1/state");
    return Json::parse(state.body)["in_flight"] == 0;
  }));
}

TEST_F(BadInputTest, SlowReaderDoesNotAffectOtherClients) {
  RawTcpClient client(fleet_.entry(0));
  const std::string body = LocalFleet::ChatBody("slow", 100000, true);
  client.Send("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: " +
              std::to_string(body.size()) + "\r\n\r\n" + body);
  ExpectServing();
}

TEST_F(BadInputTest, AdminApiRequiresItsToken) {
  for (const char* target : {"/v1/dump", "/v1/status", "/v1/notes"}) {
    EXPECT_EQ(SendRequest(fleet_.fleet_admin(0), "GET", target).status, 401);
    EXPECT_EQ(SendRequest(fleet_.fleet_admin(0), "GET", target, "",
                          {{"Authorization", "Bearer wrong"}})
                  .status,
              401);
  }
  EXPECT_EQ(fleet_.AddNote(0, "no note").status, 400);
  EXPECT_EQ(fleet_.AddNote(0, {{"id", "x"}}).status, 400);
  ExpectServing();
}

TEST_F(BadInputTest, InvalidFramesOnThePeerAddressAreIgnored) {
  RawTcpClient client(fleet_.AddressAt(310));
  client.Send(std::string("\xff\0\0\0\0\0\0\0\1\x7f", 10) +
              std::string(10000, 'Z'));
  ExpectServing();
}

}  // namespace
}  // namespace corianderlink
