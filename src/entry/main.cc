/// @file
/// `limpethaven-entry`: serves callers, keeps teams to their shares, and
/// schedules cells.

#include <iostream>

#include "edge/flags.h"
#include "edge/log.h"
#include "edge/signals.h"
#include "entry/admin_api.h"
#include "entry/caller_api.h"

namespace limpethaven {
namespace {

constexpr DurationMs kReadyWaitMs = 10'000;
constexpr DurationMs kHurryPollMs = 10;
constexpr std::size_t kSpareConnections = 200;

int Fail(const Error& error) {
  std::cerr << "limpethaven-entry: " << error << '\n';
  return 1;
}

int Serve(const EntrySettings& settings) {
  EntryNode node(settings);
  HttpServer admin(HttpServerSettings{.address = settings.admin_address,
                                      .port = settings.admin_port});
  AddAdminRoutes(node, admin.Routes());
  HttpServer callers(HttpServerSettings{
      .address = settings.address,
      .port = settings.port,
      .max_connections = settings.max_streams + kSpareConnections,
      .tls_certificate_file = settings.tls_certificate,
      .tls_key_file = settings.tls_key});
  CallerApi api(node);
  api.AddRoutes(callers.Routes());
  if (const auto started = admin.Start(); !started) {
    return Fail(started.error());
  }
  if (const auto started = node.Start(kReadyWaitMs); !started) {
    return Fail(started.error());
  }
  if (const auto started = callers.Start(); !started) {
    return Fail(started.error());
  }
  WaitForStopSignal(0);
  node.Drain([] { return WaitForStopSignal(kHurryPollMs); });
  callers.Stop();
  node.Stop();
  admin.Stop();
  LogEvent(EventId::kProcessStopped, {LogField::Of("vm", node.self)});
  return 0;
}

int Main(int argc, char** argv) {
  CLI::App app(
      "Entry process: serves callers, keeps teams to their shares, schedules "
      "cells",
      "limpethaven-entry");
  EntrySettings settings;
  AddEntryFlags(app, settings);
  const FlagOutcome outcome = ParseFlags(app, argc, argv);
  if (!outcome.run) return outcome.exit_code;
  const auto finished = FinishEntrySettings(settings);
  if (!finished) {
    std::cerr << "limpethaven-entry: " << finished.error().message << '\n';
    return 2;
  }
  if (settings.check) {
    std::cout << "settings are valid\n";
    return 0;
  }
  StartLogging("limpethaven-entry");
  return Serve(finished.value());
}

}  // namespace
}  // namespace limpethaven

int main(int argc, char** argv) {
  limpethaven::BlockStopSignals();
  return limpethaven::Main(argc, argv);
}
