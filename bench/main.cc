/// @file
/// `main` of the benchmark program.
#include <benchmark/benchmark.h>

BENCHMARK_MAIN();
