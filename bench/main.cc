/// @file
/// Entry point of the benchmarks.
#include <benchmark/benchmark.h>

BENCHMARK_MAIN();
