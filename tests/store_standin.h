/// @file
/// Stand-in for the users' platform's store: items with revisions, range reads,
/// watches, and the faults that a store may have.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "limpethaven/clock.h"
#include "net/http_server.h"

namespace limpethaven::testing {

/// A store on the event loop of a test.
class StoreStandin {
 public:
  /// Items and history at one moment, to which `Restore` goes back.
  struct Copy {
    struct Item {
      std::string value;
      std::uint64_t revision = 0;
    };
    struct Change {
      std::string key;
      std::uint64_t revision = 0;
      std::optional<std::string> value;  ///< Empty: the item was deleted.
    };
    std::map<std::string, Item> items;
    std::vector<Change> history;
    std::uint64_t revision = 1;
  };
  /// A call that the store has received.
  struct Call {
    std::string target;
    TimeMs received_at = 0;
  };

  StoreStandin(Loop& event_loop, std::string listen_address);

  void Listen();
  /// Stops accepting, and ends the calls that wait.
  void Stop();
  void Put(const std::string& key, std::string value);
  void Delete(const std::string& key);
  [[nodiscard]] Copy Save() const;
  /// Goes back to a copy: what was written since is lost, its revisions are
  /// given out again, and the era rises by one.
  void Restore(Copy copy);
  /// Watches are lost: those that wait and those that begin while this is set
  /// are never answered. Range reads are answered.
  void SetWatchesSilent(bool silent);
  /// No call is answered: those that wait and those that begin while this is
  /// set are lost.
  void SetSilent(bool silent);
  /// Status with which all calls of a prefix are refused; 0: none.
  void Refuse(const std::string& prefix, int status);
  /// Bytes of the bodies of all answers.
  [[nodiscard]] std::size_t SentBytes() const;
  /// Calls to a path whose target contains `text`.
  [[nodiscard]] std::vector<Call> CallsWith(std::string_view text) const;

  const std::string address;  ///< `IP:port`.
  /// Whether answers carry the store's era.
  bool sends_era = true;
  std::size_t page_size = 500;
  /// Rate at which each answer is sent, as over a slow link; 0: at once.
  std::int64_t bytes_per_s = 0;

 private:
  Task<> Answer(Exchange& exchange);
  Task<> AnswerRange(Exchange& exchange, const std::string& prefix);
  Task<> AnswerWatch(Exchange& exchange, const std::string& prefix);
  /// Keeps a call without an answer until its connection or the store ends.
  Task<> Lose(Exchange& exchange);
  Task<> Reply(Exchange& exchange, int status, std::string body);

  Loop& loop;
  HttpServer server;
  Copy data;
  std::uint64_t era = 1;
  /// Counts the silences, so that a call sees that one began while it waited.
  std::uint64_t silences = 0;
  bool watches_silent = false;
  bool all_silent = false;
  bool stopped = false;
  std::map<std::string, int> refused;
  std::vector<Call> calls;
  std::size_t sent_bytes = 0;
};

/// Store item of an endpoint of the service `scribe`.
/// @param state `ready` or `draining`.
[[nodiscard]] std::string EndpointItem(std::string_view endpoint_address,
                                       std::string_view state,
                                       std::int64_t born);
/// Store item of a configuration without routes.
[[nodiscard]] std::string ConfigItem(std::uint64_t version);
/// Store item of a configuration with `count` routes.
[[nodiscard]] std::string LargeConfigItem(std::uint64_t version, int count);

}  // namespace limpethaven::testing
