/// @file
/// The interface for callers: addresses, tickets, completions, cancels and
/// plain services.
#pragma once

#include <httplib.h>

#include "entry/authenticator.h"
#include "entry/entry_node.h"

namespace limpethaven {

/// Caller interface of one process.
class CallerApi {
 public:
  explicit CallerApi(EntryNode& entry_node);
  /// Adds the routes to a server.
  void AddRoutes(httplib::Server& routes);

 private:
  void Addresses(const httplib::Request& request, httplib::Response& response);
  void MintTicket(const httplib::Request& request, httplib::Response& response);
  void Complete(const httplib::Request& request, httplib::Response& response);
  void Resume(const httplib::Request& request, httplib::Response& response);
  void Cancel(const httplib::Request& request, httplib::Response& response);
  void CallService(const httplib::Request& request,
                   httplib::Response& response);

  [[nodiscard]] Result<std::shared_ptr<CompletionSession>> Admit(
      const httplib::Request& request, bool& stream);
  [[nodiscard]] Result<std::shared_ptr<CompletionSession>> AdmitResume(
      const httplib::Request& request);
  [[nodiscard]] Result<ServiceAnswer> Route(const httplib::Request& request);
  void Answer(const std::shared_ptr<CompletionSession>& session,
              const std::string& id, const std::string& model, bool stream,
              httplib::Response& response);
  void Refuse(const httplib::Request& request, httplib::Response& response,
              const Error& error);
  [[nodiscard]] std::string NewRequestId() const;

  EntryNode& node;
};

}  // namespace limpethaven
