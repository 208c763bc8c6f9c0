#include "limpethaven/ticket_book.h"

#include <nlohmann/json.hpp>
#include <ostream>

#include "limpethaven/crypto.h"

namespace limpethaven {

std::ostream& operator<<(std::ostream& out, const Ticket& ticket) {
  return out << ticket.nonce << " of " << ticket.team << " minted by "
             << ticket.minter;
}

std::string EncodeTicket(std::string_view secret, const Ticket& ticket) {
  const nlohmann::json fields =
      nlohmann::json::array({"ticket", ticket.nonce, ticket.team,
                             ticket.minter.address, ticket.minter.incarnation});
  return SignText(secret, fields.dump());
}

std::optional<Ticket> DecodeTicket(std::string_view secret,
                                   std::string_view text) {
  const auto fields =
      nlohmann::json::parse(VerifyText(secret, text), nullptr, false);
  if (!fields.is_array() || fields.size() != 5 || fields[0] != "ticket") {
    return std::nullopt;
  }
  try {
    return Ticket{
        fields[1].get<std::string>(), fields[2].get<std::string>(),
        VmId{fields[3].get<std::string>(), fields[4].get<std::uint64_t>()}};
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

TicketBook::TicketBook(VmId owner, TicketSettings initial)
    : self(std::move(owner)), settings(initial) {}

Result<Ticket> TicketBook::Mint(std::string_view team, std::string nonce,
                                TimeMs now) {
  if (this->records.size() >= this->settings.max_records) {
    return Error::Of(ErrorKind::kCapacity,
                     "the process already holds " +
                         std::to_string(this->records.size()) +
                         " ticket records, the highest number allowed");
  }
  Ticket ticket{std::move(nonce), std::string(team), this->self};
  const Record record{ticket.team, State::kMinted,
                      now + this->settings.lifetime_ms};
  if (!this->records.emplace(ticket.nonce, record).second) {
    return Error::Of(ErrorKind::kInternal,
                     "a ticket with the same nonce was minted before");
  }
  return ticket;
}

Result<void> TicketBook::Begin(const Ticket& ticket, std::string_view team,
                               TimeMs now) {
  if (ticket.team != team) {
    return Error::Of(ErrorKind::kTeamMismatch,
                     "the ticket was minted for another team");
  }
  if (ticket.minter != this->self) {
    return Error::Of(ErrorKind::kTicketMinterUnreachable,
                     "the ticket was minted by incarnation " +
                         std::to_string(ticket.minter.incarnation) + " of " +
                         ticket.minter.address +
                         "; only that process can run its request, and this "
                         "one is incarnation " +
                         std::to_string(this->self.incarnation) + " of " +
                         this->self.address);
  }
  const auto record = this->records.find(ticket.nonce);
  if (record == this->records.end()) {
    return Error::Of(ErrorKind::kTicketExpired,
                     "the ticket expired at least " +
                         std::to_string(this->settings.retention_ms) +
                         " ms ago and its record was evicted; whether its "
                         "request has run is unknown");
  }
  if (record->second.state != State::kMinted) {
    const Ran ran =
        record->second.state == State::kDone ? Ran::kYes : Ran::kUnknown;
    return Error::Of(ErrorKind::kTicketUsed,
                     "the ticket's only run was started before")
        .WithRan(ran);
  }
  if (now >= record->second.expires_at) {
    return Error::Of(ErrorKind::kTicketExpired,
                     "the ticket expired " +
                         std::to_string(now - record->second.expires_at) +
                         " ms ago; its request has not run")
        .WithRan(Ran::kNo);
  }
  record->second.state = State::kRunning;
  return Success();
}

void TicketBook::Finish(std::string_view nonce) {
  const auto record = this->records.find(std::string(nonce));
  if (record != this->records.end()) record->second.state = State::kDone;
}

void TicketBook::Release(std::string_view nonce) {
  const auto record = this->records.find(std::string(nonce));
  if (record != this->records.end() &&
      record->second.state == State::kRunning) {
    record->second.state = State::kMinted;
  }
}

void TicketBook::Tick(TimeMs now) {
  std::erase_if(this->records, [&](const auto& entry) {
    const Record& record = entry.second;
    return record.state != State::kRunning &&
           now >= record.expires_at + this->settings.retention_ms;
  });
}

std::size_t TicketBook::Size() const noexcept { return this->records.size(); }

}  // namespace limpethaven
