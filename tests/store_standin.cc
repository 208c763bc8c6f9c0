#include "store_standin.h"

#include <openssl/evp.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace limpethaven::testing {
namespace {

using nlohmann::json;

constexpr DurationMs kPollMs = 2;
constexpr std::size_t kMaxConnections = 100;
constexpr std::string_view kWatchPath = "/limpethaven/kv-watch";
constexpr int kHistoryGone = 410;
/// Time between two parts of an answer that is sent slowly.
constexpr DurationMs kSlowStepMs = 20;
constexpr std::int64_t kMsPerS = 1000;

std::string Base64(std::string_view bytes) {
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<std::size_t>(length));
  return text;
}

}  // namespace

StoreStandin::StoreStandin(Loop& event_loop, std::string listen_address)
    : address(std::move(listen_address)),
      loop(event_loop),
      server(
          event_loop,
          [this](Exchange& exchange) { return this->Answer(exchange); },
          kMaxConnections) {}

void StoreStandin::Listen() { REQUIRE(this->server.Listen(this->address)); }

void StoreStandin::Stop() {
  this->stopped = true;
  this->server.StopAccepting();
}

void StoreStandin::Put(const std::string& key, std::string value) {
  const std::uint64_t revision = ++this->data.revision;
  this->data.items.insert_or_assign(key, Copy::Item{value, revision});
  this->data.history.push_back(Copy::Change{key, revision, std::move(value)});
}

void StoreStandin::Delete(const std::string& key) {
  this->data.items.erase(key);
  this->data.history.push_back(
      Copy::Change{key, ++this->data.revision, std::nullopt});
}

StoreStandin::Copy StoreStandin::Save() const { return this->data; }

void StoreStandin::Restore(Copy copy) {
  this->data = std::move(copy);
  ++this->era;
  ++this->silences;
}

void StoreStandin::SetWatchesSilent(bool silent) {
  this->watches_silent = silent;
  ++this->silences;
}

void StoreStandin::SetSilent(bool silent) {
  this->all_silent = silent;
  ++this->silences;
}

void StoreStandin::Refuse(const std::string& prefix, int status) {
  this->refused[prefix] = status;
}

std::size_t StoreStandin::SentBytes() const { return this->sent_bytes; }

std::vector<StoreStandin::Call> StoreStandin::CallsWith(
    std::string_view text) const {
  std::vector<Call> found;
  std::ranges::copy_if(this->calls, std::back_inserter(found),
                       [text](const Call& call) {
                         return call.target.find(text) != std::string::npos;
                       });
  return found;
}

Task<> StoreStandin::Answer(Exchange& exchange) {
  const std::string target = exchange.Head().target;
  this->calls.push_back(Call{target, LoopNow()});
  const std::string prefix = QueryValue(target, "prefix");
  const bool watch = PathOf(target) == kWatchPath;
  if (this->all_silent || (watch && this->watches_silent)) {
    co_await this->Lose(exchange);
    co_return;
  }
  const auto refusal = this->refused.find(prefix);
  if (refusal != this->refused.end() && refusal->second != 0) {
    co_await this->Reply(exchange, refusal->second, "{}");
    co_return;
  }
  if (watch) {
    co_await this->AnswerWatch(exchange, prefix);
  } else {
    co_await this->AnswerRange(exchange, prefix);
  }
}

Task<> StoreStandin::AnswerRange(Exchange& exchange,
                                 const std::string& prefix) {
  const std::string after = QueryValue(exchange.Head().target, "after");
  json items = json::array();
  bool more = false;
  for (const auto& [key, item] : this->data.items) {
    if (!key.starts_with(prefix) || key <= after) continue;
    if (items.size() == this->page_size) {
      more = true;
      break;
    }
    items.push_back({{"key", key},
                     {"value", Base64(item.value)},
                     {"rev", item.revision},
                     {"create_rev", item.revision},
                     {"lease", 0}});
  }
  const json body = {
      {"items", items}, {"has_more", more}, {"as_of", this->data.revision}};
  co_await this->Reply(exchange, 200, body.dump());
}

Task<> StoreStandin::AnswerWatch(Exchange& exchange,
                                 const std::string& prefix) {
  const std::string target = exchange.Head().target;
  const std::uint64_t after = std::stoull(QueryValue(target, "after"));
  const TimeMs end = LoopNow() + std::stoll(QueryValue(target, "wait_ms"));
  const std::uint64_t silences_before = this->silences;
  for (;;) {
    if (this->silences != silences_before) {
      co_await this->Lose(exchange);
      co_return;
    }
    if (after > this->data.revision) {
      co_await this->Reply(exchange, kHistoryGone, "{}");
      co_return;
    }
    json events = json::array();
    std::ranges::for_each(this->data.history, [&](const Copy::Change& change) {
      if (change.revision <= after || !change.key.starts_with(prefix)) {
        return;
      }
      if (!change.value) {
        events.push_back(
            {{"key", change.key}, {"rev", change.revision}, {"deleted", true}});
      } else {
        events.push_back({{"key", change.key},
                          {"rev", change.revision},
                          {"value", Base64(*change.value)}});
      }
    });
    if (!events.empty() || LoopNow() >= end) {
      const json body = {{"events", events}, {"as_of", this->data.revision}};
      co_await this->Reply(exchange, 200, body.dump());
      co_return;
    }
    if (this->stopped || exchange.CallerDisconnected()) co_return;
    co_await SleepFor(this->loop, kPollMs);
  }
}

Task<> StoreStandin::Lose(Exchange& exchange) {
  while (!this->stopped && !exchange.CallerDisconnected()) {
    co_await SleepFor(this->loop, kPollMs);
  }
}

Task<> StoreStandin::Reply(Exchange& exchange, int status, std::string body) {
  ResponseHead head{status, {}};
  if (this->sends_era) {
    head.headers.Add("Store-Era", std::to_string(this->era));
  }
  this->sent_bytes += body.size();
  if (this->bytes_per_s == 0) {
    co_await exchange.Answer(std::move(head), std::move(body));
    co_return;
  }
  const auto step_bytes =
      static_cast<std::size_t>(this->bytes_per_s * kSlowStepMs / kMsPerS);
  bool open = co_await exchange.Begin(std::move(head));
  for (std::size_t sent = 0; open && sent < body.size(); sent += step_bytes) {
    co_await SleepFor(this->loop, kSlowStepMs);
    open = co_await exchange.Send(body.substr(sent, step_bytes));
  }
  co_await exchange.End();
}

std::string EndpointItem(std::string_view endpoint_address,
                         std::string_view state, std::int64_t born) {
  const json item = {{"service", "scribe"}, {"addr", endpoint_address},
                     {"zone", "a"},         {"version", "1"},
                     {"slots", 4},          {"state", state},
                     {"cold_left_ms", 0},   {"seq", 0},
                     {"stage", "decode"},   {"born", born}};
  return item.dump();
}

std::string ConfigItem(std::uint64_t version) {
  const json item = {{"version", version},
                     {"routes", json::array()},
                     {"services", json::array()}};
  return item.dump();
}

std::string LargeConfigItem(std::uint64_t version, int count) {
  json routes = json::array();
  for (int number = 0; number < count; ++number) {
    routes.push_back({{"host", "host.example"},
                      {"prefix", "/route" + std::to_string(number) + "/"},
                      {"service", "scribe"},
                      {"kind", "idempotent"},
                      {"attempts", 2},
                      {"timeout_ms", 2000},
                      {"priority", 1}});
  }
  const json item = {
      {"version", version}, {"routes", routes}, {"services", json::array()}};
  return item.dump();
}

}  // namespace limpethaven::testing
