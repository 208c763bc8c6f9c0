#include "node/run.h"

#include <glog/logging.h>
#include <unistd.h>

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <filesystem>
#include <iostream>

#include "log/event_log.h"
#include "net/tasks.h"

namespace limpethaven {
namespace {

constexpr DurationMs kLogFlushMs = 100;
constexpr DurationMs kSettingsPollMs = 1000;

Task<> FlushLog(Loop& loop, EventLog& log) {
  for (;;) {
    log.Flush();
    co_await SleepFor(loop, kLogFlushMs);
  }
}

void ReloadSettings(EntryNode& node, const RunSettings& settings,
                    const std::string& why) {
  if (!settings.read_settings) return;
  const Result<NodeSettings> next = settings.read_settings();
  if (next) {
    node.Reconfigure(next.value());
    LogEvent(EventId::kSettingsRead, {{"why", why}});
  } else {
    LogEvent(EventId::kConfigRejected,
             {{"what", "settings"}, {"why", next.error().message}});
  }
}

Task<> WaitForSignals(asio::signal_set& signals, EntryNode& node,
                      const RunSettings& settings) {
  for (;;) {
    error_code fault;
    const int signal = co_await signals.async_wait(
        asio::redirect_error(asio::use_awaitable, fault));
    if (fault) co_return;
    if (signal == SIGHUP) {
      ReloadSettings(node, settings, "signal");
      continue;
    }
    // Supervisors may repeat SIGTERM. A second SIGINT is typed by an operator.
    if (signal == SIGINT && node.Leaving()) node.StopSoon();
    node.Drain();
  }
}

/// Reloads the settings when the modification time of their file changes.
Task<> WatchSettingsFile(Loop& loop, EntryNode& node,
                         const RunSettings& settings) {
  if (settings.settings_file.empty()) co_return;
  std::error_code stat_error;
  auto last_modified =
      std::filesystem::last_write_time(settings.settings_file, stat_error);
  for (;;) {
    co_await SleepFor(loop, kSettingsPollMs);
    const auto modified =
        std::filesystem::last_write_time(settings.settings_file, stat_error);
    if (stat_error || modified == last_modified) continue;
    last_modified = modified;
    ReloadSettings(node, settings, "file changed");
  }
}

/// Runs the loop until it is stopped. An exception that leaves a callback ends
/// that callback only.
void RunLoop(Loop& loop) {
  while (!loop.stopped()) {
    try {
      loop.run();
    } catch (...) {
      LogTaskFault(std::current_exception());
    }
  }
}

}  // namespace

int RunNode(Loop& loop, EntryNode& node, Source& source,
            const RunSettings& settings) {
  std::signal(SIGPIPE, SIG_IGN);
  google::InitGoogleLogging(settings.program.c_str());
  google::InstallFailureSignalHandler();
  EventLog log(settings.log_descriptor);
  log.SetVm(settings.vm);
  SetEventLog(&log);
  asio::signal_set signals(loop, SIGTERM, SIGINT, SIGHUP);
  const Result<void> started = node.Start(source);
  if (!started) {
    std::cerr << settings.program << ": " << started.error().message << '\n';
    log.Flush();
    return 1;
  }
  SpawnService(loop, [&]() -> Task<> { co_await FlushLog(loop, log); });
  SpawnService(loop, [&]() -> Task<> {
    co_await WaitForSignals(signals, node, settings);
  });
  SpawnService(loop, [&]() -> Task<> {
    co_await WatchSettingsFile(loop, node, settings);
  });
  RunLoop(loop);
  log.Flush();
  SetEventLog(nullptr);
  // Suspended coroutines still refer to the node and to other objects, so the
  // process exits without destroying any of these objects.
  std::cout.flush();
  ::_exit(0);
}

}  // namespace limpethaven
