#include "standin/engine_standin.h"

#include <algorithm>
#include <chrono>

#include "limpethaven/crypto.h"
#include "limpethaven/prompt.h"
#include "limpethaven/rendezvous.h"
#include "protocol/engine_messages.h"
#include "protocol/sse.h"

namespace limpethaven {
namespace {

constexpr DurationMs kRetainFinishedMs = 10'000;
constexpr DurationMs kSlowFactor = 10;
constexpr double kStepMsPerRequest = 0.05;
constexpr std::size_t kMaxEvents = 10'000;
constexpr DurationMs kWaitMs = 100;
constexpr DurationMs kKvFetchTimeoutMs = 500;
constexpr std::int64_t kMinVariableLength = 8;

void SleepMs(double milliseconds) {
  std::this_thread::sleep_for(
      std::chrono::duration<double, std::milli>(milliseconds));
}

void Answer(httplib::Response& response, const Result<std::string>& result) {
  if (result) {
    response.set_content(result.value(), "application/json");
  } else {
    WriteRefusal(response, result.error());
  }
}

template <typename T>
Result<std::string> AsJson(const Result<T>& result) {
  if (!result) return result.error();
  if constexpr (std::is_void_v<T>) {
    return std::string("{}");
  } else {
    return WriteJson(result.value());
  }
}

}  // namespace

std::string TokenText(std::string_view request_id, std::int64_t index) {
  const std::uint64_t word =
      StableHash(std::string(request_id) + "/" + std::to_string(index));
  return " t" + std::to_string(index) + "." + std::to_string(word % 1000);
}

std::int64_t AnswerLength(std::string_view request_id,
                          std::int64_t max_tokens) {
  if (max_tokens <= kMinVariableLength) return max_tokens;
  const std::int64_t half = max_tokens / 2;
  const auto spread = static_cast<std::uint64_t>(max_tokens - half + 1);
  return half + static_cast<std::int64_t>(StableHash(request_id) % spread);
}

std::string AnswerText(std::string_view request_id, std::int64_t max_tokens) {
  std::string text;
  for (std::int64_t index = 0; index < AnswerLength(request_id, max_tokens);
       ++index) {
    text += TokenText(request_id, index);
  }
  return text;
}

EngineStandin::EngineStandin(EngineStandinSettings initial)
    : settings(std::move(initial)),
      server(ThreadedHttpServerSettings{.address = this->settings.address,
                                        .port = this->settings.port}) {
  this->state.role = this->settings.role;
  this->AddRoutes();
}

EngineStandin::~EngineStandin() { this->Stop(); }

Result<void> EngineStandin::Start() {
  BOOST_OUTCOME_TRY(this->server.Start());
  this->stepper.Start(this->settings.step_ms, [this] { this->Step(); });
  return Success();
}

void EngineStandin::Stop() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->progress.notify_all();
  this->stepper.Stop();
  this->server.Stop();
}

std::string EngineStandin::Address() const {
  return this->settings.address + ":" + std::to_string(this->server.Port());
}

void EngineStandin::SetFault(EngineFault next) {
  const std::lock_guard lock(this->mutex);
  this->fault = next;
  if (next == EngineFault::kSilent) this->silent_before = this->next_stream;
  this->progress.notify_all();
}

void EngineStandin::DropStreams() {
  const std::lock_guard lock(this->mutex);
  this->dropped_before = this->next_stream;
  this->progress.notify_all();
}

std::int64_t EngineStandin::PiecesUsed() const {
  const std::lock_guard lock(this->mutex);
  return this->PiecesUsedLocked();
}

std::int64_t EngineStandin::AttemptsOf(std::string_view request_id) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->attempts.find(request_id);
  return found == this->attempts.end() ? 0 : found->second;
}

std::int64_t EngineStandin::OrdersRefused() const {
  const std::lock_guard lock(this->mutex);
  return this->orders_refused;
}

const SeenLog& EngineStandin::Seen() const noexcept { return this->seen; }

void EngineStandin::AddRoutes() {
  httplib::Server& routes = this->server.Routes();
  routes.Post("/prefill", [this](const httplib::Request& request,
                                 httplib::Response& response) {
    this->seen.Add(request);
    Answer(response, AsJson(this->Prefill(request.body)));
  });
  routes.Post("/generate", [this](const httplib::Request& request,
                                  httplib::Response& response) {
    this->seen.Add(request);
    std::int64_t offset = 0;
    const auto begun = this->Begin(request.body, offset);
    if (!begun) return WriteRefusal(response, begun.error());
    this->Stream(begun.value(), offset, response);
  });
  routes.Post("/cancel", [this](const httplib::Request& request,
                                httplib::Response& response) {
    this->seen.Add(request);
    Answer(response, AsJson(this->Cancel(request.body)));
  });
  routes.Post("/orders", [this](const httplib::Request& request,
                                httplib::Response& response) {
    Answer(response, AsJson(this->Order(request.body)));
  });
  routes.Get("/kv", [this](const httplib::Request& request,
                           httplib::Response& response) {
    const std::lock_guard lock(this->mutex);
    const auto entry = this->kv.find(request.get_param_value("handle"));
    if (entry == this->kv.end() ||
        this->clock.Now() >= entry->second.expires_at) {
      return WriteRefusal(
          response, Error::Of(ErrorKind::kStreamGone, "KV cache has expired"));
    }
    response.set_content(std::to_string(entry->second.tokens),
                         "application/json");
    this->kv.erase(entry);
  });
  routes.Get(
      "/load", [this](const httplib::Request&, httplib::Response& response) {
        const std::lock_guard lock(this->mutex);
        const EngineLoad load =
            this->reports.empty() ? EngineLoad{} : this->reports.front().second;
        response.set_content(WriteJson(load), "application/json");
      });
  routes.Get("/cache_events", [this](const httplib::Request& request,
                                     httplib::Response& response) {
    const std::int64_t after =
        std::atoll(request.get_param_value("after").c_str());
    const std::lock_guard lock(this->mutex);
    std::vector<CacheEvent> newer;
    std::ranges::copy_if(
        this->events, std::back_inserter(newer),
        [after](const CacheEvent& event) { return event.number > after; });
    response.set_content(WriteJson(newer), "application/json");
  });
  routes.Get("/state",
             [this](const httplib::Request&, httplib::Response& response) {
               const std::lock_guard lock(this->mutex);
               response.set_content(WriteJson(this->state), "application/json");
             });
  routes.Post("/faults", [this](const httplib::Request& request,
                                httplib::Response& response) {
    constexpr std::array<std::string_view, 7> kNames = {
        "none", "stall", "silent", "late", "crossed", "slow", "refuse"};
    if (request.body == "die") std::_Exit(137);
    const auto found = std::ranges::find(kNames, request.body);
    if (found == kNames.end()) {
      return WriteRefusal(response,
                          Error::Of(ErrorKind::kBadRequest, "unknown fault"));
    }
    this->SetFault(static_cast<EngineFault>(found - kNames.begin()));
    response.set_content("{}", "application/json");
  });
  routes.Get("/seen", [this](const httplib::Request& request,
                             httplib::Response& response) {
    const bool found = this->seen.Contains(request.get_param_value("text"));
    response.set_content(found ? "true" : "false", "application/json");
  });
}

Result<PrefillAnswer> EngineStandin::Prefill(const std::string& body) {
  BOOST_OUTCOME_TRY(call, ReadJson<PrefillBody>(body, "prefill"));
  const TimeMs started = this->clock.Now();
  const std::vector<std::uint64_t> blocks = PrefixBlockHashes(call.prompt);
  const std::lock_guard computing(this->compute);
  Tokens cached = 0;
  {
    const std::lock_guard lock(this->mutex);
    if (this->fault == EngineFault::kRefuse) {
      return Error::Of(ErrorKind::kCapacity, "engine refuses work");
    }
    const auto miss =
        std::ranges::find_if_not(blocks, [this](std::uint64_t block) {
          return std::ranges::find(this->cache, block) != this->cache.end();
        });
    cached = (miss - blocks.begin()) * static_cast<Tokens>(1000);
  }
  const Tokens uncached = std::max<Tokens>(1, call.prompt_tokens - cached);
  SleepMs(static_cast<double>(uncached) * this->settings.prefill_ms_per_token);
  const std::lock_guard lock(this->mutex);
  std::ranges::for_each(blocks, [this](std::uint64_t block) {
    const auto held = std::ranges::find(this->cache, block);
    if (held != this->cache.end()) {
      this->cache.erase(held);
    } else {
      this->RecordCacheEvent(block, true);
    }
    this->cache.push_back(block);
    if (this->cache.size() <= this->settings.cache_blocks) return;
    this->RecordCacheEvent(this->cache.front(), false);
    this->cache.pop_front();
  });
  const std::string handle = RandomHex(8);
  this->kv.emplace(handle,
                   KvEntry{call.prompt_tokens,
                           this->clock.Now() + this->settings.kv_lifetime_ms});
  return PrefillAnswer{handle, std::min(cached, call.prompt_tokens),
                       this->clock.Now() - started};
}

Result<EngineStandin::RunningPtr> EngineStandin::Begin(const std::string& body,
                                                       std::int64_t& offset) {
  BOOST_OUTCOME_TRY(call, ReadJson<GenerateBody>(body, "generate"));
  offset = call.offset;
  {
    const std::lock_guard lock(this->mutex);
    if (this->fault == EngineFault::kRefuse) {
      return Error::Of(ErrorKind::kCapacity, "engine refuses work");
    }
    const auto found = this->running.find(call.attempt);
    const bool known =
        found != this->running.end() && !found->second->cancelled;
    if (call.resume) {
      if (!known || call.offset < found->second->first) {
        return Error::Of(ErrorKind::kStreamGone,
                         "the attempt is not held here");
      }
      if (call.expected_attachment != 0 &&
          call.expected_attachment < found->second->attachment) {
        return Error::Of(ErrorKind::kSuperseded, "a newer stream took over");
      }
      return found->second;
    }
    if (known) {
      return Error::Of(ErrorKind::kTicketUsed,
                       "the attempt was started before");
    }
    if (this->cancelled.contains(call.attempt)) {
      return Error::Of(ErrorKind::kCancelled, "the attempt was cancelled");
    }
    if (this->PiecesUsedLocked() + call.pieces > this->settings.pieces) {
      return Error::Of(ErrorKind::kCapacity, "engine memory is full");
    }
    auto begun = std::make_shared<Running>();
    begun->request_id = call.request_id;
    begun->attempt = call.attempt;
    begun->pieces = call.pieces;
    begun->first = call.offset;
    begun->produced = call.offset;
    // The answer starts to grow once the KV cache is here.
    begun->length = call.offset;
    begun->started_at = this->clock.Now();
    begun->detached_at = begun->started_at;
    this->running.insert_or_assign(call.attempt, begun);
    ++this->attempts[call.request_id];
  }
  const auto imported = this->ImportKv(call.kv_source, call.kv_handle);
  const std::lock_guard lock(this->mutex);
  const RunningPtr begun = this->running.at(call.attempt);
  if (!imported) {
    this->running.erase(call.attempt);
    return imported.error();
  }
  begun->length =
      std::max(call.offset,
               AnswerLength(call.request_id, call.offset + call.max_tokens));
  if (begun->Done()) begun->finished_at = this->clock.Now();
  return begun;
}

Result<void> EngineStandin::ImportKv(const std::string& source,
                                     const std::string& handle) {
  BOOST_OUTCOME_TRY(response,
                    this->pool.Send(source, GetRequest("/kv?handle=" + handle),
                                    kKvFetchTimeoutMs));
  if (response.status != 200) {
    return Error::Of(ErrorKind::kEndpointFailed, "the KV cache is gone");
  }
  const double mbytes =
      std::stod(response.body) * this->settings.kv_mbytes_per_token;
  const std::lock_guard transferring(this->link);
  SleepMs(mbytes / this->settings.link_mbytes_per_s * 1000.0);
  return Success();
}

Result<void> EngineStandin::Cancel(const std::string& body) {
  BOOST_OUTCOME_TRY(call, ReadJson<CancelBody>(body, "cancel"));
  const std::lock_guard lock(this->mutex);
  const auto found = this->running.find(call.attempt);
  if (found != this->running.end()) {
    if (call.attachment != 0 && call.attachment < found->second->attachment) {
      return Error::Of(ErrorKind::kSuperseded, "a newer stream took over");
    }
    found->second->cancelled = true;
    this->running.erase(found);
  }
  this->cancelled.insert_or_assign(call.attempt, this->clock.Now());
  this->progress.notify_all();
  return Success();
}

Result<void> EngineStandin::Order(const std::string& body) {
  BOOST_OUTCOME_TRY(order, ReadJson<EngineOrder>(body, "order"));
  const std::lock_guard lock(this->mutex);
  if (this->settings.checks_fencing && order.fence < this->state.fence) {
    ++this->orders_refused;
    return Error::Of(ErrorKind::kSuperseded, "the fencing number is old");
  }
  this->state = EngineState{order.model, order.model_version, order.role,
                            this->settings.checks_fencing ? order.fence : 0};
  return Success();
}

void EngineStandin::Stream(const RunningPtr& stream, std::int64_t offset,
                           httplib::Response& response) {
  std::int64_t attachment = 0;
  std::int64_t number = 0;
  {
    const std::lock_guard lock(this->mutex);
    attachment = ++stream->attachment;
    number = this->next_stream++;
    stream->attached = true;
  }
  this->progress.notify_all();
  response.set_chunked_content_provider(
      "text/event-stream", [this, stream, attachment, number, offset](
                               std::size_t, httplib::DataSink& sink) mutable {
        while (true) {
          std::unique_lock lock(this->mutex);
          this->progress.wait_for(
              lock, std::chrono::milliseconds(kWaitMs), [&] {
                return this->stopping || stream->cancelled ||
                       stream->attachment != attachment ||
                       stream->produced > offset || stream->finished_at != 0;
              });
          if (this->stopping || stream->cancelled ||
              number < this->dropped_before) {
            break;
          }
          if (stream->attachment != attachment) {
            const StreamEvent end{
                stream->request_id, stream->attempt, offset, 0, "", false, true,
                attachment};
            lock.unlock();
            const std::string text =
                FormatSse(SseEvent{"", "", WriteJson(end)});
            sink.write(text.data(), text.size());
            break;
          }
          const bool silent = number < this->silent_before;
          lock.unlock();
          if (silent) {
            SleepMs(kWaitMs);
            if (!sink.is_writable()) break;
            continue;
          }
          if (!this->Write(stream, attachment, offset, sink)) break;
        }
        sink.done();
        const std::lock_guard lock(this->mutex);
        if (stream->attachment == attachment) {
          stream->attached = false;
          stream->detached_at = this->clock.Now();
        }
        return true;
      });
}

bool EngineStandin::Write(const RunningPtr& stream, std::int64_t attachment,
                          std::int64_t& offset, httplib::DataSink& sink) {
  StreamEvent event;
  std::string text;
  {
    const std::lock_guard lock(this->mutex);
    const std::int64_t end = std::max(offset, stream->produced);
    if (end == offset && stream->finished_at == 0) {
      text = std::string(SseKeepAlive());
    } else {
      event = StreamEvent{stream->request_id,
                          stream->attempt,
                          offset,
                          end - offset,
                          "",
                          stream->finished_at != 0,
                          false,
                          attachment};
      text = this->FaultyPrefix(*stream, offset);
    }
  }
  if (event.request_id.empty()) {
    return sink.is_writable() && sink.write(text.data(), text.size());
  }
  for (std::int64_t index = offset; index < offset + event.count; ++index) {
    event.text += TokenText(event.request_id, index);
  }
  text += FormatSse(SseEvent{"", "", WriteJson(event)});
  if (!sink.write(text.data(), text.size())) return false;
  offset += event.count;
  return !event.last;
}

std::string EngineStandin::FaultyPrefix(const Running& stream,
                                        std::int64_t offset) const {
  StreamEvent event{stream.request_id,
                    stream.attempt,
                    0,
                    1,
                    TokenText(stream.request_id, 0),
                    false,
                    false,
                    stream.attachment};
  if (this->fault == EngineFault::kLate && offset > stream.first) {
    event.offset = offset - 1;
    event.text = TokenText(stream.request_id, offset - 1);
    return FormatSse(SseEvent{"", "", WriteJson(event)});
  }
  if (this->fault == EngineFault::kCrossed) {
    event.request_id = "another-" + stream.request_id;
    event.attempt = "another-" + stream.attempt;
    event.offset = offset;
    event.text = " crossed";
    return FormatSse(SseEvent{"", "", WriteJson(event)});
  }
  return {};
}

void EngineStandin::Step() {
  double extra_ms = 0;
  {
    const std::lock_guard lock(this->mutex);
    const TimeMs now = this->clock.Now();
    if (this->fault != EngineFault::kStall) {
      std::ranges::for_each(this->running, [&](auto& entry) {
        Running& row = *entry.second;
        if (row.Done()) return;
        ++row.produced;
        extra_ms += kStepMsPerRequest;
        if (row.Done()) row.finished_at = now;
      });
    }
    std::erase_if(this->running, [now](const auto& entry) {
      const Running& row = *entry.second;
      return row.finished_at != 0 && !row.attached &&
             now - row.finished_at >= kRetainFinishedMs;
    });
    std::erase_if(this->cancelled, [now](const auto& entry) {
      return now - entry.second >= kRetainFinishedMs;
    });
    std::erase_if(this->kv, [now](const auto& entry) {
      return now >= entry.second.expires_at;
    });
    this->reports.emplace_back(now, this->LoadNow());
    while (this->reports.size() > 1 &&
           now - this->reports[1].first >= this->settings.report_lag_ms) {
      this->reports.pop_front();
    }
    if (this->fault == EngineFault::kSlow) {
      extra_ms += static_cast<double>(this->settings.step_ms * kSlowFactor);
    }
  }
  this->progress.notify_all();
  if (extra_ms > 0) SleepMs(extra_ms);
}

void EngineStandin::RecordCacheEvent(std::uint64_t block, bool added) {
  const std::int64_t number = this->next_event++;
  if (this->settings.event_gap > 0 && number % this->settings.event_gap == 0) {
    return;
  }
  this->events.push_back(CacheEvent{number, block, added});
  if (this->events.size() > kMaxEvents) this->events.pop_front();
}

EngineLoad EngineStandin::LoadNow() const {
  EngineLoad load;
  const TimeMs now = this->clock.Now();
  load.pieces_total = this->settings.pieces;
  load.pieces_used = this->PiecesUsedLocked();
  std::ranges::for_each(this->running, [&](const auto& entry) {
    const Running& row = *entry.second;
    if (row.finished_at != 0) return;
    load.held.push_back(HeldRequest{row.request_id, row.attempt, row.pieces,
                                    now - row.started_at,
                                    row.attached ? 0 : now - row.detached_at});
  });
  return load;
}

std::int64_t EngineStandin::PiecesUsedLocked() const {
  std::int64_t used = 0;
  std::ranges::for_each(this->running, [&used](const auto& entry) {
    if (entry.second->finished_at == 0) used += entry.second->pieces;
  });
  return used;
}

}  // namespace limpethaven
