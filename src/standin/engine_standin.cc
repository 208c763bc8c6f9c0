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

/// Retention of finished attempts and of cancels.
constexpr DurationMs kRetentionMs = 10'000;
/// Step periods that `kSlow` adds to each decode step.
constexpr DurationMs kSlowStepCount = 10;
/// Time that each running request adds to a decode step.
constexpr double kStepMsPerRequest = 0.05;
constexpr std::size_t kMaxCacheEvents = 10'000;
/// Longest time between two writes, or checks, of a stream without tokens.
constexpr DurationMs kKeepAliveMs = 100;
constexpr DurationMs kKvFetchTimeoutMs = 500;
/// Requests for at most this many tokens get an answer of full length.
constexpr std::int64_t kMaxFixedLengthTokens = 8;

void SleepMs(double milliseconds) {
  std::this_thread::sleep_for(
      std::chrono::duration<double, std::milli>(milliseconds));
}

void WriteResult(httplib::Response& response,
                 const Result<std::string>& result) {
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
  const std::uint64_t hash =
      StableHash(std::string(request_id) + "/" + std::to_string(index));
  return " t" + std::to_string(index) + "." + std::to_string(hash % 1000);
}

std::int64_t AnswerLength(std::string_view request_id,
                          std::int64_t max_tokens) {
  if (max_tokens <= kMaxFixedLengthTokens) return max_tokens;
  const std::int64_t min_tokens = max_tokens / 2;
  const auto length_count =
      static_cast<std::uint64_t>(max_tokens - min_tokens + 1);
  return min_tokens +
         static_cast<std::int64_t>(StableHash(request_id) % length_count);
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
  this->stepper.Start(this->settings.step_ms, [this] { this->RunStep(); });
  return Success();
}

void EngineStandin::Stop() {
  {
    const std::lock_guard lock(this->mutex);
    this->stopping = true;
  }
  this->stream_changed.notify_all();
  this->stepper.Stop();
  this->server.Stop();
}

std::string EngineStandin::Address() const {
  return this->settings.address + ":" + std::to_string(this->server.Port());
}

void EngineStandin::SetFault(EngineFault new_fault) {
  const std::lock_guard lock(this->mutex);
  this->fault = new_fault;
  if (new_fault == EngineFault::kSilent) {
    this->silent_before = this->next_stream_number;
  }
  this->stream_changed.notify_all();
}

void EngineStandin::DropStreams() {
  const std::lock_guard lock(this->mutex);
  this->dropped_before = this->next_stream_number;
  this->stream_changed.notify_all();
}

std::int64_t EngineStandin::PiecesUsed() const {
  const std::lock_guard lock(this->mutex);
  return this->PiecesUsedLocked();
}

std::int64_t EngineStandin::AttemptCount(std::string_view request_id) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->attempt_counts.find(request_id);
  return found == this->attempt_counts.end() ? 0 : found->second;
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
    WriteResult(response, AsJson(this->Prefill(request.body)));
  });
  routes.Post("/generate", [this](const httplib::Request& request,
                                  httplib::Response& response) {
    this->seen.Add(request);
    std::int64_t offset = 0;
    const auto attempt = this->StartOrResume(request.body, offset);
    if (!attempt) return WriteRefusal(response, attempt.error());
    this->Stream(attempt.value(), offset, response);
  });
  routes.Post("/cancel", [this](const httplib::Request& request,
                                httplib::Response& response) {
    this->seen.Add(request);
    WriteResult(response, AsJson(this->Cancel(request.body)));
  });
  routes.Post("/orders", [this](const httplib::Request& request,
                                httplib::Response& response) {
    WriteResult(response, AsJson(this->ApplyOrder(request.body)));
  });
  routes.Get("/kv", [this](const httplib::Request& request,
                           httplib::Response& response) {
    const std::lock_guard lock(this->mutex);
    const auto entry = this->kv_entries.find(request.get_param_value("handle"));
    if (entry == this->kv_entries.end() ||
        this->clock.Now() >= entry->second.expires_at) {
      return WriteRefusal(
          response,
          Error::Of(
              ErrorKind::kStreamGone,
              "no KV cache under this handle: expired or fetched before"));
    }
    response.set_content(std::to_string(entry->second.tokens),
                         "application/json");
    this->kv_entries.erase(entry);
  });
  routes.Get("/load",
             [this](const httplib::Request&, httplib::Response& response) {
               const std::lock_guard lock(this->mutex);
               const EngineLoad load = this->load_reports.empty()
                                           ? EngineLoad{}
                                           : this->load_reports.front().second;
               response.set_content(WriteJson(load), "application/json");
             });
  routes.Get("/cache_events", [this](const httplib::Request& request,
                                     httplib::Response& response) {
    const std::int64_t after =
        std::atoll(request.get_param_value("after").c_str());
    const std::lock_guard lock(this->mutex);
    std::vector<CacheEvent> newer;
    std::ranges::copy_if(
        this->cache_events, std::back_inserter(newer),
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
    // In the order of `EngineFault`.
    constexpr std::array<std::string_view, 7> kNames = {
        "none", "stall", "silent", "late", "crossed", "slow", "refuse"};
    // 137 is the exit status of a process that SIGKILL ended.
    if (request.body == "die") std::_Exit(137);
    const auto found = std::ranges::find(kNames, request.body);
    if (found == kNames.end()) {
      return WriteRefusal(response,
                          Error::Of(ErrorKind::kBadRequest,
                                    "unknown engine fault: " + request.body));
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
  const std::lock_guard prefill_lock(this->prefill_mutex);
  Tokens cached = 0;
  {
    const std::lock_guard lock(this->mutex);
    if (this->fault == EngineFault::kRefuse) {
      return Error::Of(ErrorKind::kCapacity,
                       "the engine refuses all work: injected fault");
    }
    const auto miss =
        std::ranges::find_if_not(blocks, [this](std::uint64_t block) {
          return std::ranges::find(this->prefix_cache, block) !=
                 this->prefix_cache.end();
        });
    // A block holds 1,000 tokens.
    cached = (miss - blocks.begin()) * static_cast<Tokens>(1000);
  }
  const Tokens uncached = std::max<Tokens>(1, call.prompt_tokens - cached);
  SleepMs(static_cast<double>(uncached) * this->settings.prefill_ms_per_token);
  const std::lock_guard lock(this->mutex);
  std::ranges::for_each(blocks, [this](std::uint64_t block) {
    const auto cached_block = std::ranges::find(this->prefix_cache, block);
    if (cached_block != this->prefix_cache.end()) {
      this->prefix_cache.erase(cached_block);
    } else {
      this->RecordCacheEvent(block, true);
    }
    this->prefix_cache.push_back(block);
    if (this->prefix_cache.size() <= this->settings.cache_blocks) return;
    this->RecordCacheEvent(this->prefix_cache.front(), false);
    this->prefix_cache.pop_front();
  });
  const std::string handle = RandomHex(8);
  this->kv_entries.emplace(
      handle, KvEntry{call.prompt_tokens,
                      this->clock.Now() + this->settings.kv_ttl_ms});
  return PrefillAnswer{handle, std::min(cached, call.prompt_tokens),
                       this->clock.Now() - started};
}

Result<EngineStandin::AttemptPtr> EngineStandin::StartOrResume(
    const std::string& body, std::int64_t& offset) {
  BOOST_OUTCOME_TRY(call, ReadJson<GenerateBody>(body, "generate"));
  offset = call.offset;
  {
    const std::lock_guard lock(this->mutex);
    if (this->fault == EngineFault::kRefuse) {
      return Error::Of(ErrorKind::kCapacity,
                       "the engine refuses all work: injected fault");
    }
    const auto found = this->attempts.find(call.attempt);
    const bool held =
        found != this->attempts.end() && !found->second->cancelled;
    if (call.resume) {
      if (!held || call.offset < found->second->first_offset) {
        return Error::Of(ErrorKind::kStreamGone,
                         "the engine does not hold this attempt from offset " +
                             std::to_string(call.offset) + " on");
      }
      if (call.expected_attachment != 0 &&
          call.expected_attachment < found->second->attachment) {
        return Error::Of(ErrorKind::kSuperseded,
                         "attachment " +
                             std::to_string(call.expected_attachment) +
                             " was superseded by attachment " +
                             std::to_string(found->second->attachment));
      }
      return found->second;
    }
    if (held) {
      return Error::Of(ErrorKind::kTicketUsed,
                       "the attempt was started before");
    }
    if (this->cancelled_at.contains(call.attempt)) {
      return Error::Of(ErrorKind::kCancelled, "the attempt was cancelled");
    }
    if (this->PiecesUsedLocked() + call.pieces > this->settings.pieces) {
      return Error::Of(ErrorKind::kCapacity,
                       "not enough free memory for " +
                           std::to_string(call.pieces) +
                           " pieces; the engine has " +
                           std::to_string(this->settings.pieces) + " in all");
    }
    auto attempt = std::make_shared<Attempt>();
    attempt->request_id = call.request_id;
    attempt->attempt_id = call.attempt;
    attempt->pieces = call.pieces;
    attempt->first_offset = call.offset;
    attempt->next_offset = call.offset;
    // No token is generated before the KV cache is imported.
    attempt->end_offset = call.offset;
    attempt->started_at = this->clock.Now();
    attempt->detached_at = attempt->started_at;
    this->attempts.insert_or_assign(call.attempt, attempt);
    ++this->attempt_counts[call.request_id];
  }
  const auto imported = this->ImportKv(call.kv_source, call.kv_handle);
  const std::lock_guard lock(this->mutex);
  const AttemptPtr attempt = this->attempts.at(call.attempt);
  if (!imported) {
    this->attempts.erase(call.attempt);
    return imported.error();
  }
  attempt->end_offset =
      std::max(call.offset,
               AnswerLength(call.request_id, call.offset + call.max_tokens));
  if (attempt->Done()) attempt->finished_at = this->clock.Now();
  return attempt;
}

Result<void> EngineStandin::ImportKv(const std::string& source,
                                     const std::string& handle) {
  BOOST_OUTCOME_TRY(response,
                    this->pool.Send(source, GetRequest("/kv?handle=" + handle),
                                    kKvFetchTimeoutMs));
  if (response.status != 200) {
    return Error::Of(ErrorKind::kEndpointFailed,
                     "the prefill engine did not return the KV cache: status " +
                         std::to_string(response.status));
  }
  const double mbytes =
      std::stod(response.body) * this->settings.kv_mbytes_per_token;
  const std::lock_guard import_lock(this->import_mutex);
  SleepMs(mbytes / this->settings.link_mbytes_per_s * 1000.0);
  return Success();
}

Result<void> EngineStandin::Cancel(const std::string& body) {
  BOOST_OUTCOME_TRY(call, ReadJson<CancelBody>(body, "cancel"));
  const std::lock_guard lock(this->mutex);
  const auto found = this->attempts.find(call.attempt);
  if (found != this->attempts.end()) {
    if (call.attachment != 0 && call.attachment < found->second->attachment) {
      return Error::Of(ErrorKind::kSuperseded,
                       "attachment " + std::to_string(call.attachment) +
                           " was superseded by attachment " +
                           std::to_string(found->second->attachment));
    }
    found->second->cancelled = true;
    this->attempts.erase(found);
  }
  this->cancelled_at.insert_or_assign(call.attempt, this->clock.Now());
  this->stream_changed.notify_all();
  return Success();
}

Result<void> EngineStandin::ApplyOrder(const std::string& body) {
  BOOST_OUTCOME_TRY(order, ReadJson<EngineOrder>(body, "order"));
  const std::lock_guard lock(this->mutex);
  if (this->settings.checks_fencing && order.fence < this->state.fence) {
    ++this->orders_refused;
    return Error::Of(ErrorKind::kSuperseded,
                     "fencing token " + std::to_string(order.fence) +
                         " is lower than that of the last order, " +
                         std::to_string(this->state.fence));
  }
  this->state = EngineState{order.model, order.model_version, order.role,
                            this->settings.checks_fencing ? order.fence : 0};
  return Success();
}

void EngineStandin::Stream(const AttemptPtr& attempt, std::int64_t offset,
                           httplib::Response& response) {
  std::int64_t attachment = 0;
  std::int64_t stream_number = 0;
  {
    const std::lock_guard lock(this->mutex);
    attachment = ++attempt->attachment;
    stream_number = this->next_stream_number++;
    attempt->attached = true;
  }
  this->stream_changed.notify_all();
  response.set_chunked_content_provider(
      "text/event-stream", [this, attempt, attachment, stream_number, offset](
                               std::size_t, httplib::DataSink& sink) mutable {
        while (true) {
          std::unique_lock lock(this->mutex);
          this->stream_changed.wait_for(
              lock, std::chrono::milliseconds(kKeepAliveMs), [&] {
                return this->stopping || attempt->cancelled ||
                       attempt->attachment != attachment ||
                       attempt->next_offset > offset ||
                       attempt->finished_at != 0;
              });
          if (this->stopping || attempt->cancelled ||
              stream_number < this->dropped_before) {
            break;
          }
          if (attempt->attachment != attachment) {
            const StreamEvent end{attempt->request_id,
                                  attempt->attempt_id,
                                  offset,
                                  0,
                                  "",
                                  false,
                                  true,
                                  attachment};
            lock.unlock();
            const std::string text =
                FormatSse(SseEvent{"", "", WriteJson(end)});
            sink.write(text.data(), text.size());
            break;
          }
          const bool silent = stream_number < this->silent_before;
          lock.unlock();
          if (silent) {
            SleepMs(kKeepAliveMs);
            if (!sink.is_writable()) break;
            continue;
          }
          if (!this->WriteEvent(attempt, attachment, offset, sink)) break;
        }
        sink.done();
        const std::lock_guard lock(this->mutex);
        if (attempt->attachment == attachment) {
          attempt->attached = false;
          attempt->detached_at = this->clock.Now();
        }
        return true;
      });
}

bool EngineStandin::WriteEvent(const AttemptPtr& attempt,
                               std::int64_t attachment, std::int64_t& offset,
                               httplib::DataSink& sink) {
  StreamEvent event;
  std::string text;
  {
    const std::lock_guard lock(this->mutex);
    const std::int64_t end = std::max(offset, attempt->next_offset);
    if (end == offset && attempt->finished_at == 0) {
      text = std::string(SseKeepAlive());
    } else {
      event = StreamEvent{attempt->request_id,
                          attempt->attempt_id,
                          offset,
                          end - offset,
                          "",
                          attempt->finished_at != 0,
                          false,
                          attachment};
      text = this->FaultyEvent(*attempt, offset);
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

std::string EngineStandin::FaultyEvent(const Attempt& attempt,
                                       std::int64_t offset) const {
  StreamEvent event{attempt.request_id,
                    attempt.attempt_id,
                    0,
                    1,
                    TokenText(attempt.request_id, 0),
                    false,
                    false,
                    attempt.attachment};
  if (this->fault == EngineFault::kLate && offset > attempt.first_offset) {
    event.offset = offset - 1;
    event.text = TokenText(attempt.request_id, offset - 1);
    return FormatSse(SseEvent{"", "", WriteJson(event)});
  }
  if (this->fault == EngineFault::kCrossed) {
    event.request_id = "another-" + attempt.request_id;
    event.attempt = "another-" + attempt.attempt_id;
    event.offset = offset;
    event.text = " crossed";
    return FormatSse(SseEvent{"", "", WriteJson(event)});
  }
  return {};
}

void EngineStandin::RunStep() {
  double extra_ms = 0;
  {
    const std::lock_guard lock(this->mutex);
    const TimeMs now = this->clock.Now();
    if (this->fault != EngineFault::kStall) {
      std::ranges::for_each(this->attempts, [&](auto& entry) {
        Attempt& attempt = *entry.second;
        if (attempt.Done()) return;
        ++attempt.next_offset;
        extra_ms += kStepMsPerRequest;
        if (attempt.Done()) attempt.finished_at = now;
      });
    }
    std::erase_if(this->attempts, [now](const auto& entry) {
      const Attempt& attempt = *entry.second;
      return attempt.finished_at != 0 && !attempt.attached &&
             now - attempt.finished_at >= kRetentionMs;
    });
    std::erase_if(this->cancelled_at, [now](const auto& entry) {
      return now - entry.second >= kRetentionMs;
    });
    std::erase_if(this->kv_entries, [now](const auto& entry) {
      return now >= entry.second.expires_at;
    });
    this->load_reports.emplace_back(now, this->CurrentLoad());
    while (this->load_reports.size() > 1 &&
           now - this->load_reports[1].first >= this->settings.report_lag_ms) {
      this->load_reports.pop_front();
    }
    if (this->fault == EngineFault::kSlow) {
      extra_ms += static_cast<double>(this->settings.step_ms * kSlowStepCount);
    }
  }
  this->stream_changed.notify_all();
  if (extra_ms > 0) SleepMs(extra_ms);
}

void EngineStandin::RecordCacheEvent(std::uint64_t block, bool added) {
  const std::int64_t number = this->next_event_number++;
  if (this->settings.event_loss_interval > 0 &&
      number % this->settings.event_loss_interval == 0) {
    return;
  }
  this->cache_events.push_back(CacheEvent{number, block, added});
  if (this->cache_events.size() > kMaxCacheEvents) {
    this->cache_events.pop_front();
  }
}

EngineLoad EngineStandin::CurrentLoad() const {
  EngineLoad load;
  const TimeMs now = this->clock.Now();
  load.pieces_total = this->settings.pieces;
  load.pieces_used = this->PiecesUsedLocked();
  std::ranges::for_each(this->attempts, [&](const auto& entry) {
    const Attempt& attempt = *entry.second;
    if (attempt.finished_at != 0) return;
    load.held.push_back(
        HeldRequest{attempt.request_id, attempt.attempt_id, attempt.pieces,
                    now - attempt.started_at,
                    attempt.attached ? 0 : now - attempt.detached_at});
  });
  return load;
}

std::int64_t EngineStandin::PiecesUsedLocked() const {
  std::int64_t used = 0;
  std::ranges::for_each(this->attempts, [&used](const auto& entry) {
    if (entry.second->finished_at == 0) used += entry.second->pieces;
  });
  return used;
}

}  // namespace limpethaven
