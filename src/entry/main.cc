/// @file
/// `limpethaven-entry`: serves callers' requests, limits teams to their token
/// rates, and schedules cells of engines.

#include <unistd.h>

#include <iostream>
#include <memory>

#include "cli/flags.h"
#include "entry/caller_api.h"
#include "entry/entry_settings.h"
#include "entry/native_callers.h"
#include "entry/native_endpoints.h"
#include "entry/native_source.h"
#include "node/run.h"

namespace limpethaven {
namespace {

constexpr int kUsageExitCode = 2;

int Serve(const EntrySettings& settings) {
  Loop loop(1);
  NativeSource source(loop, settings.platform);
  NodeDialects dialects;
  dialects.callers = std::make_unique<NativeCallers>(settings.fleet_secret);
  dialects.endpoints = std::make_unique<NativeEndpoints>(settings.fleet_secret);
  EntryNode node(loop, NodeSettingsOf(settings), std::move(dialects));
  CallerApi api(node, settings.fleet_secret);
  return RunNode(loop, node, source,
                 RunSettings{"limpethaven-entry", settings.address,
                             STDERR_FILENO, nullptr});
}

int Main(int argc, char** argv) {
  CLI::App app(
      "Entry process: serves callers' requests, limits teams to their token "
      "rates, schedules cells of engines",
      "limpethaven-entry");
  EntrySettings settings;
  AddEntryFlags(app, settings);
  const FlagOutcome outcome = ParseFlags(app, argc, argv);
  if (!outcome.run) return outcome.exit_code;
  const auto finished = FinishEntrySettings(settings);
  if (!finished) {
    std::cerr << "limpethaven-entry: " << finished.error().message << '\n';
    return kUsageExitCode;
  }
  if (settings.check) {
    std::cout << "settings are valid\n";
    return 0;
  }
  return Serve(finished.value());
}

}  // namespace
}  // namespace limpethaven

int main(int argc, char** argv) { return limpethaven::Main(argc, argv); }
