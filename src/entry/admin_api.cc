#include "entry/admin_api.h"

#include <algorithm>
#include <csignal>
#include <nlohmann/json.hpp>

namespace limpethaven {
namespace {

using nlohmann::json;

json DescribeMembers(const EntryNode& node) {
  json rows = json::array();
  std::ranges::for_each(node.gossip->Members(), [&rows](const Member& member) {
    rows.push_back({{"address", member.news.address},
                    {"data_centre", member.news.data_centre},
                    {"incarnation", member.news.incarnation},
                    {"state", NameOf(member.news.state)},
                    {"listed", member.listed},
                    {"config_version", member.config_version}});
  });
  return rows;
}

json DescribeTeams(EntryNode& node) {
  json rows = json::array();
  std::ranges::for_each(node.config->Snapshot()->teams, [&](const auto& entry) {
    const ShareView view = node.shares->View(entry.first);
    rows.push_back({{"team", entry.first},
                    {"rate_tokens_per_s", entry.second.rate_tokens_per_s},
                    {"burst_tokens", entry.second.burst_tokens},
                    {"available", view.available},
                    {"cap", view.cap},
                    {"lent_in_flight", view.lent_in_flight},
                    {"in_service", view.in_service}});
  });
  return rows;
}

json DescribeStatus(EntryNode& node) {
  const auto config = node.config->Snapshot();
  return {{"vm", node.self.address},
          {"incarnation", node.self.incarnation},
          {"data_centre", node.settings.data_centre},
          {"ready", node.Ready()},
          {"leaving", node.Leaving()},
          {"config_version", config->version},
          {"config_digest", config->digest},
          {"active", node.active.Size()},
          {"tokens_borrowed", node.shares->Borrowed()},
          {"gossip_bytes", node.transport.DatagramBytes()},
          {"members", DescribeMembers(node)}};
}

void Send(httplib::Response& response, const json& body) {
  response.set_content(body.dump(), "application/json");
}

}  // namespace

void AddAdminRoutes(EntryNode& node, httplib::Server& routes) {
  routes.Get("/v1/health", [&node](const httplib::Request&,
                                   httplib::Response& response) {
    const bool healthy = node.Ready() && !node.Leaving();
    response.status = healthy ? 200 : 503;
    Send(response, {{"ready", node.Ready()}, {"leaving", node.Leaving()}});
  });
  routes.Get("/metrics", [&node](const httplib::Request&,
                                 httplib::Response& response) {
    response.set_content(node.metrics.Text(), "text/plain; version=0.0.4");
  });
  routes.Get("/debug/status",
             [&node](const httplib::Request&, httplib::Response& response) {
               Send(response, DescribeStatus(node));
             });
  routes.Get("/debug/teams",
             [&node](const httplib::Request&, httplib::Response& response) {
               Send(response, DescribeTeams(node));
             });
  routes.Get("/debug/cells",
             [&node](const httplib::Request&, httplib::Response& response) {
               Send(response, node.cells->Describe());
             });
  routes.Post("/admin/drain",
              [](const httplib::Request&, httplib::Response& response) {
                Send(response, {{"draining", true}});
                std::raise(SIGTERM);
              });
}

}  // namespace limpethaven
