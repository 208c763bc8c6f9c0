/// @file
/// Time and memory of the steps that the entry process takes for a request:
/// prompt hashing, key digests, tickets and stream events.
#include <benchmark/benchmark.h>

#include "limpethaven/crypto.h"
#include "limpethaven/prompt.h"
#include "limpethaven/resume_token.h"
#include "limpethaven/stream_guard.h"
#include "limpethaven/ticket_book.h"
#include "memory.h"

namespace limpethaven {
namespace {

constexpr const char* kSecret = "a-secret-for-benchmarks";

/// Times the hashing of a prompt into prefix blocks.
void RequestPrefixBlocks(benchmark::State& state) {
  const std::string prompt(
      static_cast<std::size_t>(state.range(0)) * kBytesPerToken, 'x');
  for (auto _ : state) benchmark::DoNotOptimize(PrefixBlockHashes(prompt));
  state.counters["prompt_tokens"] = static_cast<double>(state.range(0));
}
BENCHMARK(RequestPrefixBlocks)
    ->Arg(1000)
    ->Arg(10'000)
    ->Arg(30'000)
    ->Unit(benchmark::kMicrosecond);

/// Times the digest of one API key.
void RequestKeyDigest(benchmark::State& state) {
  for (auto _ : state) {
    benchmark::DoNotOptimize(Sha256Hex("a-key-of-usual-length-0001"));
  }
}
BENCHMARK(RequestKeyDigest);

/// Times a ticket from minting to the end of its run. The clock is advanced
/// past the retention after every 100 000 tickets, so that the book stays
/// small.
void RequestTicket(benchmark::State& state) {
  TicketBook book(VmId{"10.0.0.1", 1});
  TimeMs now = 0;
  std::int64_t number = 0;
  for (auto _ : state) {
    const auto ticket = book.Mint("north", std::to_string(number++), ++now);
    const std::string text = EncodeTicket(kSecret, ticket.value());
    const auto decoded = DecodeTicket(kSecret, text);
    benchmark::DoNotOptimize(book.Begin(*decoded, "north", now));
    book.Finish(decoded->nonce);
    if (number % 100'000 == 0) book.Tick(now += 10'000'000);
  }
}
BENCHMARK(RequestTicket);

/// Measures the heap of a ticket book.
void RequestTicketMemory(benchmark::State& state) {
  double heap_bytes = 0;
  for (auto _ : state) {
    const double before_bytes = bench::HeapBytes();
    TicketBook book(VmId{"10.0.0.1", 1});
    for (std::int64_t number = 0; number < state.range(0); ++number) {
      static_cast<void>(book.Mint("north", RandomHex(16), 0));
    }
    heap_bytes = bench::HeapBytes() - before_bytes;
  }
  state.counters["tickets"] = static_cast<double>(state.range(0));
  state.counters["bytes_held"] = heap_bytes;
}
BENCHMARK(RequestTicketMemory)->Arg(1000)->Arg(10'000)->Iterations(1);

/// Times the filtering of one stream event and the encoding of its event id.
void RequestStreamEvent(benchmark::State& state) {
  const ResumeToken token{"r-1", "owner-1", "north", "m", "10.0.0.1:9000",
                          "m/0", "owner-1", 2,       0};
  const std::string base = EncodeResumeBase(kSecret, token);
  StreamGuard guard("r-1", "owner-1", 0);
  StreamEvent event{"r-1", "owner-1", 0, 1, " word", false, false, 1};
  for (auto _ : state) {
    benchmark::DoNotOptimize(guard.Classify(event));
    benchmark::DoNotOptimize(EncodeResumeId(base, ++event.offset));
  }
  state.counters["id_bytes"] =
      static_cast<double>(EncodeResumeId(base, 1000).size());
}
BENCHMARK(RequestStreamEvent);

}  // namespace
}  // namespace limpethaven
