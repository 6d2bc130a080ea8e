// HTTP client that reads answers with the parser of all paths.
#include "corianderlink/Http/http_client.h"

#include <event2/util.h>

#include <utility>

#include "corianderlink/Http/byte_stream.h"
#include "corianderlink/Http/event_loop.h"
#include "corianderlink/Http/message_parser.h"

namespace corianderlink {
namespace {

// A longer answer fails.
constexpr ParserLimits kAnswerLimits{64 * 1024, 64 * 1024 * 1024};

bool IsInterim(const ResponseHead& head) { return head.status < 200; }

bool IsSuccess(const ResponseHead& head) {
  return head.status >= 200 && head.status < 300;
}

// A line break would begin another field or message.
bool FitsOneLine(std::string_view text) {
  return text.find_first_of("\r\n") == std::string_view::npos;
}

std::string SerializeHead(const HttpRequest& request) {
  std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
  HeaderFields fields = {{"Host", request.address.ToString()},
                         {"Connection", "close"}};
  for (const auto& [name, value] : request.headers) {
    if (!FitsOneLine(name) || !FitsOneLine(value)) continue;
    fields.push_back({name, value});
  }
  if (!request.body.empty() || request.method != "GET") {
    fields.push_back({"Content-Length", std::to_string(request.body.size())});
  }
  AppendFields(fields, text);
  return text + "\r\n";
}

/// One call.  Keeps itself alive until its connection is freed.
class ClientCall : public HttpCall,
                   public ByteStreamListener,
                   public std::enable_shared_from_this<ClientCall> {
 public:
  ClientCall(EventLoop& loop, HttpClient::DoneCallback done,
             HttpClient::ChunkCallback on_chunk)
      : loop_(loop), done_(std::move(done)), on_chunk_(std::move(on_chunk)) {}

  void Start(const HttpRequest& request) {
    keep_alive_self_ = shared_from_this();
    if (request.method == "HEAD") method_ = AnsweredMethod::kHead;
    StartParser();
    stream_ = std::make_unique<ByteStream>(loop_, request.address, *this,
                                           request.discard_undelivered
                                               ? PausedPeer::kGiveUp
                                               : PausedPeer::kWaitFor);
    timer_ =
        loop_.After(request.timeout, [this] { Fail("deadline exceeded"); });
    if (!FitsOneLine(request.method + request.target)) {
      loop_.Post([self = keep_alive_self_] { self->Fail("malformed target"); });
      return;
    }
    stream_->Write(SerializeHead(request));
    stream_->Write(request.body);
  }

  void Cancel() override { End(); }

  bool bytes_sent() const override {
    return stream_ == nullptr ? bytes_sent_ : stream_->bytes_sent();
  }

  int fd() const override { return stream_ == nullptr ? -1 : stream_->fd(); }

 private:
  void OnReadable() override {
    const std::shared_ptr<ClientCall> self = keep_alive_self_;
    while (!ended_ && stream_->InputBytes() > 0) {
      const size_t used = parser_->Feed(stream_->Input());
      stream_->Consume(used);
      OnParsed();
      if (used == 0) return;
    }
  }

  void OnParsed() {
    const ParseState state = parser_->state();
    if (state == ParseState::kFailed) {
      Fail("malformed answer: " + parser_->reason());
      return;
    }
    if (state == ParseState::kHead) return;
    if (IsInterim(parser_->head())) {
      // Its fields are no part of the answer.
      StartParser();
      return;
    }
    DeliverChunk();
    if (state == ParseState::kDone) Succeed();
  }

  void StartParser() {
    parser_ = std::make_unique<ResponseParser>(kAnswerLimits, method_);
  }

  void DeliverChunk() {
    const ResponseHead& head = parser_->head();
    if (ended_ || !on_chunk_ || !IsSuccess(head)) return;
    if (parser_->body().empty()) return;
    if (!std::exchange(streaming_, true)) stream_->SetPriority(kStreamPriority);
    on_chunk_(head.status, std::exchange(parser_->body(), {}));
  }

  void OnPeerClosed() override {
    const std::shared_ptr<ClientCall> self = keep_alive_self_;
    OnReadable();
    if (ended_) return;
    parser_->FeedEof();
    if (parser_->state() != ParseState::kDone) {
      Fail("upstream closed the connection");
      return;
    }
    // Only the end of the connection says that the body is complete.
    if (!stream_->EndedInOrder()) {
      Fail("upstream closed the connection before it had the request");
      return;
    }
    Succeed();
  }

  void OnError(const std::string& reason) override {
    const std::shared_ptr<ClientCall> self = keep_alive_self_;
    if (ended_) return;
    // The answer may have come before the connection failed, all of it.
    if (stream_->bytes_sent()) stream_->ReadRemaining();
    OnReadable();
    Fail("connection failed: " + reason);
  }

  void Succeed() {
    if (ended_) return;
    const ResponseHead& head = parser_->head();
    HttpResponse response;
    response.outcome = Outcome::Ran();
    response.status = head.status;
    response.body = std::move(parser_->body());
    for (const HeaderField& field : head.fields) {
      response.headers.emplace_back(field.name, field.value);
    }
    Finish(response);
  }

  void Fail(const std::string& reason) {
    if (ended_) return;
    HttpResponse response;
    response.outcome =
        bytes_sent() ? Outcome::MayHaveRun(reason) : Outcome::NotRun(reason);
    Finish(response);
  }

  void Finish(const HttpResponse& response) {
    const std::shared_ptr<ClientCall> self = keep_alive_self_;
    End();
    if (done_) done_(response);
  }

  void End() {
    if (ended_) return;
    ended_ = true;
    timer_.Reset();
    bytes_sent_ = stream_->bytes_sent();
    stream_->Stop();
    // The stream or the parser may be on the call stack, so the loop frees them
    // later.
    loop_.Post([self = std::exchange(keep_alive_self_, nullptr)] {
      self->stream_.reset();
    });
  }

  EventLoop& loop_;
  HttpClient::DoneCallback done_;
  HttpClient::ChunkCallback on_chunk_;
  std::unique_ptr<ByteStream> stream_;
  AnsweredMethod method_ = AnsweredMethod::kAny;
  std::unique_ptr<ResponseParser> parser_;
  EventHandle timer_;
  std::shared_ptr<ClientCall> keep_alive_self_;
  // Of a call whose stream is gone.
  bool bytes_sent_ = false;
  bool streaming_ = false;
  bool ended_ = false;
};

}  // namespace

std::string HttpResponse::Header(const std::string& name) const {
  for (const auto& [key, value] : headers) {
    if (evutil_ascii_strcasecmp(key.c_str(), name.c_str()) == 0) return value;
  }
  return {};
}

std::shared_ptr<HttpCall> HttpClient::Start(const HttpRequest& request,
                                            DoneCallback done,
                                            ChunkCallback on_chunk) {
  auto call =
      std::make_shared<ClientCall>(loop_, std::move(done), std::move(on_chunk));
  call->Start(request);
  return call;
}

}  // namespace corianderlink
