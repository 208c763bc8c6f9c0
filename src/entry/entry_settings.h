/// @file
/// Settings of `limpethaven-entry`, from flags and environment variables.
#pragma once

#include <CLI/CLI.hpp>
#include <string>
#include <vector>

#include "limpethaven/clock.h"
#include "limpethaven/error.h"
#include "node/entry_node.h"

namespace limpethaven {

/// Settings of an entry process.
struct EntrySettings {
  std::string address;
  int port = 8080;
  int peer_port = 8081;
  std::string admin_address = "127.0.0.1";
  int admin_port = 8082;
  std::string data_centre;
  std::string platform;  ///< `IP:port` of the platform.
  std::vector<std::string>
      seed_vms;  ///< Addresses to ask when the platform is down.
  std::string fleet_secret_file;
  std::string
      fleet_secret;  ///< Read from the environment or the file, never a flag.
  std::string tls_certificate;
  std::string tls_key;
  DurationMs address_ttl_ms = 5000;
  DurationMs token_wait_ms = 250;
  DurationMs drain_limit_ms = 120'000;
  std::size_t max_streams = 1000;
  std::size_t cell_size = 64;
  bool check = false;
};

/// Adds every flag to a command line.
void AddEntryFlags(CLI::App& app, EntrySettings& settings);
/// Checks what single flags cannot, and reads the fleet secret.
[[nodiscard]] Result<EntrySettings> FinishEntrySettings(EntrySettings settings);
/// Settings of the node that an entry process is.
[[nodiscard]] NodeSettings NodeSettingsOf(const EntrySettings& settings);

}  // namespace limpethaven
