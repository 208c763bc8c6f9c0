/// @file
/// Heap in use, for benchmarks that measure the size of a structure.
#pragma once

#include <malloc.h>

#include <cstddef>

namespace limpethaven::bench {

/// Bytes that the program holds on the heap.
[[nodiscard]] inline double HeapBytes() {
  return static_cast<double>(mallinfo2().uordblks + mallinfo2().hblkhd);
}

}  // namespace limpethaven::bench
