#include "entry/native_source.h"

#include <algorithm>
#include <map>

#include "net/notifier.h"
#include "protocol/engine_messages.h"

namespace limpethaven {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ListedVm, address, data_centre, leaving)

namespace {

constexpr DurationMs kReadTimeoutMs = 2000;
constexpr DurationMs kWatchMs = 5000;
constexpr DurationMs kWatchSlackMs = 2000;
constexpr DurationMs kRetryPauseMs = 500;
constexpr DurationMs kVmListPeriodMs = 1000;
constexpr std::size_t kIdleConnections = 4;
/// Calls that one plain endpoint is given at once, before the next is asked.
constexpr std::int64_t kEndpointSlots = 1024;
constexpr int kOk = 200;
constexpr int kNothingNew = 204;

}  // namespace

std::vector<EndpointRecord> EndpointsOf(const Configuration& config) {
  std::vector<EndpointRecord> records;
  std::ranges::for_each(config.pools, [&records](const auto& entry) {
    const PoolSpec& pool = entry.second;
    std::ranges::transform(pool.endpoints, std::back_inserter(records),
                           [&pool](const EndpointSpec& endpoint) {
                             EndpointRecord record;
                             record.id = endpoint.address;
                             record.address = endpoint.address;
                             record.data_centre = endpoint.data_centre;
                             record.pool = pool.name;
                             record.role = pool.role;
                             record.slots = kEndpointSlots;
                             record.leaving = endpoint.leaving;
                             return record;
                           });
  });
  return records;
}

NativeSource::NativeSource(Loop& event_loop, std::string platform_address)
    : loop(event_loop),
      address(std::move(platform_address)),
      pool(event_loop, kIdleConnections) {}

void NativeSource::Start(SourceListener& source_listener) {
  this->listener = &source_listener;
  Spawn(this->loop, [this]() -> Task<> { co_await this->FollowHead(); });
  Spawn(this->loop, [this]() -> Task<> { co_await this->FollowVms(); });
}

Task<> NativeSource::FollowHead() {
  bool answered = false;
  for (;;) {
    const DurationMs wait_ms = answered ? kWatchMs : 0;
    const std::uint64_t known = this->follower.Snapshot()->version;
    int status = 0;
    const Result<std::string> text =
        co_await this->Get("/v1/watch/head?after=" + std::to_string(known) +
                               "&wait_ms=" + std::to_string(wait_ms),
                           wait_ms + kWatchSlackMs, status);
    answered = text.has_value();
    this->listener->OnSourceReachable(answered);
    if (!answered) {
      co_await SleepFor(this->loop, kRetryPauseMs);
      continue;
    }
    if (status == kNothingNew) continue;
    const Result<ConfigHead> head = DecodeHead(text.value());
    if (!head) {
      this->listener->OnUnreadable("", head.error());
      co_await SleepFor(this->loop, kRetryPauseMs);
      continue;
    }
    const Result<void> adopted = co_await this->Adopt(head.value());
    if (adopted) {
      this->Tell();
    } else {
      this->listener->OnUnreadable("", adopted.error());
      co_await SleepFor(this->loop, kRetryPauseMs);
    }
  }
}

Task<> NativeSource::FollowVms() {
  for (;;) {
    int status = 0;
    const Result<std::string> text =
        co_await this->Get("/v1/vms", kReadTimeoutMs, status);
    if (text) {
      const auto vms = ReadJson<std::vector<ListedVm>>(text.value(), "VM list");
      if (vms) {
        this->listener->OnVms(vms.value());
      } else {
        this->listener->OnUnreadable("VM list", vms.error());
      }
    }
    co_await SleepFor(this->loop, kVmListPeriodMs);
  }
}

Task<Result<std::string>> NativeSource::Get(std::string target,
                                            DurationMs timeout_ms,
                                            int& status) {
  RequestHead head{"GET", std::move(target), {}};
  head.headers.Add("Host", this->address);
  std::string bytes = WriteRequest(head, {});
  const HttpResponse answer =
      co_await FetchResponse(this->loop, this->pool, this->address,
                             std::move(bytes), LoopNow() + timeout_ms);
  if (answer.fault != CallFault::kNone) {
    co_return Error::Of(ErrorKind::kEndpointFailed,
                        "platform: " + std::string(NameOf(answer.fault)));
  }
  status = answer.head.status;
  if (status == kOk || status == kNothingNew) co_return answer.body;
  co_return Error::Of(ErrorKind::kEndpointFailed,
                      "platform answered status " + std::to_string(status));
}

Task<Result<void>> NativeSource::Adopt(ConfigHead head) {
  const std::uint64_t have = this->follower.Snapshot()->version;
  const bool covered = have > 0 && !head.changes.empty() &&
                       head.changes.front().version <= have + 1;
  if (covered && this->follower.ApplyChanges(head.changes)) {
    co_return Success();
  }
  const Result<std::vector<Entity>> entities = co_await this->ReadChunks(head);
  if (!entities) co_return entities.error();
  co_return this->follower.ApplySnapshot(head.version, head.digest,
                                         entities.value());
}

Task<Result<std::vector<Entity>>> NativeSource::ReadChunks(
    const ConfigHead& head) {
  std::map<std::string, bool> read;
  std::vector<Entity> entities;
  for (const std::string& digest : head.chunks) {
    if (!read.emplace(digest, true).second) continue;
    int status = 0;
    const Result<std::string> text = co_await this->Get(
        "/v1/values/chunk-" + digest, kReadTimeoutMs, status);
    if (!text) co_return text.error();
    const Result<std::vector<Entity>> chunk = DecodeEntityList(text.value());
    if (!chunk) co_return chunk.error();
    std::ranges::copy(chunk.value(), std::back_inserter(entities));
  }
  co_return entities;
}

void NativeSource::Tell() {
  const Configuration& config = *this->follower.Snapshot();
  this->listener->OnConfiguration(config);
  this->listener->OnAllEndpoints(EndpointsOf(config), config.version, true);
}

}  // namespace limpethaven
