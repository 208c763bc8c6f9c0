#include "edge/service_client.h"

#include <algorithm>

#include "edge/http_client.h"

namespace limpethaven {
namespace {

constexpr std::size_t kMaxAnswerBytes = 16'000'000;

}  // namespace

Result<ServiceAnswer> HttpServiceClient::Call(const ServiceCall& call) {
  const auto client = NewHttpClient(call.address, call.timeout_ms);
  httplib::Request request;
  request.method = call.method;
  request.path = call.path;
  request.body = call.body;
  request.set_header("Request-Id", call.request_id);
  std::ranges::for_each(call.headers, [&request](const HttpHeader& header) {
    request.set_header(header.name, header.value);
  });
  ServiceAnswer answer;
  request.content_receiver = [&answer](const char* data, std::size_t length,
                                       std::uint64_t, std::uint64_t) {
    answer.body.append(data, length);
    return answer.body.size() <= kMaxAnswerBytes;
  };
  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  if (!client->send(request, response, error)) {
    return HttpFailure(call.address, error);
  }
  answer.status = response.status;
  answer.content_type = response.get_header_value("Content-Type");
  if (answer.body.empty()) answer.body = std::move(response.body);
  return answer;
}

}  // namespace limpethaven
