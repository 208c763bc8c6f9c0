/// @file
/// Fuzzes the parser of service files: any text gives a configuration or
/// faults, each with a message.
#include "limpethaven/config_file.h"

#include <cstdint>
#include <cstdlib>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  const auto parsed = limpethaven::ParseServiceFiles(
      {limpethaven::ServiceFile{"f.toml", text}});
  for (const auto& fault : parsed.faults) {
    if (fault.message.empty()) std::abort();
  }
  return 0;
}
