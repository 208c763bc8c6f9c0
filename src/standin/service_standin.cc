#include "standin/service_standin.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <thread>

namespace limpethaven {
namespace {

constexpr std::chrono::milliseconds kSlowAnswerDelay(3000);

}  // namespace

ServiceStandin::ServiceStandin(std::string listen_address, int port)
    : address(std::move(listen_address)),
      server(
          ThreadedHttpServerSettings{.address = this->address, .port = port}) {
  httplib::Server& routes = this->server.Routes();
  routes.Get("/runs",
             [this](const httplib::Request&, httplib::Response& response) {
               const std::lock_guard lock(this->mutex);
               response.set_content(nlohmann::json(this->run_counts).dump(),
                                    "application/json");
             });
  routes.Get("/seen", [this](const httplib::Request& request,
                             httplib::Response& response) {
    const bool found = this->seen.Contains(request.get_param_value("text"));
    response.set_content(found ? "true" : "false", "application/json");
  });
  routes.Post("/faults", [this](const httplib::Request& request,
                                httplib::Response& response) {
    this->SetFault(request.body == "no_answer" ? ServiceFault::kNoAnswer
                   : request.body == "slow"    ? ServiceFault::kSlow
                                               : ServiceFault::kNone);
    response.set_content("{}", "application/json");
  });
  const auto serve = [this](const httplib::Request& request,
                            httplib::Response& response) {
    this->Serve(request, response);
  };
  routes.Get("/s/.*", serve);
  routes.Post("/s/.*", serve);
  routes.Put("/s/.*", serve);
  routes.Patch("/s/.*", serve);
  routes.Delete("/s/.*", serve);
}

ServiceStandin::~ServiceStandin() { this->Stop(); }

Result<void> ServiceStandin::Start() { return this->server.Start(); }

void ServiceStandin::Stop() { this->server.Stop(); }

std::string ServiceStandin::Address() const {
  return this->address + ":" + std::to_string(this->server.Port());
}

void ServiceStandin::SetFault(ServiceFault new_fault) {
  const std::lock_guard lock(this->mutex);
  this->fault = new_fault;
}

std::int64_t ServiceStandin::RunCount(std::string_view body) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->run_counts.find(body);
  return found == this->run_counts.end() ? 0 : found->second;
}

const SeenLog& ServiceStandin::Seen() const noexcept { return this->seen; }

void ServiceStandin::Serve(const httplib::Request& request,
                           httplib::Response& response) {
  this->seen.Add(request);
  ServiceFault current_fault = ServiceFault::kNone;
  std::int64_t run_count = 0;
  {
    const std::lock_guard lock(this->mutex);
    current_fault = this->fault;
    run_count = ++this->run_counts[request.body];
  }
  if (current_fault == ServiceFault::kSlow) {
    std::this_thread::sleep_for(kSlowAnswerDelay);
  }
  if (current_fault == ServiceFault::kNoAnswer) {
    // A content provider that fails makes the server close the connection,
    // after the request has been read.
    response.set_content_provider(
        1, "text/plain",
        [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
    return;
  }
  const nlohmann::json answer = {
      {"method", request.method},
      {"path", request.target},
      {"request_id", request.get_header_value("Request-Id")},
      {"runs", run_count}};
  response.set_content(answer.dump(), "application/json");
}

}  // namespace limpethaven
