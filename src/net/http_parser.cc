#include "net/http_parser.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <utility>

namespace limpethaven {

namespace http = boost::beast::http;
using boost::system::error_code;

/// Interface to Beast's parser that is the same for requests and responses.
class HttpParser::Reader {
 public:
  virtual ~Reader() = default;
  virtual std::size_t Put(std::string_view bytes, error_code& fault) = 0;
  virtual void PutEof(error_code& fault) = 0;
  virtual void ExpectNoBody() = 0;
  [[nodiscard]] virtual bool Done() const = 0;
  [[nodiscard]] virtual bool HeadDone() const = 0;
  [[nodiscard]] virtual bool NeedsEof() const = 0;

  void RecordFault(const error_code& code) {
    if (!code || code == http::error::need_more) return;
    if (code == http::error::header_limit) {
      this->fault = ParseFault::kHeaderTooLarge;
    } else if (code == http::error::body_limit) {
      this->fault = ParseFault::kBodyTooLarge;
    } else if (code == http::error::partial_message) {
      this->fault = ParseFault::kTruncated;
    } else {
      this->fault = ParseFault::kMalformed;
    }
  }

  RequestHead request;
  ResponseHead response;
  std::string body;
  ParseFault fault = ParseFault::kNone;
  bool started = false;
};

namespace {

using Text = boost::beast::string_view;

std::string_view ViewOf(Text text) { return {text.data(), text.size()}; }

}  // namespace

namespace detail {

/// Range of status codes of HTTP.
constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 599;

/// Whether the end of the message is unambiguous: the head has either the
/// single encoding `chunked`, or a single length, or neither. Beast does not
/// ensure this: it treats some unknown transfer encodings as if there were
/// none.
bool FramingIsValid(const Headers& headers) {
  std::size_t lengths = 0;
  std::size_t encodings = 0;
  bool chunked_only = true;
  std::ranges::for_each(headers.All(), [&](const HttpHeader& header) {
    if (EqualsNoCase(header.name, "Content-Length")) {
      ++lengths;
    } else if (EqualsNoCase(header.name, "Transfer-Encoding")) {
      ++encodings;
      chunked_only = chunked_only && EqualsNoCase(header.value, "chunked");
    }
  });
  return chunked_only && lengths + encodings <= 1;
}

/// Passes bytes to Beast's parser and collects the parts that it reports.
template <bool kIsRequest, typename Base>
class BeastReader final : public Base, private http::basic_parser<kIsRequest> {
  using Parser = http::basic_parser<kIsRequest>;

 public:
  explicit BeastReader(MessageLimits limits) {
    this->header_limit(limits.header_bytes);
    this->body_limit(limits.body_bytes);
    this->eager(true);
  }

  std::size_t Put(std::string_view bytes, error_code& code) override {
    return this->Parser::put(boost::asio::buffer(bytes.data(), bytes.size()),
                             code);
  }
  void PutEof(error_code& code) override { this->Parser::put_eof(code); }
  void ExpectNoBody() override { this->Parser::skip(true); }
  [[nodiscard]] bool Done() const override { return this->Parser::is_done(); }
  [[nodiscard]] bool HeadDone() const override {
    return this->Parser::is_header_done();
  }
  [[nodiscard]] bool NeedsEof() const override {
    return this->Parser::need_eof();
  }

 private:
  void on_request_impl(http::verb, Text method, Text target, int,
                       error_code&) override {
    this->request.method = ViewOf(method);
    this->request.target = ViewOf(target);
  }
  void on_response_impl(int status, Text, int, error_code& code) override {
    this->response.status = status;
    if (status < kFirstStatus || status > kLastStatus) {
      code = http::error::bad_status;
    }
  }
  void on_field_impl(http::field, Text name, Text value, error_code&) override {
    // Trailer fields are ignored: they must not change headers.
    if (this->head_complete) return;
    Headers& headers =
        kIsRequest ? this->request.headers : this->response.headers;
    headers.Add(ViewOf(name), ViewOf(value));
  }
  void on_header_impl(error_code& code) override {
    const Headers& headers =
        kIsRequest ? this->request.headers : this->response.headers;
    if (!FramingIsValid(headers)) code = http::error::bad_transfer_encoding;
    this->request.keep_alive = this->Parser::keep_alive();
    this->response.keep_alive = this->Parser::keep_alive();
    this->head_complete = true;
  }
  void on_body_init_impl(const boost::optional<std::uint64_t>&,
                         error_code&) override {}
  std::size_t on_body_impl(Text bytes, error_code&) override {
    this->body.append(bytes.data(), bytes.size());
    return bytes.size();
  }
  void on_chunk_header_impl(std::uint64_t, Text, error_code&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, Text bytes,
                                 error_code&) override {
    this->body.append(bytes.data(), bytes.size());
    return bytes.size();
  }
  void on_finish_impl(error_code&) override {}

  bool head_complete = false;
};

}  // namespace detail

HttpParser::HttpParser(Kind kind, MessageLimits limits) {
  if (kind == Kind::kRequest) {
    this->reader = std::make_unique<detail::BeastReader<true, Reader>>(limits);
  } else {
    this->reader = std::make_unique<detail::BeastReader<false, Reader>>(limits);
  }
}

HttpParser::~HttpParser() = default;

void HttpParser::ExpectNoBody() { this->reader->ExpectNoBody(); }

std::size_t HttpParser::Put(std::string_view bytes) {
  std::size_t total_consumed = 0;
  this->reader->started = this->reader->started || !bytes.empty();
  while (total_consumed < bytes.size() && !this->Done() &&
         this->Fault() == ParseFault::kNone) {
    error_code fault;
    const std::size_t consumed =
        this->reader->Put(bytes.substr(total_consumed), fault);
    total_consumed += consumed;
    this->reader->RecordFault(fault);
    if (consumed == 0 || fault == http::error::need_more) break;
  }
  return total_consumed;
}

void HttpParser::PutEof() {
  if (!this->reader->started) return;
  error_code fault;
  this->reader->PutEof(fault);
  this->reader->RecordFault(fault);
}

bool HttpParser::HeadDone() const noexcept { return this->reader->HeadDone(); }

bool HttpParser::Done() const noexcept { return this->reader->Done(); }

ParseFault HttpParser::Fault() const noexcept { return this->reader->fault; }

bool HttpParser::Started() const noexcept { return this->reader->started; }

bool HttpParser::CloseDelimited() const noexcept {
  return this->reader->HeadDone() && this->reader->NeedsEof();
}

const RequestHead& HttpParser::Request() const noexcept {
  return this->reader->request;
}

const ResponseHead& HttpParser::Response() const noexcept {
  return this->reader->response;
}

std::string HttpParser::TakeBody() {
  return std::exchange(this->reader->body, {});
}

}  // namespace limpethaven
