#include "entry/native_source.h"

#include <algorithm>
#include <map>

#include "net/notifier.h"
#include "protocol/engine_messages.h"

namespace limpethaven {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ListedVm, address, data_centre, leaving)

namespace {

constexpr DurationMs kReadTimeoutMs = 2000;
/// Longest pause in the body of a response.
constexpr DurationMs kStallMs = 1000;
/// Time for which the platform holds a long poll that finds no newer version.
constexpr DurationMs kLongPollMs = 5000;
/// Time that the response to a long poll may take beyond that.
constexpr DurationMs kLongPollMarginMs = 2000;
constexpr DurationMs kRetryDelayMs = 500;
/// A paused source is resumed by a notification; it looks this often as well.
constexpr DurationMs kPausedPollMs = 1000;
constexpr DurationMs kVmListPeriodMs = 1000;
constexpr std::size_t kMaxIdleConnectionCount = 4;
/// Number of concurrent calls up to which an endpoint is chosen before others.
/// The published configuration has no such number.
constexpr std::int64_t kEndpointSlotCount = 1024;
constexpr int kOkStatus = 200;
/// The platform has no newer version than the caller.
constexpr int kNoContentStatus = 204;

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
                             record.slots = kEndpointSlotCount;
                             record.leaving = endpoint.leaving;
                             return record;
                           });
  });
  return records;
}

NativeSource::NativeSource(Loop& event_loop, std::string platform_address)
    : loop(event_loop),
      address(std::move(platform_address)),
      pool(event_loop, kMaxIdleConnectionCount),
      resumed(event_loop) {}

void NativeSource::Start(SourceListener& source_listener) {
  this->listener = &source_listener;
  Spawn(this->loop, [this]() -> Task<> { co_await this->WatchHead(); });
  Spawn(this->loop, [this]() -> Task<> { co_await this->PollVmList(); });
}

void NativeSource::Pause() { this->paused = true; }

void NativeSource::Resume() {
  if (!this->paused) return;
  this->paused = false;
  // The connections may have fallen silent while nothing was sent on them.
  this->pool.CloseIdle(this->address);
  this->resumed.Notify();
}

void NativeSource::SetReader(bool reader) { this->is_reader = reader; }

SourceProgress NativeSource::Progress() const {
  return SourceProgress{
      this->complete_at, {0, this->follower.Snapshot()->version}, this->calls};
}

Task<> NativeSource::WatchHead() {
  bool reachable = false;
  for (;;) {
    while (this->paused) {
      co_await this->resumed.WaitUntil(LoopNow() + kPausedPollMs);
    }
    const TimeMs started_at = LoopNow();
    DurationMs wait_ms = reachable ? kLongPollMs : 0;
    DurationMs margin_ms = kLongPollMarginMs;
    if (this->is_reader && reachable) {
      wait_ms = this->reader_settings.NextWaitMs(this->complete_at, started_at);
      margin_ms = this->reader_settings.grace_ms;
    }
    ++this->calls;
    const std::uint64_t known_version = this->follower.Snapshot()->version;
    int status = 0;
    const Result<std::string> text = co_await this->Get(
        "/v1/watch/head?after=" + std::to_string(known_version) +
            "&wait_ms=" + std::to_string(wait_ms),
        wait_ms + margin_ms, status);
    reachable = text.has_value();
    this->listener->OnSourceReachable(reachable);
    if (!reachable) {
      co_await SleepFor(this->loop, kRetryDelayMs);
      continue;
    }
    if (status == kNoContentStatus) {
      this->complete_at =
          WatchCompleteAt(false, started_at, wait_ms, LoopNow());
      continue;
    }
    const Result<ConfigHead> head = DecodeHead(text.value());
    if (!head) {
      this->listener->OnUnreadable("", head.error());
      co_await SleepFor(this->loop, kRetryDelayMs);
      continue;
    }
    const Result<void> adopted = co_await this->Adopt(head.value());
    if (adopted) {
      this->NotifyListener();
      this->complete_at = started_at;
    } else {
      this->listener->OnUnreadable("", adopted.error());
      co_await SleepFor(this->loop, kRetryDelayMs);
    }
  }
}

Task<> NativeSource::PollVmList() {
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
  const HttpResponse answer = co_await FetchResponse(
      this->loop, this->pool, this->address, std::move(bytes),
      LoopNow() + timeout_ms, kMaxFetchedBytes, kStallMs);
  if (answer.fault != CallFault::kNone) {
    co_return Error::Of(ErrorKind::kEndpointFailed,
                        "platform " + this->address + ", GET " + head.target +
                            " failed: " + std::string(NameOf(answer.fault)));
  }
  status = answer.head.status;
  if (status == kOkStatus || status == kNoContentStatus) co_return answer.body;
  co_return Error::Of(ErrorKind::kEndpointFailed,
                      "platform " + this->address + " answered GET " +
                          head.target + " with status " +
                          std::to_string(status));
}

Task<Result<void>> NativeSource::Adopt(ConfigHead head) {
  const std::uint64_t current_version = this->follower.Snapshot()->version;
  const bool contiguous = current_version > 0 && !head.changes.empty() &&
                          head.changes.front().version <= current_version + 1;
  if (contiguous && this->follower.ApplyChanges(head.changes)) {
    co_return Success();
  }
  const Result<std::vector<Entity>> entities = co_await this->ReadChunks(head);
  if (!entities) co_return entities.error();
  co_return this->follower.ApplySnapshot(head.version, head.digest,
                                         entities.value());
}

Task<Result<std::vector<Entity>>> NativeSource::ReadChunks(
    const ConfigHead& head) {
  std::map<std::string, bool> read_digests;
  std::vector<Entity> entities;
  for (const std::string& digest : head.chunks) {
    if (!read_digests.emplace(digest, true).second) continue;
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

void NativeSource::NotifyListener() {
  const Configuration& config = *this->follower.Snapshot();
  this->listener->OnConfiguration(config);
  this->listener->OnAllEndpoints(EndpointsOf(config), {0, config.version},
                                 std::nullopt);
}

}  // namespace limpethaven
