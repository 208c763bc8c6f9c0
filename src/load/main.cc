/// @file
/// `limpethaven-load`: sends load that is generated from a seed, records it in
/// a history, and checks and reports histories.

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "cli/flags.h"
#include "edge/http_client.h"
#include "load/caller.h"
#include "load/history_check.h"
#include "load/latency.h"
#include "load/report.h"
#include "load/trace.h"
#include "protocol/engine_messages.h"

namespace limpethaven {
namespace {

struct RunSettings {
  TraceSettings trace;
  std::vector<std::string> targets;
  std::vector<std::string> teams;
  std::vector<std::string> services;
  std::string model;
  std::string history;
  std::string once_path;
  std::int64_t once_calls = 0;
  bool progress = false;
};

struct HistoryFileSettings {
  std::vector<std::string> histories;
  std::string output;
  LatencyTargets targets;
};

/// Reads teams, keys and shares from `LIMPETHAVEN_KEYS`
/// (`team=key[=share],...`).
/// @param selected_names Names of the teams to return; empty for all.
Result<std::vector<TeamLoad>> ReadTeams(
    const std::vector<std::string>& selected_names) {
  const char* text = std::getenv("LIMPETHAVEN_KEYS");
  std::istringstream entries(text == nullptr ? "" : text);
  std::vector<TeamLoad> teams;
  std::string entry;
  while (std::getline(entries, entry, ',')) {
    std::istringstream fields(entry);
    TeamLoad team;
    std::string share;
    std::getline(fields, team.team, '=');
    std::getline(fields, team.key, '=');
    if (std::getline(fields, share)) team.share = std::atof(share.c_str());
    const bool selected =
        selected_names.empty() ||
        std::ranges::find(selected_names, team.team) != selected_names.end();
    if (selected && !team.key.empty() && team.share > 0) teams.push_back(team);
  }
  if (teams.empty()) {
    return Error::Of(ErrorKind::kBadRequest,
                     "LIMPETHAVEN_KEYS: no selected team with a key; expected "
                     "team=key or team=key=share, comma separated");
  }
  return teams;
}

/// Fetches from service stand-ins how often they ran each request, and records
/// the counts. A stand-in that does not answer is skipped.
void RecordEndpointRuns(const std::vector<std::string>& services,
                        HistoryWriter& history) {
  HttpPool pool;
  std::ranges::for_each(services, [&](const std::string& service) {
    const auto response = pool.Send(service, GetRequest("/runs"), 1000);
    if (!response) return;
    const auto runs =
        nlohmann::json::parse(response.value().body, nullptr, false);
    for (const auto& [request, count] : runs.items()) {
      HistoryEvent event;
      event.kind = HistoryKind::kEndpointRan;
      event.request = request;
      event.count = count.get<std::int64_t>();
      history.Write(event);
    }
  });
}

int Run(const RunSettings& settings) {
  const auto teams = ReadTeams(settings.teams);
  if (!teams) {
    std::cerr << "limpethaven-load: " << teams.error().message << '\n';
    return 2;
  }
  HistoryWriter history(settings.history, "load");
  Caller caller(settings.targets, history);
  const std::vector<Arrival> arrivals =
      MakeTrace(settings.trace, teams.value());
  const SystemClock clock;
  const TimeMs start = clock.Now();
  std::vector<std::thread> threads;
  std::int64_t ticketed_calls_left = settings.once_calls;
  std::ranges::for_each(arrivals, [&](const Arrival& arrival) {
    const TimeMs now = clock.Now() - start;
    if (arrival.at_ms > now) {
      std::this_thread::sleep_for(
          std::chrono::milliseconds(arrival.at_ms - now));
    }
    const TeamLoad& team = teams.value()[arrival.team];
    const LoadRequest request{arrival.id,     team.team,
                              team.key,       settings.model,
                              arrival.prompt, arrival.max_tokens};
    threads.emplace_back(
        [&caller, request] { caller.SendCompletion(request); });
    if (ticketed_calls_left > 0) {
      --ticketed_calls_left;
      LoadRequest ticketed = request;
      ticketed.id += "-once";
      threads.emplace_back([&caller, ticketed, path = settings.once_path] {
        caller.SendTicketedCallTwice(ticketed, path);
      });
    }
    if (settings.progress) {
      std::cerr << "\rsent " << threads.size() << " of "
                << arrivals.size() +
                       static_cast<std::size_t>(settings.once_calls)
                << std::flush;
    }
  });
  std::ranges::for_each(threads, &std::thread::join);
  if (settings.progress) std::cerr << '\n';
  RecordEndpointRuns(settings.services, history);
  return 0;
}

Result<std::vector<HistoryEvent>> ReadHistories(
    const std::vector<std::string>& paths) {
  std::vector<HistoryEvent> events;
  for (const std::string& path : paths) {
    BOOST_OUTCOME_TRY(file_events, ReadHistory(path));
    std::ranges::copy(file_events, std::back_inserter(events));
  }
  return events;
}

int Check(const HistoryFileSettings& settings) {
  const auto events = ReadHistories(settings.histories);
  if (!events) {
    std::cerr << "limpethaven-load: " << events.error().message << '\n';
    return 2;
  }
  const HistoryVerdict verdict = CheckHistory(events.value());
  std::cout << verdict;
  return verdict.violations.empty() ? 0 : 1;
}

int Report(const HistoryFileSettings& settings) {
  const auto events = ReadHistories(settings.histories);
  if (!events) {
    std::cerr << "limpethaven-load: " << events.error().message << '\n';
    return 2;
  }
  std::cout << MeasureHistory(events.value(), settings.targets);
  if (settings.output.empty()) return 0;
  std::ofstream(settings.output) << RenderReport(
      events.value(), settings.targets, settings.histories.front());
  return 0;
}

int Latency(LatencySettings settings) {
  const auto teams = ReadTeams({});
  if (!teams) {
    std::cerr << "limpethaven-load: " << teams.error().message << '\n';
    return 2;
  }
  settings.key = teams.value().front().key;
  const LatencyFigures figures = MeasureLatency(settings);
  std::cout << figures;
  return figures.failed == 0 ? 0 : 1;
}

/// Appends an event that the load tool cannot observe: a fault that a script
/// injected, or the withdrawal of a team's key.
int Mark(const std::string& path, const std::string& fault,
         const std::string& withdrawn_team) {
  HistoryWriter history(path, "operator");
  HistoryEvent event;
  event.kind =
      withdrawn_team.empty() ? HistoryKind::kFault : HistoryKind::kWithdrawn;
  event.team = withdrawn_team;
  event.detail = fault;
  history.Write(event);
  return 0;
}

void AddTraceFlags(CLI::App& app, RunSettings& settings) {
  TraceSettings& trace = settings.trace;
  AddFlag(app, "--seed", trace.seed, "Seed of the trace");
  AddFlag(app, "--id-prefix", trace.id_prefix, "Start of every request id");
  AddRangedFlag<std::int64_t>(app, "--requests", trace.requests, 1, 1'000'000,
                              "requests", "Requests to send");
  AddRangedFlag(app, "--rate", trace.rate_per_s, 0.1, 10'000.0, "requests/s",
                "Arrival rate");
  AddRangedFlag<Tokens>(app, "--prompt-min", trace.prompt_tokens_min, 1,
                        100'000, "tokens", "Shortest prompt");
  AddRangedFlag<Tokens>(app, "--prompt-max", trace.prompt_tokens_max, 1,
                        100'000, "tokens", "Longest prompt");
  AddRangedFlag<Tokens>(app, "--answer-min", trace.max_tokens_min, 1, 100'000,
                        "tokens", "Smallest max_tokens");
  AddRangedFlag<Tokens>(app, "--answer-max", trace.max_tokens_max, 1, 100'000,
                        "tokens", "Largest max_tokens");
  AddRangedFlag(app, "--follow-up", trace.follow_up_ratio, 0.0, 1.0, "ratio",
                "Ratio of requests that extend an earlier prompt");
}

int Main(int argc, char** argv) {
  CLI::App app("Send load, and check and report recorded histories",
               "limpethaven-load");
  app.require_subcommand(1);

  RunSettings run;
  CLI::App* run_command =
      app.add_subcommand("run", "Send requests and record a history");
  AddTraceFlags(*run_command, run);
  AddFlag(*run_command, "--targets", run.targets,
          "IP:port of some entry VMs, comma separated")
      ->delimiter(',')
      ->required();
  AddFlag(*run_command, "--teams", run.teams,
          "Use only these teams of LIMPETHAVEN_KEYS, comma separated")
      ->delimiter(',');
  AddFlag(*run_command, "--model", run.model, "Model that the requests name")
      ->required();
  AddFlag(*run_command, "--history", run.history,
          "File to append the history to")
      ->required();
  AddFlag(*run_command, "--once-path", run.once_path,
          "Path of a service route whose requests run at most once");
  AddRangedFlag<std::int64_t>(
      *run_command, "--once-calls", run.once_calls, 0, 100'000, "calls",
      "Calls with a ticket, each sent to two VMs at once");
  AddFlag(*run_command, "--services", run.services,
          "IP:port of service stand-ins whose run counts are recorded, comma "
          "separated")
      ->delimiter(',');
  run_command->add_flag("--progress", run.progress,
                        "Print the number of sent requests while running");

  HistoryFileSettings files;
  CLI::App* check_command =
      app.add_subcommand("check", "Check histories against the invariants");
  check_command->add_option("histories", files.histories, "History files")
      ->required();

  CLI::App* report_command = app.add_subcommand(
      "report",
      "Print the figures of histories and write them as an HTML page");
  report_command->add_option("histories", files.histories, "History files")
      ->required();
  AddFlag(*report_command, "--output", files.output, "HTML file to write");

  std::string mark_history;
  std::string mark_fault;
  std::string mark_team;
  CLI::App* mark_command = app.add_subcommand(
      "mark", "Append a fault or a key withdrawal to a history");
  AddFlag(*mark_command, "--history", mark_history, "History file")->required();
  AddFlag(*mark_command, "--fault", mark_fault, "Name of the fault");
  AddFlag(*mark_command, "--withdrawn", mark_team,
          "Team whose key was withdrawn");

  LatencySettings latency;
  CLI::App* latency_command =
      app.add_subcommand("latency",
                         "Compare the time to the first token through an entry "
                         "VM with calls to the engines without it");
  AddFlag(*latency_command, "--target", latency.target,
          "IP:port of an entry VM")
      ->required();
  AddFlag(*latency_command, "--prefill", latency.prefill,
          "IP:port of a prefill engine")
      ->required();
  AddFlag(*latency_command, "--decode", latency.decode,
          "IP:port of a decode engine")
      ->required();
  AddFlag(*latency_command, "--model", latency.model,
          "Model that the requests name")
      ->required();
  AddRangedFlag<std::int64_t>(*latency_command, "--requests", latency.requests,
                              2, 1'000'000, "requests",
                              "Requests, half of them without the entry VM");
  AddRangedFlag(*latency_command, "--rate", latency.rate_per_s, 0.1, 10'000.0,
                "requests/s", "Arrival rate of both halves together");

  const FlagOutcome outcome = ParseFlags(app, argc, argv);
  if (!outcome.run) return outcome.exit_code;
  if (run_command->parsed()) return Run(run);
  if (check_command->parsed()) return Check(files);
  if (mark_command->parsed()) return Mark(mark_history, mark_fault, mark_team);
  if (latency_command->parsed()) return Latency(latency);
  return Report(files);
}

}  // namespace
}  // namespace limpethaven

int main(int argc, char** argv) { return limpethaven::Main(argc, argv); }
