#include "platform_fleet.h"

#include <unistd.h>

#include <algorithm>
#include <list>
#include <numeric>
#include <optional>

#include "net/http_parser.h"
#include "platform/dialect.h"

namespace limpethaven::testing {
namespace {

constexpr int kCallerPort = 18'280;
constexpr int kPeerPort = 18'281;
constexpr int kEnginePort = 18'282;
constexpr DurationMs kCallTimeoutMs = 10'000;
constexpr DurationMs kStartTimeoutMs = 20'000;
constexpr DurationMs kPollMs = 2;
constexpr DurationMs kSourceAnswerPeriodMs = 500;
constexpr std::string_view kHost = "fleet.example";

/// Returns a loopback IP number that no other part of this program uses. The
/// process id makes a clash with another test program unlikely.
std::string NextLoopbackIp() {
  static int next = 0;
  const int number = ++next;
  return "127." + std::to_string(21 + ::getpid() % 200) + "." +
         std::to_string(128 + number / 250) + "." +
         std::to_string(number % 250 + 1);
}

Configuration ConfigurationOf(const PlatformFleetSettings& settings) {
  Configuration config;
  config.version = 1;
  config.digest = "fixed";
  PoolSpec engines;
  engines.name = "scribe";
  engines.engine = EngineSpec{16, 100'000, 1000, 10'000, 500, 1};
  engines.engine->role_change_ms = settings.role_change_ms;
  engines.engine->balance_roles = settings.role_change_ms > 0;
  config.pools.emplace(engines.name, engines);
  PoolSpec service;
  service.name = "shop";
  config.pools.emplace(service.name, service);
  RouteSpec generate;
  generate.name = "generate";
  generate.host = kHost;
  generate.path = "/generate/";
  generate.pool = engines.name;
  generate.open = true;
  generate.streams = true;
  generate.repeat = settings.repeat;
  generate.max_sends = settings.max_sends;
  generate.first_token_ms = 2000;
  generate.timeout_ms = settings.timeout_ms;
  generate.patience_ms = settings.timeout_ms;
  config.routes.emplace(generate.host + generate.path, generate);
  RouteSpec plain = generate;
  plain.name = "plain";
  plain.path = "/plain/";
  plain.pool = service.name;
  plain.streams = false;
  plain.repeat = settings.plain_repeat;
  config.routes.emplace(plain.host + plain.path, plain);
  return config;
}

std::string EventText(int number) {
  const std::string id = std::to_string(number);
  return "id: " + id + "\ndata: token " + id + "\n\n";
}

ResponseHead AnswerHeadOf(const RequestHead& call) {
  ResponseHead head{200, {}};
  head.headers.Add("X-Attempt-Id", call.headers.Get("X-Attempt-Id"));
  head.headers.Add("X-Server-Seal", "seal");
  head.headers.Add("Content-Type", "text/event-stream");
  return head;
}

}  // namespace

/// Source that reports one configuration and a list of endpoints.
class FixedSource final : public Source {
 public:
  void Start(SourceListener& listener) override {
    this->listeners.push_back(&listener);
    listener.OnSourceReachable(true);
    listener.OnConfiguration(this->config);
    listener.OnAllEndpoints(this->endpoints, {0, this->revision}, std::nullopt);
  }
  /// Removes the first `count` endpoints.
  void Remove(std::size_t count) {
    this->endpoints.erase(
        this->endpoints.begin(),
        this->endpoints.begin() + static_cast<std::ptrdiff_t>(count));
    this->Announce();
  }
  /// Reports that an endpoint has started anew.
  void Restart(std::string_view address) {
    ++std::ranges::find(this->endpoints, address, &EndpointRecord::address)
          ->born;
    this->Announce();
  }
  /// Reports all endpoints to the listeners.
  void Announce() {
    ++this->revision;
    std::ranges::for_each(this->listeners, [this](SourceListener* listener) {
      listener->OnAllEndpoints(this->endpoints, {0, this->revision},
                               std::nullopt);
    });
  }
  /// Answers the listeners' watches without a change.
  void AnswerWatches() {
    std::ranges::for_each(this->listeners, [](SourceListener* listener) {
      listener->OnSourceAnswered(SourcePart::kConfiguration);
      listener->OnSourceAnswered(SourcePart::kEndpoints);
    });
  }

  Configuration config;
  std::vector<EndpointRecord> endpoints;

 private:
  std::uint64_t revision = 1;
  std::vector<SourceListener*> listeners;
};

/// A listener whose queue is full: the kernel drops the packets of further
/// connections.
class FullListener {
 public:
  FullListener(Loop& loop, const std::string& address) : acceptor(loop) {
    const asio::ip::tcp::endpoint endpoint = *ParseAddress(address);
    this->acceptor.open(endpoint.protocol());
    this->acceptor.set_option(asio::socket_base::reuse_address(true));
    this->acceptor.bind(endpoint);
    this->acceptor.listen(0);
    constexpr std::size_t kQueued = 2;
    for (std::size_t number = 0; number < kQueued; ++number) {
      this->queued.emplace_back(loop);
      this->queued.back().async_connect(endpoint, [](const error_code&) {});
    }
  }

 private:
  asio::ip::tcp::acceptor acceptor;
  std::list<asio::ip::tcp::socket> queued;
};

std::string PrefillAnswer(const RequestHead& call) {
  ResponseHead head = AnswerHeadOf(call);
  return WriteResponse(head, R"({"handle":"h1","tokens":120,"version":1})");
}

ScriptedEngine::ScriptedEngine(Loop& event_loop, std::string listen_address,
                               Answer script)
    : address(std::move(listen_address)),
      loop(event_loop),
      answer(std::move(script)) {}

void ScriptedEngine::Listen() {
  this->acceptor = std::make_shared<asio::ip::tcp::acceptor>(
      this->loop, *ParseAddress(this->address), true);
  Spawn(this->loop, [this, listener = this->acceptor]() -> Task<> {
    co_await this->Accept(listener);
  });
}

void ScriptedEngine::Stop() {
  error_code ignored;
  if (this->acceptor) this->acceptor->close(ignored);
  std::ranges::for_each(this->connections, [](const auto& entry) {
    if (const ConnectionPtr open = entry.lock()) open->Reset();
  });
  this->connections.clear();
}

std::uint64_t ScriptedEngine::EndlessBytes() const noexcept {
  return this->endless_bytes;
}

Task<> ScriptedEngine::Accept(
    std::shared_ptr<asio::ip::tcp::acceptor> listener) {
  for (;;) {
    asio::ip::tcp::socket socket(this->loop);
    error_code fault;
    co_await listener->async_accept(
        socket, asio::redirect_error(asio::use_awaitable, fault));
    if (fault) co_return;
    auto connection =
        std::make_shared<Connection>(this->loop, std::move(socket), "");
    connection->Start();
    this->connections.push_back(connection);
    Spawn(this->loop,
          [this, connection]() -> Task<> { co_await this->Serve(connection); });
  }
}

Task<> ScriptedEngine::Serve(ConnectionPtr connection) {
  while (!connection->Closed()) {
    HttpParser parser(HttpParser::Kind::kRequest, MessageLimits{});
    while (!parser.Done()) {
      connection->Consume(parser.Put(connection->Input()));
      if (parser.Done()) break;
      if (connection->State() != InputState::kOpen) co_return;
      co_await connection->WaitInput(connection->Input().size(),
                                     LoopNow() + kCallTimeoutMs);
    }
    this->calls.push_back(parser.Request());
    this->bodies.push_back(parser.TakeBody());
    this->call_times.push_back(LoopNow());
    const EngineAnswer reply = this->answer(parser.Request());
    std::string bytes = reply.bytes;
    bool sent = co_await connection->Write(std::move(bytes),
                                           LoopNow() + kCallTimeoutMs);
    while (sent && !reply.endless.empty() &&
           connection->State() == InputState::kOpen) {
      std::string block = reply.endless;
      sent = co_await connection->Write(std::move(block),
                                        LoopNow() + kCallTimeoutMs);
      this->endless_bytes += reply.endless.size();
      // Lets the other tasks of the loop run.
      co_await asio::post(this->loop, asio::use_awaitable);
    }
    if (!reply.late.empty()) {
      Spawn(this->loop, [this, connection, reply]() -> Task<> {
        bool more = true;
        while (more && connection->State() == InputState::kOpen) {
          co_await SleepFor(this->loop, reply.late_ms);
          std::string text = reply.late;
          more = co_await connection->Write(std::move(text),
                                            LoopNow() + kCallTimeoutMs);
          more = more && reply.late_repeats;
        }
      });
    }
    if (reply.crash) {
      Spawn(this->loop, [this]() -> Task<> { co_await this->Restart(); });
      co_return;
    }
    if (reply.close || !reply.endless.empty()) connection->Close();
  }
}

Task<> ScriptedEngine::Restart() {
  this->Stop();
  std::optional<FullListener> cut_off;
  if (this->cut_off_when_down) cut_off.emplace(this->loop, this->address);
  co_await SleepFor(this->loop, this->down_ms);
  cut_off.reset();
  this->Listen();
  if (this->on_restart) this->on_restart();
}

std::string StreamHeadUntilClose(const RequestHead& call) {
  const ResponseHead head = AnswerHeadOf(call);
  std::string text = "HTTP/1.1 200 OK\r\n";
  std::ranges::for_each(head.headers.All(), [&text](const HttpHeader& header) {
    text += header.name + ": " + header.value + "\r\n";
  });
  return text + "\r\n";
}

std::string WholeStream(const RequestHead& call, int events) {
  std::string text = WriteChunkedHead(AnswerHeadOf(call));
  for (int number = 1; number <= events; ++number) {
    text += WriteChunk(EventText(number));
  }
  return text + WriteChunk("");
}

PlatformFleet::PlatformFleet(PlatformFleetSettings fleet_settings,
                             const ScriptedEngine::Answer& script)
    : settings(fleet_settings), pool(this->loop, 16) {
  auto fixed = std::make_unique<FixedSource>();
  fixed->config = ConfigurationOf(this->settings);
  const auto add = [&](const char* pool_name, PoolRole role) {
    this->engines.push_back(std::make_unique<ScriptedEngine>(
        this->loop, NextLoopbackIp() + ":" + std::to_string(kEnginePort),
        script));
    this->engines.back()->Listen();
    fixed->endpoints.push_back(
        EndpointRecord{"engine-" + std::to_string(this->engines.size()), 1,
                       this->engines.back()->address, "zone", pool_name, role,
                       this->settings.slots, false});
  };
  for (std::size_t index = 0; index < this->settings.engines; ++index) {
    add("scribe", PoolRole::kDecode);
  }
  for (std::size_t index = 0; index < this->settings.prefill_engines; ++index) {
    add("scribe", PoolRole::kPrefill);
  }
  for (std::size_t index = 0; index < this->settings.service_endpoints;
       ++index) {
    add("shop", PoolRole::kService);
    ScriptedEngine& endpoint = *this->engines.back();
    endpoint.on_restart = [this, &endpoint] {
      this->source->Restart(endpoint.address);
    };
  }
  this->source = std::move(fixed);
  Spawn(this->loop, [this]() -> Task<> {
    for (;;) {
      co_await SleepFor(this->loop, kSourceAnswerPeriodMs);
      if (!this->source_silent) this->source->AnswerWatches();
    }
  });
  for (std::size_t index = 0; index < this->settings.entries; ++index) {
    this->addresses.push_back(NextLoopbackIp());
  }
  this->entries.resize(this->settings.entries);
  for (std::size_t index = 0; index < this->settings.entries; ++index) {
    this->StartEntry(index);
  }
  static_cast<void>(this->RunUntil(
      [this] {
        return std::ranges::all_of(this->entries, [this](const auto& entry) {
          return entry->HasServingMembers(this->settings.entries);
        });
      },
      kStartTimeoutMs));
}

PlatformFleet::~PlatformFleet() {
  std::ranges::for_each(this->entries, [](const auto& entry) {
    if (entry != nullptr) entry->CloseSockets();
  });
  std::ranges::for_each(this->engines,
                        [](const auto& engine) { engine->Stop(); });
  CloseAllConnections(this->loop);
  this->loop.poll();
  this->loop.EndTasks();
}

HttpResponse PlatformFleet::Call(std::size_t entry, std::string_view prefix) {
  this->Start(entry, prefix);
  return this->AwaitResponse();
}

void PlatformFleet::Start(std::size_t entry, std::string_view prefix) {
  this->Fetch(entry, "/generate/1", prefix);
}

void PlatformFleet::StartService(std::size_t entry, std::string_view path) {
  this->Fetch(entry, path, "");
}

HttpResponse PlatformFleet::CallService(std::size_t entry,
                                        std::string_view path) {
  this->StartService(entry, path);
  return this->AwaitResponse();
}

void PlatformFleet::Fetch(std::size_t entry, std::string_view path,
                          std::string_view prefix) {
  ++this->started_calls;
  const std::string address =
      this->addresses[entry] + ":" + std::to_string(kCallerPort);
  Spawn(this->loop,
        [this, address, started_at = LoopNow(), path = std::string(path),
         text = this->RequestBytes(path, prefix)]() mutable -> Task<> {
          HttpResponse response = co_await FetchResponse(
              this->loop, this->pool, address, std::move(text),
              LoopNow() + kCallTimeoutMs);
          this->responses.push_back(std::move(response));
          this->response_paths.push_back(path);
          this->response_times.push_back(LoopNow() - started_at);
        });
}

ConnectionPtr PlatformFleet::Connect(std::size_t entry) {
  ConnectionPtr connection;
  bool ended = false;
  Spawn(this->loop, [&]() -> Task<> {
    connection = co_await Connection::Dial(
        this->loop, this->addresses[entry] + ":" + std::to_string(kCallerPort),
        LoopNow() + kCallTimeoutMs);
    ended = true;
  });
  static_cast<void>(this->RunUntil([&] { return ended; }, 2 * kCallTimeoutMs));
  return connection;
}

void PlatformFleet::Write(Connection& connection, std::string_view prefix) {
  Spawn(this->loop,
        [self = connection.shared_from_this(),
         text = this->RequestBytes("/generate/1", prefix)]() mutable -> Task<> {
          co_await self->Write(std::move(text), LoopNow() + kCallTimeoutMs);
        });
}

HttpResponse PlatformFleet::AwaitResponse() {
  const bool all_ended = this->RunUntil(
      [this] { return this->responses.size() == this->started_calls; },
      2 * kCallTimeoutMs);
  return all_ended ? this->responses.back() : HttpResponse{CallFault::kTimeout};
}

void PlatformFleet::RemoveEngines(std::size_t count) {
  this->source->Remove(count);
}

void PlatformFleet::AnnounceRole(std::size_t engine, PoolRole role) {
  const std::string& address = this->engines[engine]->address;
  std::ranges::find(this->source->endpoints, address, &EndpointRecord::address)
      ->role = role;
  this->source->Announce();
}

void PlatformFleet::PublishChange() { this->source->Announce(); }

void PlatformFleet::SilenceSource(bool silent) { this->source_silent = silent; }

void PlatformFleet::KillEntry(std::size_t entry) {
  this->entries[entry]->CloseSockets();
  this->RunFor(kPollMs);
  this->ended.push_back(std::move(this->entries[entry]));
}

std::size_t PlatformFleet::EntryAt(std::string_view ip) const {
  return static_cast<std::size_t>(std::ranges::find(this->addresses, ip) -
                                  this->addresses.begin());
}

void PlatformFleet::DrainEntry(std::size_t entry) {
  this->entries[entry]->Drain();
}

void PlatformFleet::RestartEntry(std::size_t entry) {
  this->entries[entry]->CloseSockets();
  this->RunFor(kPollMs);
  this->ended.push_back(std::move(this->entries[entry]));
  this->StartEntry(entry);
}

bool PlatformFleet::RunUntil(const std::function<bool()>& condition,
                             DurationMs limit_ms) {
  const TimeMs deadline = LoopNow() + limit_ms;
  while (!condition()) {
    if (LoopNow() >= deadline) return false;
    this->loop.run_for(std::chrono::milliseconds(kPollMs));
    this->loop.restart();
  }
  return true;
}

void PlatformFleet::RunFor(DurationMs duration_ms) {
  static_cast<void>(this->RunUntil([] { return false; }, duration_ms));
}

std::size_t PlatformFleet::CallsTo(std::string_view path) const {
  return std::accumulate(
      this->engines.begin(), this->engines.end(), std::size_t{0},
      [path](std::size_t sum, const auto& engine) {
        return sum + static_cast<std::size_t>(std::ranges::count(
                         engine->calls, path, &RequestHead::target));
      });
}

std::size_t PlatformFleet::CallsWith(std::string_view text) const {
  std::size_t count = 0;
  std::ranges::for_each(this->engines, [&](const auto& engine) {
    count += static_cast<std::size_t>(
        std::ranges::count_if(engine->calls, [text](const RequestHead& call) {
          return call.headers.Get("X-Prefix-Hash").find(text) !=
                 std::string_view::npos;
        }));
  });
  return count;
}

void PlatformFleet::StartEntry(std::size_t index) {
  NodeSettings node;
  const std::string& ip = this->addresses[index];
  node.vm = "vm-" + std::to_string(index);
  node.ip = ip;
  node.data_centre = "zone";
  node.callers_address = ip + ":" + std::to_string(kCallerPort);
  node.peer_port = kPeerPort;
  node.seeds = {this->addresses.front(), this->addresses.back()};
  node.router.retries = this->settings.retries;
  node.address_ttl_ms = this->settings.address_ttl_ms;
  node.shutdown_timeout_ms = this->settings.shutdown_timeout_ms;
  node.router.allow_local_prefill = true;
  node.router.balance_plain_pools = this->settings.balance_plain_pools;
  node.router.balance_min_processes = this->settings.balance_min_processes;
  node.cells.allow_local_prefill = true;
  node.cells.reserve_maximum = false;
  node.cells.settle_ms = this->settings.settle_ms;
  node.cell_size = this->settings.cell_size;
  NodeDialects dialects;
  dialects.callers = std::make_unique<platform::PlatformCallers>();
  dialects.endpoints = std::make_unique<platform::PlatformEndpoints>();
  this->entries[index] =
      std::make_unique<EntryNode>(this->loop, node, std::move(dialects));
  static_cast<void>(this->entries[index]->Start(*this->source));
}

std::string PlatformFleet::RequestBytes(std::string_view path,
                                        std::string_view prefix) {
  RequestHead head{"POST", std::string(path)};
  head.headers.Add("Host", kHost);
  head.headers.Add("X-Attempt-Id",
                   "request-" + std::to_string(++this->next_request));
  head.headers.Add("X-Deadline-Ms", std::to_string(this->settings.timeout_ms));
  if (!prefix.empty()) {
    head.headers.Add("X-Token-Count",
                     "120," + std::to_string(this->settings.output_tokens));
    head.headers.Add("X-Prefix-Hash", prefix);
  }
  return WriteRequest(head, "prompt");
}

}  // namespace limpethaven::testing
