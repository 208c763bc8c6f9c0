#include "standin/platform_standin.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "limpethaven/config_codec.h"

namespace limpethaven {
namespace {

constexpr DurationMs kPollPeriodMs = 20;
constexpr DurationMs kMaxWatchMs = 30'000;
constexpr DurationMs kRateWindowMs = 1000;

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream in(path, std::ios::binary);
  return std::string(std::istreambuf_iterator<char>(in),
                     std::istreambuf_iterator<char>());
}

/// Version of an encoded head; 0 when it cannot be decoded.
std::uint64_t HeadVersion(const std::string& head) {
  const auto parsed = DecodeHead(head);
  return parsed ? parsed.value().version : 0;
}

}  // namespace

PlatformStandin::PlatformStandin(PlatformStandinSettings initial)
    : settings(std::move(initial)),
      server(ThreadedHttpServerSettings{.address = this->settings.address,
                                        .port = this->settings.port}) {
  httplib::Server& routes = this->server.Routes();
  routes.Get("/v1/watch/head", [this](const httplib::Request& request,
                                      httplib::Response& response) {
    this->WatchHead(request, response);
  });
  routes.Get(R"(/v1/values/([a-z0-9\-]+))", [this](
                                                const httplib::Request& request,
                                                httplib::Response& response) {
    if (!this->Admit(response)) return;
    const std::string value =
        this->ReadValue(request.matches[1].str() + ".json");
    if (value.empty() || value.size() > kMaxValueBytes) {
      return WriteRefusal(
          response,
          Error::Of(ErrorKind::kUnknownRoute,
                    "no value of 1 to " + std::to_string(kMaxValueBytes) +
                        " bytes under the name " + request.matches[1].str()));
    }
    response.set_content(value, "application/json");
  });
  routes.Get("/v1/vms",
             [this](const httplib::Request&, httplib::Response& response) {
               if (!this->Admit(response)) return;
               const std::lock_guard lock(this->mutex);
               const TimeMs visible_until =
                   this->clock.Now() - this->settings.vm_list_lag_ms;
               const auto newer = std::ranges::find_if(
                   this->vm_lists, [visible_until](const auto& list) {
                     return list.first > visible_until;
                   });
               const bool none = newer == this->vm_lists.begin();
               response.set_content(none ? "[]" : std::prev(newer)->second,
                                    "application/json");
             });
  routes.Post("/faults", [this](const httplib::Request& request,
                                httplib::Response& response) {
    this->SetDown(request.body == "down");
    this->SetStale(request.body == "stale");
    response.set_content("{}", "application/json");
  });
  routes.Get("/calls", [this](const httplib::Request&,
                              httplib::Response& response) {
    response.set_content(std::to_string(this->CallCount()), "application/json");
  });
}

PlatformStandin::~PlatformStandin() { this->Stop(); }

Result<void> PlatformStandin::Start() {
  this->PollFiles();
  BOOST_OUTCOME_TRY(this->server.Start());
  this->poller.Start(kPollPeriodMs, [this] { this->PollFiles(); });
  return Success();
}

void PlatformStandin::Stop() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->head_changed.notify_all();
  this->poller.Stop();
  this->server.Stop();
}

std::string PlatformStandin::Address() const {
  return this->settings.address + ":" + std::to_string(this->server.Port());
}

void PlatformStandin::SetDown(bool is_down) {
  const std::lock_guard lock(this->mutex);
  this->down = is_down;
  this->head_changed.notify_all();
}

void PlatformStandin::SetStale(bool is_stale) {
  const std::lock_guard lock(this->mutex);
  this->stale = is_stale;
  this->stale_values.clear();
}

std::int64_t PlatformStandin::CallCount() const {
  const std::lock_guard lock(this->mutex);
  return this->call_count;
}

bool PlatformStandin::Admit(httplib::Response& response) {
  const std::lock_guard lock(this->mutex);
  const TimeMs now = this->clock.Now();
  if (now - this->window_started_at >= kRateWindowMs) {
    this->window_started_at = now;
    this->window_call_count = 0;
  }
  ++this->call_count;
  ++this->window_call_count;
  if (this->down) {
    response.status = 503;
  } else if (this->window_call_count > this->settings.max_calls_per_s) {
    response.status = 429;
  } else {
    return true;
  }
  response.set_content("{}", "application/json");
  return false;
}

std::string PlatformStandin::ReadValue(const std::string& name) {
  return ReadFile(std::filesystem::path(this->settings.directory) / name);
}

void PlatformStandin::WatchHead(const httplib::Request& request,
                                httplib::Response& response) {
  if (!this->Admit(response)) return;
  const auto after =
      std::strtoull(request.get_param_value("after").c_str(), nullptr, 10);
  const DurationMs wait_ms = std::clamp<DurationMs>(
      std::atoll(request.get_param_value("wait_ms").c_str()), 0, kMaxWatchMs);
  std::unique_lock lock(this->mutex);
  this->head_changed.wait_for(lock, std::chrono::milliseconds(wait_ms), [&] {
    return this->stopping || this->down || HeadVersion(this->head) > after;
  });
  if (this->down || this->stopping) {
    response.status = 503;
    response.set_content("{}", "application/json");
  } else if (HeadVersion(this->head) > after) {
    response.set_content(this->head, "application/json");
  } else {
    response.status = 204;
  }
}

void PlatformStandin::PollFiles() {
  const std::string new_head = this->ReadValue("head.json");
  const std::string vms = this->ReadValue("vms.json");
  const std::lock_guard lock(this->mutex);
  if (!this->stale && new_head != this->head) {
    this->head = new_head;
    this->head_changed.notify_all();
  }
  if (!vms.empty() &&
      (this->vm_lists.empty() || this->vm_lists.back().second != vms)) {
    this->vm_lists.emplace_back(this->clock.Now(), vms);
  }
}

}  // namespace limpethaven
