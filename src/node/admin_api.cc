#include "node/admin_api.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "limpethaven/config_check.h"
#include "node/entry_node.h"

namespace limpethaven {
namespace {

using nlohmann::json;

ResponseHead JsonHead(int status) {
  ResponseHead head{status, {}};
  head.headers.Add("Content-Type", "application/json");
  return head;
}

json DescribeMembers(const Membership& members) {
  json rows = json::array();
  std::ranges::for_each(members.Members(), [&rows](const Member& member) {
    rows.push_back({{"address", member.latest.address},
                    {"data_centre", member.latest.data_centre},
                    {"incarnation", member.latest.incarnation},
                    {"state", NameOf(member.latest.state)},
                    {"serving", member.latest.serving},
                    {"listed", member.listed},
                    {"config_version", member.config_version}});
  });
  return rows;
}

}  // namespace

AdminApi::AdminApi(EntryNode& entry_node) : node(entry_node) {}

Task<> AdminApi::Answer(Exchange& exchange) {
  const RequestHead& head = exchange.Head();
  const std::string_view path = PathOf(head.target);
  if (path == "/metrics") {
    ResponseHead text{200, {}};
    text.headers.Add("Content-Type", "text/plain; version=0.0.4");
    co_await exchange.Answer(std::move(text), this->node.MetricsText());
    co_return;
  }
  if (path == "/v1/health") {
    const json body = {{"ready", this->node.Ready()},
                       {"leaving", this->node.Leaving()}};
    co_await exchange.Answer(JsonHead(this->node.Ready() ? 200 : 503),
                             body.dump());
    co_return;
  }
  const bool allows_drain = !this->node.settings.admin_read_only;
  if (allows_drain && path == "/admin/drain" && head.method == "POST") {
    co_await exchange.Answer(JsonHead(200), R"({"draining":true})");
    this->node.Drain();
    co_return;
  }
  std::string body;
  if (path == "/debug/status") body = this->Status();
  if (path == "/debug/teams") body = this->Teams();
  if (path == "/debug/cells") body = this->Cells();
  if (path == "/debug/config") {
    body = EncodeEntityList(ShownEntities(*this->node.state.Config()));
  }
  const int status = body.empty() ? 404 : 200;
  co_await exchange.Answer(JsonHead(status), std::move(body));
}

std::string AdminApi::Status() const {
  const Membership& members = this->node.gossip.Members();
  const Configuration& config = *this->node.state.Config();
  return json({{"vm", members.Self().address},
               {"incarnation", members.Self().incarnation},
               {"data_centre", this->node.settings.data_centre},
               {"ready", this->node.Ready()},
               {"leaving", this->node.Leaving()},
               {"config_version", config.version},
               {"config_digest", config.digest},
               {"source_reachable", this->node.state.SourceReachable()},
               {"endpoints", this->node.table.All().size()},
               {"active", this->node.router.Core().active.Size()},
               {"tokens_borrowed", this->node.shares.Borrowed()},
               {"gossip_bytes", this->node.gossip.Bytes()},
               {"members", DescribeMembers(members)}})
      .dump();
}

std::string AdminApi::Teams() const {
  json rows = json::array();
  std::ranges::for_each(
      this->node.state.Config()->teams, [&](const auto& entry) {
        const ShareView view = this->node.shares.View(entry.first);
        rows.push_back({{"team", entry.first},
                        {"rate_tokens_per_s", entry.second.rate_tokens_per_s},
                        {"burst_tokens", entry.second.burst_tokens},
                        {"available", view.available},
                        {"cap", view.cap},
                        {"lent_in_flight", view.lent_in_flight},
                        {"in_service", view.in_service}});
      });
  return rows.dump();
}

std::string AdminApi::Cells() const {
  json rows = json::array();
  std::ranges::for_each(
      this->node.cells.HostedCells(LoopNow()), [&rows](const auto& cell) {
        json engines = json::array();
        std::ranges::for_each(
            cell.second, [&engines](const EngineView& engine) {
              engines.push_back({{"engine", engine.id},
                                 {"role", NameOf(engine.role)},
                                 {"memory", engine.memory},
                                 {"peak", engine.peak},
                                 {"generations", engine.generations},
                                 {"backlog_ms", engine.backlog_ms},
                                 {"usable", engine.usable},
                                 {"changing_role", engine.changing_role}});
            });
        rows.push_back({{"cell", cell.first}, {"engines", engines}});
      });
  return rows.dump();
}

}  // namespace limpethaven
