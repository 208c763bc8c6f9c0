/// @file
/// `limpethavenctl`: command-line client with which operators inspect and drain
/// entry processes, and check files and logs.

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "cli/flags.h"
#include "edge/config_reader.h"
#include "edge/http_client.h"
#include "limpethaven/config_check.h"
#include "limpethaven/crypto.h"
#include "log/request_story.h"

namespace limpethaven {
namespace {

constexpr DurationMs kCallTimeoutMs = 3000;
constexpr int kJsonIndentSpaces = 2;

struct CtlSettings {
  std::string admin = "127.0.0.1:8082";
  std::string target = "127.0.0.1:8080";
  std::string team;
  std::string request;
  std::vector<std::string> logs;
  std::vector<std::string> files;
  std::string against;
};

/// Sends a request to a process. @returns the JSON body of its response,
/// whatever the status, or the error if it does not answer. A body that is not
/// JSON gives a value of the type `discarded`.
Result<nlohmann::json> FetchJson(const std::string& address,
                                 httplib::Request request) {
  HttpPool pool;
  BOOST_OUTCOME_TRY(response,
                    pool.Send(address, std::move(request), kCallTimeoutMs));
  return nlohmann::json::parse(response.body, nullptr, false);
}

/// Prints a response or an error. @returns the exit code: 0 or 1.
int PrintAnswer(const Result<nlohmann::json>& answer) {
  if (!answer) {
    std::cerr << "limpethavenctl: " << answer.error().message << '\n';
    return 1;
  }
  std::cout << answer.value().dump(kJsonIndentSpaces) << '\n';
  return 0;
}

/// Prints one team's row of `/debug/teams`. @returns the exit code.
int PrintTeam(const CtlSettings& settings) {
  const auto answer = FetchJson(settings.admin, GetRequest("/debug/teams"));
  if (!answer) return PrintAnswer(answer);
  const auto& rows = answer.value();
  const auto found = std::find_if(
      rows.begin(), rows.end(),
      [&](const nlohmann::json& row) { return row["team"] == settings.team; });
  if (found != rows.end()) return PrintAnswer(*found);
  std::cerr << "limpethavenctl: no team '" << settings.team
            << "' in the configuration of the entry process at "
            << settings.admin << '\n';
  return 1;
}

/// Prints the digest of a key. The key is read from standard input, so that it
/// does not get into the shell's history. @returns the exit code.
int HashKey() {
  std::string key;
  std::getline(std::cin, key);
  if (key.empty()) {
    std::cerr << "limpethavenctl: expected a key on standard input\n";
    return 2;
  }
  std::cout << Sha256Hex(key) << '\n';
  return 0;
}

/// Prints what the files change in the version in force, by groups.
Result<void> PrintDifferences(std::vector<Entity> entities,
                              const std::string& source) {
  BOOST_OUTCOME_TRY(in_force, ReadEntities(source));
  const std::vector<EntityDifference> differences =
      CompareEntities(std::move(in_force), std::move(entities));
  std::cout << differences.size() << " differences from " << source << '\n';
  std::string_view group;
  for (const EntityDifference& difference : differences) {
    if (difference.group != group) {
      group = difference.group;
      std::cout << group << ":\n";
    }
    std::cout << "  " << difference << '\n';
  }
  return Success();
}

/// Checks service files. @returns the exit code: 0 if they are clean, 1 with
/// findings, 2 if something cannot be read.
int CheckFiles(const CtlSettings& settings) {
  const auto fail = [](const Error& error) {
    std::cerr << "limpethavenctl: " << error.message << '\n';
    return 2;
  };
  Result<CheckedFiles> checked = CheckConfigFiles(settings.files);
  if (!checked) return fail(checked.error());
  const std::vector<Finding>& findings = checked.value().findings;
  std::ranges::for_each(
      findings, [](const Finding& finding) { std::cout << finding << '\n'; });
  std::cout << findings.size() << " findings\n";
  if (!settings.against.empty()) {
    const Result<void> printed =
        PrintDifferences(std::move(checked.value().entities), settings.against);
    if (!printed) return fail(printed.error());
  }
  return findings.empty() ? 0 : 1;
}

/// Prints the events of one request from the logs of several VMs, in order of
/// time. @returns the exit code.
int Explain(const CtlSettings& settings) {
  std::vector<std::string> lines;
  const auto append_lines = [&lines](std::istream& in) {
    std::string line;
    while (std::getline(in, line)) lines.push_back(line);
  };
  for (const std::string& path : settings.logs) {
    std::ifstream file(path);
    if (!file) {
      std::cerr << "limpethavenctl: cannot open log file '" << path << "'\n";
      return 2;
    }
    append_lines(file);
  }
  if (settings.logs.empty()) append_lines(std::cin);
  const RequestTimeline timeline =
      BuildRequestTimeline(settings.request, lines);
  if (timeline.events.empty()) {
    std::cerr << "limpethavenctl: the logs have no event of request '"
              << settings.request << "'\n";
    return 1;
  }
  std::ranges::for_each(timeline.events, [](const std::string& line) {
    std::cout << line << '\n';
  });
  std::cout << "ended by: " << timeline.terminal_event << '\n';
  return 0;
}

int Main(int argc, char** argv) {
  CLI::App app("Inspects and drains entry processes, checks files and logs",
               "limpethavenctl");
  app.require_subcommand(1);
  CtlSettings settings;
  const auto add_command = [&](const std::string& name,
                               const std::string& help) {
    return app.add_subcommand(name, help);
  };
  const auto add_admin = [&](CLI::App* command) {
    AddFlag(*command, "--admin", settings.admin,
            "IP:port of a process's admin server");
  };
  CLI::App* status = add_command(
      "status", "State of one entry process and its view of the others");
  add_admin(status);
  CLI::App* cells =
      add_command("cells", "Cells that one entry process schedules");
  add_admin(cells);
  CLI::App* team =
      add_command("team", "Share of a team's rate at one entry process");
  add_admin(team);
  team->add_option("name", settings.team, "Team")->required();
  CLI::App* addresses =
      add_command("addresses", "Addresses that callers get from /v1/addresses");
  AddFlag(*addresses, "--target", settings.target, "IP:port of an entry VM");
  CLI::App* drain = add_command("drain", "Stop one entry process gracefully");
  add_admin(drain);
  CLI::App* check = add_command(
      "check",
      "Check service files: faults, entries without effect, contradictions");
  check
      ->add_option("files", settings.files,
                   "Service files, or one published head.json or saved answer "
                   "to /debug/config")
      ->required();
  check->add_option("--against", settings.against,
                    "Version in force to compare with: a service file, a "
                    "published head.json, or IP:port of a process's admin "
                    "server");
  CLI::App* explain =
      add_command("explain", "Print the events of one request from a log");
  explain->add_option("request", settings.request, "Request id")->required();
  explain->add_option(
      "--log", settings.logs,
      "Log files of one VM or more; without any, standard input is read");
  CLI::App* key = add_command("key", "Commands for API keys");
  key->require_subcommand(1);
  key->add_subcommand("hash", "Print the digest of the key on standard input");

  const FlagOutcome outcome = ParseFlags(app, argc, argv);
  if (!outcome.run) return outcome.exit_code;
  if (key->parsed()) return HashKey();
  if (check->parsed()) return CheckFiles(settings);
  if (explain->parsed()) return Explain(settings);
  if (team->parsed()) return PrintTeam(settings);
  if (addresses->parsed()) {
    return PrintAnswer(FetchJson(settings.target, GetRequest("/v1/addresses")));
  }
  if (drain->parsed()) {
    return PrintAnswer(
        FetchJson(settings.admin, PostRequest("/admin/drain", "")));
  }
  const std::string path = cells->parsed() ? "/debug/cells" : "/debug/status";
  return PrintAnswer(FetchJson(settings.admin, GetRequest(path)));
}

}  // namespace
}  // namespace limpethaven

int main(int argc, char** argv) { return limpethaven::Main(argc, argv); }
