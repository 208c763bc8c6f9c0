/// @file
/// Heap usage, for benchmarks that measure the size of a structure.
#pragma once

#include <malloc.h>

#include <cstddef>

namespace limpethaven::bench {

/// Returns the bytes that this process has allocated on the heap, including
/// blocks that malloc maps with mmap.
[[nodiscard]] inline double HeapBytes() {
  return static_cast<double>(mallinfo2().uordblks + mallinfo2().hblkhd);
}

}  // namespace limpethaven::bench
