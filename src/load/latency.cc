#include "load/latency.h"

#include <algorithm>
#include <chrono>
#include <mutex>
#include <nlohmann/json.hpp>
#include <ostream>
#include <thread>

#include "edge/engine_client.h"
#include "limpethaven/crypto.h"
#include "load/report.h"
#include "protocol/sse.h"

namespace limpethaven {
namespace {

constexpr const char* kPrompt = "a prompt of usual words for a short answer";
constexpr Tokens kPromptTokens = 11;
constexpr Tokens kMaxTokens = 4;
constexpr DurationMs kTimeoutMs = 3000;

using SteadyTime = std::chrono::steady_clock::time_point;

double MsSince(SteadyTime start) {
  const std::chrono::duration<double, std::milli> passed =
      std::chrono::steady_clock::now() - start;
  return passed.count();
}

/// Measures the time to the first token and reads the stream to its end.
class FirstTokenTimer final : public StreamObserver {
 public:
  explicit FirstTokenTimer(SteadyTime start_time) : start(start_time) {}
  bool OnEvent(const StreamEvent& event) override {
    if (event.count > 0 && this->first_ms < 0) {
      this->first_ms = MsSince(this->start);
    }
    return true;
  }
  bool OnIdle() override { return true; }
  [[nodiscard]] double FirstTokenMs() const noexcept { return this->first_ms; }

 private:
  SteadyTime start;
  double first_ms = -1;
};

/// Calls a prefill engine, then a decode engine, without the entry VM.
/// @returns milliseconds to the first token, or -1 when a call failed.
double MeasureBaseline(const LatencySettings& settings, EngineClient& engines) {
  const SteadyTime start = std::chrono::steady_clock::now();
  const std::string id = "straight-" + RandomHex(8);
  const auto kv = engines.Prefill(
      {settings.prefill, id, id, kPrompt, kPromptTokens, kTimeoutMs});
  if (!kv) return -1;
  GenerateCall call;
  call.address = settings.decode;
  call.request_id = id;
  call.attempt = id;
  call.kv_source = settings.prefill;
  call.kv_handle = kv.value().kv_handle;
  call.prompt_tokens = kPromptTokens;
  call.max_tokens = kMaxTokens;
  call.pieces = 1;
  call.idle_timeout_ms = kTimeoutMs;
  FirstTokenTimer observer(start);
  if (!engines.Generate(call, observer)) return -1;
  return observer.FirstTokenMs();
}

/// Sends a completion to the entry VM.
/// @returns milliseconds to the first token, or -1 when none came.
double MeasureThroughEntry(const LatencySettings& settings) {
  const SteadyTime start = std::chrono::steady_clock::now();
  const nlohmann::json body = {{"model", settings.model},
                               {"prompt", kPrompt},
                               {"max_tokens", kMaxTokens},
                               {"stream", true}};
  httplib::Request request = PostRequest("/v1/completions", body.dump());
  request.set_header("Authorization", "Bearer " + settings.key);
  SseParser parser;
  double first_ms = -1;
  request.content_receiver = [&](const char* data, std::size_t length,
                                 std::uint64_t, std::uint64_t) {
    for (const SseEvent& event : parser.Feed(std::string_view(data, length))) {
      const auto chunk = nlohmann::json::parse(event.data, nullptr, false);
      if (first_ms >= 0 || !chunk.is_object() || !chunk.contains("choices")) {
        continue;
      }
      if (!chunk["choices"][0]["text"].get<std::string>().empty()) {
        first_ms = MsSince(start);
      }
    }
    return true;
  };
  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  const auto client = NewHttpClient(settings.target, kTimeoutMs);
  client->send(request, response, error);
  return first_ms;
}

}  // namespace

LatencyFigures MeasureLatency(const LatencySettings& settings) {
  LatencyFigures figures;
  HttpEngineClient engines;
  std::mutex mutex;
  std::vector<std::thread> threads;
  const SteadyTime start = std::chrono::steady_clock::now();
  for (std::int64_t index = 0; index < settings.requests; ++index) {
    const std::chrono::duration<double> offset(static_cast<double>(index) /
                                               settings.rate_per_s);
    std::this_thread::sleep_until(
        start + std::chrono::duration_cast<std::chrono::nanoseconds>(offset));
    threads.emplace_back([&, is_baseline = index % 2 == 0] {
      const double first_ms = is_baseline ? MeasureBaseline(settings, engines)
                                          : MeasureThroughEntry(settings);
      const std::lock_guard lock(mutex);
      if (first_ms < 0) {
        ++figures.failed;
      } else {
        (is_baseline ? figures.baseline_ms : figures.through_entry_ms)
            .push_back(first_ms);
      }
    });
  }
  std::ranges::for_each(threads, &std::thread::join);
  std::ranges::sort(figures.baseline_ms);
  std::ranges::sort(figures.through_entry_ms);
  return figures;
}

std::ostream& operator<<(std::ostream& out, const LatencyFigures& figures) {
  const auto line = [&out](std::string_view name,
                           const std::vector<double>& sorted) {
    out << name << ": " << sorted.size() << " requests, p50 "
        << Percentile(sorted, 50) << " ms, p99 " << Percentile(sorted, 99)
        << " ms\n";
  };
  line("baseline, engines called without the entry", figures.baseline_ms);
  line("through the entry", figures.through_entry_ms);
  out << "added by the entry: p50 "
      << Percentile(figures.through_entry_ms, 50) -
             Percentile(figures.baseline_ms, 50)
      << " ms, p99 "
      << Percentile(figures.through_entry_ms, 99) -
             Percentile(figures.baseline_ms, 99)
      << " ms; failed requests: " << figures.failed << '\n';
  return out;
}

}  // namespace limpethaven
