#include "fleet_fixture.h"

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <thread>

#include "edge/http_client.h"
#include "entry/native_callers.h"
#include "entry/native_endpoints.h"
#include "limpethaven/crypto.h"
#include "protocol/sse.h"

namespace limpethaven::testing {
namespace {

constexpr DurationMs kStartTimeoutMs = 5000;
constexpr DurationMs kCallTimeoutMs = 10'000;
constexpr int kPort = 18'180;
constexpr int kPeerPort = 18'181;

/// Returns a loopback address that no other entry of this program has. The
/// process id in it makes a clash with another test program unlikely.
std::string NextLoopbackAddress() {
  static int next = 0;
  const int number = ++next;
  return "127." + std::to_string(20 + ::getpid() % 200) + "." +
         std::to_string(number / 250) + "." + std::to_string(number % 250 + 1);
}

/// Replaces a file in one step, so that no reader gets a part of it.
void WriteFile(const std::filesystem::path& path, const std::string& text) {
  const std::filesystem::path part = path.string() + ".part";
  std::ofstream(part, std::ios::binary) << text;
  std::filesystem::rename(part, path);
}

/// Creates an entry that lives until the test program ends, for the reason
/// given in `KillEntry`.
EntryUnderTest* NewEntry() {
  static std::vector<std::unique_ptr<EntryUnderTest>> all;
  all.push_back(std::make_unique<EntryUnderTest>());
  return all.back().get();
}

void ReadRefusal(const std::string& body, CallerAnswer& answer) {
  answer.error_body = body;
  if (const auto error = ErrorFromJsonBody(body)) {
    answer.error_kind = std::string(RowOf(error->kind).name);
    answer.ran = std::string(NameOf(error->ran));
  }
}

}  // namespace

FleetFixture::FleetFixture(FleetSettings fleet_settings)
    : settings(fleet_settings) {
  static int next = 0;
  this->directory = std::filesystem::temp_directory_path() /
                    ("limpethaven-test-" + std::to_string(::getpid()) + "-" +
                     std::to_string(++next));
  std::filesystem::create_directories(this->directory);
  const auto start_engine = [this](const std::string& role) {
    EngineStandinSettings engine;
    engine.role = role;
    engine.pieces = this->settings.pieces;
    engine.step_ms = this->settings.step_ms;
    auto standin = std::make_unique<EngineStandin>(engine);
    static_cast<void>(standin->Start());
    return standin;
  };
  for (int index = 0; index < 2; ++index) {
    this->prefills.push_back(start_engine("prefill"));
  }
  for (std::size_t index = 0; index < this->settings.decode_engines; ++index) {
    this->decodes.push_back(start_engine("decode"));
  }
  this->service = std::make_unique<ServiceStandin>();
  static_cast<void>(this->service->Start());
  nlohmann::json vms = nlohmann::json::array();
  for (std::size_t index = 0; index < this->settings.entries; ++index) {
    this->entries.push_back(NewEntry());
    EntrySettings& entry = this->entries.back()->settings;
    entry.address = NextLoopbackAddress();
    entry.admin_address = entry.address;
    entry.port = kPort;
    entry.peer_port = kPeerPort;
    entry.data_centre = "zone";
    entry.fleet_secret = "a-secret-for-tests";
    entry.address_ttl_ms = 200;
    entry.drain_limit_ms = 10'000;
    vms.push_back({{"address", entry.address},
                   {"data_centre", "zone"},
                   {"leaving", false}});
  }
  WriteFile(this->directory / "vms.json", vms.dump());
  this->config = this->BaseConfiguration();
  this->Publish([](Configuration&) {});
  PlatformStandinSettings platform_settings;
  platform_settings.directory = this->directory.string();
  this->platform = std::make_unique<PlatformStandin>(platform_settings);
  static_cast<void>(this->platform->Start());
  for (std::size_t index = 0; index < this->entries.size(); ++index) {
    this->StartEntry(index);
  }
  static_cast<void>(this->WaitForVersion(kStartTimeoutMs));
  if (!this->settings.wait_for_shares) return;
  // A quota share accrues no tokens in its first second, and the entries must
  // list each other as members.
  static_cast<void>(WaitFor(
      [this] {
        for (std::size_t index = 0; index < this->entries.size(); ++index) {
          const bool ready =
              this->CallOnLoop<bool>(index, [this](EntryNode& node) {
                return node.HasServingMembers(this->entries.size()) &&
                       node.AvailableTokens("north") > 100;
              });
          if (!ready) return false;
        }
        return true;
      },
      kStartTimeoutMs));
}

FleetFixture::~FleetFixture() {
  for (std::size_t index = 0; index < this->entries.size(); ++index) {
    this->KillEntry(index);
  }
  this->platform->Stop();
  this->service->Stop();
  this->prefills.clear();
  this->decodes.clear();
  std::filesystem::remove_all(this->directory);
}

void FleetFixture::Publish(const std::function<void(Configuration&)>& change) {
  EntityTable old_table;
  if (this->head.version > 0) old_table.Apply(EncodeEntities(this->config), {});
  change(this->config);
  EntityTable new_table;
  new_table.Apply(EncodeEntities(this->config), {});
  ConfigChange config_change = old_table.ChangeTo(new_table);
  config_change.version = ++this->head.version;
  this->head.digest = new_table.Digest();
  this->head.chunks = new_table.ChunkDigests();
  this->head.changes = {config_change};
  for (std::size_t index = 0; index < kChunkCount; ++index) {
    WriteFile(this->directory /
                  ("chunk-" + new_table.ChunkDigests()[index] + ".json"),
              new_table.ChunkText(index));
  }
  WriteFile(this->directory / "head.json", EncodeHead(this->head));
}

bool FleetFixture::WaitForVersion(DurationMs limit_ms) {
  return WaitFor(
      [this] {
        for (std::size_t index = 0; index < this->entries.size(); ++index) {
          if (this->entries[index] == nullptr) continue;
          if (this->ConfigVersionOf(index) != this->head.version) return false;
        }
        return true;
      },
      limit_ms);
}

bool FleetFixture::WaitFor(const std::function<bool()>& condition,
                           DurationMs limit_ms) {
  const SystemClock clock;
  const TimeMs deadline = clock.Now() + limit_ms;
  while (!condition()) {
    if (clock.Now() >= deadline) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return true;
}

std::string FleetFixture::AddressOf(std::size_t entry) const {
  return this->entries[entry]->settings.address + ":" + std::to_string(kPort);
}

CallerAnswer FleetFixture::Complete(std::size_t entry, const std::string& key,
                                    const std::string& request_id,
                                    Tokens max_tokens, std::int64_t stop_after,
                                    const std::string& last_event_id) const {
  const nlohmann::json body = {{"model", kModel},
                               {"prompt", "a prompt of some words"},
                               {"max_tokens", max_tokens},
                               {"stream", true}};
  httplib::Request request = PostRequest("/v1/completions", body.dump());
  request.set_header("Authorization", "Bearer " + key);
  request.set_header("Request-Id", request_id);
  if (!last_event_id.empty()) {
    request.set_header("Last-Event-ID", last_event_id);
  }
  CallerAnswer answer;
  SseParser parser;
  std::int64_t tokens = 0;
  request.response_handler = [&answer](const httplib::Response& response) {
    answer.status = response.status;
    return true;
  };
  request.content_receiver = [&](const char* data, std::size_t length,
                                 std::uint64_t, std::uint64_t) {
    if (answer.status != 200) {
      ReadRefusal(answer.error_body + std::string(data, length), answer);
      return true;
    }
    for (const SseEvent& event : parser.Feed(std::string_view(data, length))) {
      if (event.name == "error") {
        ReadRefusal(event.data, answer);
      } else if (event.data == "[DONE]") {
        answer.done = true;
      } else {
        if (stop_after >= 0 && tokens >= stop_after) return false;
        if (!event.id.empty()) answer.last_event_id = event.id;
        const auto chunk = nlohmann::json::parse(event.data);
        const auto text = chunk["choices"][0]["text"].get<std::string>();
        answer.text += text;
        tokens += std::ranges::count(text, ' ');
      }
    }
    return stop_after < 0 || tokens < stop_after;
  };
  const auto client = NewHttpClient(this->AddressOf(entry), kCallTimeoutMs);
  httplib::Response response;
  httplib::Error error = httplib::Error::Success;
  client->send(request, response, error);
  return answer;
}

std::string FleetFixture::MintTicket(std::size_t entry,
                                     const std::string& key) const {
  httplib::Request request = PostRequest("/v1/tickets", "");
  request.set_header("Authorization", "Bearer " + key);
  const auto client = NewHttpClient(this->AddressOf(entry), kCallTimeoutMs);
  const auto response = client->send(request);
  if (!response || response->status != 200) return {};
  return nlohmann::json::parse(response->body)["ticket"].get<std::string>();
}

CallerAnswer FleetFixture::CallService(std::size_t entry,
                                       const std::string& key,
                                       const std::string& path,
                                       const std::string& body,
                                       const std::string& ticket) const {
  httplib::Request request = PostRequest(path, body);
  if (!key.empty()) request.set_header("Authorization", "Bearer " + key);
  if (!ticket.empty()) request.set_header("Limpethaven-Ticket", ticket);
  const auto client = NewHttpClient(this->AddressOf(entry), kCallTimeoutMs);
  const auto response = client->send(request);
  CallerAnswer answer;
  if (!response) return answer;
  answer.status = response->status;
  ReadRefusal(response->body, answer);
  return answer;
}

void FleetFixture::KillEntry(std::size_t entry) {
  EntryUnderTest* const killed = this->entries[entry];
  if (killed == nullptr) return;
  this->entries[entry] = nullptr;
  // The loop stops with its pending work undone, as at the end of a process.
  // This work refers to the node, so that loop and node must outlive the test.
  asio::post(killed->loop, [killed] {
    killed->node->CloseSockets();
    killed->loop.stop();
  });
  killed->thread.join();
}

std::uint64_t FleetFixture::ConfigVersionOf(std::size_t entry) const {
  return this->CallOnLoop<std::uint64_t>(
      entry, [](EntryNode& node) { return node.ConfigVersion(); });
}

Tokens FleetFixture::TokensOf(std::size_t entry, std::string_view team) const {
  return this->CallOnLoop<Tokens>(
      entry, [team](EntryNode& node) { return node.AvailableTokens(team); });
}

void FleetFixture::OfferConfiguration(std::size_t entry) {
  Configuration next = this->config;
  next.version = this->head.version;
  next.digest = this->head.digest;
  static_cast<void>(this->CallOnLoop<bool>(entry, [&next](EntryNode& node) {
    node.ApplyConfiguration(next);
    return true;
  }));
}

void FleetFixture::DrainEntry(std::size_t entry) {
  static_cast<void>(this->CallOnLoop<bool>(entry, [](EntryNode& node) {
    node.Drain();
    return true;
  }));
}

bool FleetFixture::EntryEnded(std::size_t entry) const {
  return this->entries[entry]->loop.stopped();
}

std::int64_t FleetFixture::PiecesHeld() const {
  std::int64_t held = 0;
  for (const auto& engine : this->decodes) held += engine->PiecesUsed();
  return held;
}

bool FleetFixture::AnyEndpointReceived(std::string_view text) const {
  const auto received = [text](const auto& endpoint) {
    return endpoint->Seen().Contains(text);
  };
  return std::ranges::any_of(this->prefills, received) ||
         std::ranges::any_of(this->decodes, received) ||
         this->service->Seen().Contains(text);
}

void FleetFixture::StartEntry(std::size_t index) {
  EntryUnderTest& entry = *this->entries[index];
  entry.settings.platform = this->platform->Address();
  entry.source =
      std::make_unique<NativeSource>(entry.loop, entry.settings.platform);
  NodeDialects dialects;
  const std::string& secret = entry.settings.fleet_secret;
  dialects.callers = std::make_unique<NativeCallers>(secret);
  dialects.endpoints = std::make_unique<NativeEndpoints>(secret);
  NodeSettings node_settings = NodeSettingsOf(entry.settings);
  node_settings.router.retries = this->settings.retries;
  entry.node = std::make_unique<EntryNode>(entry.loop, std::move(node_settings),
                                           std::move(dialects));
  entry.api = std::make_unique<CallerApi>(*entry.node, secret);
  static_cast<void>(entry.node->Start(*entry.source));
  entry.thread = std::thread([&entry] { entry.loop.run(); });
}

Configuration FleetFixture::BaseConfiguration() const {
  Configuration base;
  base.fleet.share_slots = static_cast<std::int64_t>(this->settings.entries);
  const auto add_team = [&](const std::string& name, const std::string& key) {
    base.teams.emplace(name, TeamSpec{name, this->settings.rate_tokens_per_s,
                                      this->settings.burst_tokens, 1});
    const std::string digest = Sha256Hex(key);
    base.keys.emplace(digest, KeySpec{digest, name});
  };
  add_team("north", kNorthKey);
  add_team("south", kSouthKey);
  const auto add_pool = [&](const std::string& name, PoolRole role,
                            const auto& engines) {
    PoolSpec pool{name, role, kModel, this->settings.pieces, true, {}};
    for (const auto& engine : engines) {
      pool.endpoints.push_back(EndpointSpec{engine->Address(), "zone", false});
    }
    base.pools.emplace(name, pool);
  };
  add_pool("prefill", PoolRole::kPrefill, this->prefills);
  add_pool("decode", PoolRole::kDecode, this->decodes);
  base.pools.emplace(
      "ledger",
      PoolSpec{"ledger",
               PoolRole::kService,
               "",
               0,
               false,
               {EndpointSpec{this->service->Address(), "zone", false}}});
  RouteSpec completions;
  completions.path = "/v1/completions";
  completions.model = kModel;
  completions.repeat = RepeatRule::kResumable;
  completions.prefill_pool = "prefill";
  completions.decode_pool = "decode";
  completions.first_token_ms = 2000;
  completions.token_gap_ms = 48;
  base.routes.emplace(completions.path + "#" + completions.model, completions);
  RouteSpec read;
  read.path = "/s/ledger/read";
  read.pool = "ledger";
  base.routes.emplace(read.path, read);
  RouteSpec open = read;
  open.path = "/s/ledger/open";
  open.open = true;
  base.routes.emplace(open.path, open);
  RouteSpec transfer = read;
  transfer.path = "/s/ledger/transfer";
  transfer.repeat = RepeatRule::kOnce;
  base.routes.emplace(transfer.path, transfer);
  return base;
}

}  // namespace limpethaven::testing
