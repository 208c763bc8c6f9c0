/// @file
/// `limpethavenctl`: questions and orders of operators.

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "cli/flags.h"
#include "edge/http_client.h"
#include "limpethaven/config_file.h"
#include "limpethaven/crypto.h"
#include "log/request_story.h"

namespace limpethaven {
namespace {

constexpr DurationMs kTimeoutMs = 3000;
constexpr int kIndent = 2;

struct CtlSettings {
  std::string admin = "127.0.0.1:8082";
  std::string target = "127.0.0.1:8080";
  std::string team;
  std::string request;
  std::vector<std::string> logs;
  std::vector<std::string> files;
};

/// Asks a daemon and prints what it says; exits non-zero when it does not
/// answer.
Result<nlohmann::json> Ask(const std::string& address,
                           httplib::Request request) {
  HttpPool pool;
  BOOST_OUTCOME_TRY(response,
                    pool.Send(address, std::move(request), kTimeoutMs));
  return nlohmann::json::parse(response.body, nullptr, false);
}

int PrintAnswer(const Result<nlohmann::json>& answer) {
  if (!answer) {
    std::cerr << "limpethavenctl: " << answer.error().message << '\n';
    return 1;
  }
  std::cout << answer.value().dump(kIndent) << '\n';
  return 0;
}

int PrintTeam(const CtlSettings& settings) {
  const auto answer = Ask(settings.admin, GetRequest("/debug/teams"));
  if (!answer) return PrintAnswer(answer);
  const auto& rows = answer.value();
  const auto found = std::find_if(
      rows.begin(), rows.end(),
      [&](const nlohmann::json& row) { return row["team"] == settings.team; });
  if (found != rows.end()) return PrintAnswer(*found);
  std::cerr << "limpethavenctl: no team '" << settings.team << "' at "
            << settings.admin << '\n';
  return 1;
}

/// Prints the digest of a key read from standard input, so that it stays out of
/// histories.
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

int CheckFiles(const CtlSettings& settings) {
  std::vector<ServiceFile> files;
  std::ranges::transform(
      settings.files, std::back_inserter(files), [](const std::string& path) {
        std::ifstream in(path, std::ios::binary);
        return ServiceFile{path, std::string(std::istreambuf_iterator<char>(in),
                                             std::istreambuf_iterator<char>())};
      });
  const ParsedFiles parsed = ParseServiceFiles(files);
  std::ranges::for_each(parsed.faults, [](const FileFault& fault) {
    std::cout << fault << '\n';
  });
  std::cout << parsed.faults.size() << " faults\n";
  return parsed.faults.empty() ? 0 : 1;
}

/// Prints the events of one request from the logs of several VMs, in order.
int Explain(const CtlSettings& settings) {
  std::vector<std::string> lines;
  const auto read = [&lines](std::istream& in) {
    std::string line;
    while (std::getline(in, line)) lines.push_back(line);
  };
  for (const std::string& path : settings.logs) {
    std::ifstream file(path);
    if (!file) {
      std::cerr << "limpethavenctl: cannot read '" << path << "'\n";
      return 2;
    }
    read(file);
  }
  if (settings.logs.empty()) read(std::cin);
  const RequestTimeline story = BuildRequestTimeline(settings.request, lines);
  if (story.events.empty()) {
    std::cerr << "limpethavenctl: no event of request '" << settings.request
              << "'\n";
    return 1;
  }
  std::ranges::for_each(
      story.events, [](const std::string& line) { std::cout << line << '\n'; });
  std::cout << "sealed by: " << story.terminal_event << '\n';
  return 0;
}

int Main(int argc, char** argv) {
  CLI::App app("Questions and orders of operators", "limpethavenctl");
  app.require_subcommand(1);
  CtlSettings settings;
  const auto add = [&](const std::string& name, const std::string& help) {
    return app.add_subcommand(name, help);
  };
  const auto add_admin = [&](CLI::App* command) {
    AddFlag(*command, "--admin", settings.admin,
            "IP:port of a daemon's admin address");
  };
  CLI::App* status = add(
      "status", "State of one entry process and what it sees of the others");
  add_admin(status);
  CLI::App* cells = add("cells", "Cells that one entry process schedules");
  add_admin(cells);
  CLI::App* team = add("team", "What one entry process holds of a team's rate");
  add_admin(team);
  team->add_option("name", settings.team, "Team")->required();
  CLI::App* addresses = add("addresses", "Addresses that callers are told");
  AddFlag(*addresses, "--target", settings.target, "IP:port of an entry VM");
  CLI::App* drain = add("drain", "Stop one entry process gracefully");
  add_admin(drain);
  CLI::App* check = add("check", "Check service files");
  check->add_option("files", settings.files, "Service files")
      ->required()
      ->check(CLI::ExistingFile);
  CLI::App* explain =
      add("explain", "Print the events of one request from a log");
  explain->add_option("request", settings.request, "Request id")->required();
  explain->add_option("--log", settings.logs,
                      "Log files of one VM or several; standard input without");
  CLI::App* key = add("key", "Keys");
  key->require_subcommand(1);
  key->add_subcommand("hash", "Print the digest of the key on standard input");

  const FlagOutcome outcome = ParseFlags(app, argc, argv);
  if (!outcome.run) return outcome.exit_code;
  if (key->parsed()) return HashKey();
  if (check->parsed()) return CheckFiles(settings);
  if (explain->parsed()) return Explain(settings);
  if (team->parsed()) return PrintTeam(settings);
  if (addresses->parsed()) {
    return PrintAnswer(Ask(settings.target, GetRequest("/v1/addresses")));
  }
  if (drain->parsed()) {
    return PrintAnswer(Ask(settings.admin, PostRequest("/admin/drain", "")));
  }
  const std::string path = cells->parsed() ? "/debug/cells" : "/debug/status";
  return PrintAnswer(Ask(settings.admin, GetRequest(path)));
}

}  // namespace
}  // namespace limpethaven

int main(int argc, char** argv) { return limpethaven::Main(argc, argv); }
