/// @file
/// Ticket book: guards against a second run of a ticket's request after expiry,
/// a restart of the minter or forgery, and against a false report that it has
/// not run.
#include "limpethaven/ticket_book.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace limpethaven {
namespace {

constexpr const char* kSecret = "a-secret-for-tests";
const VmId kSelf{"10.0.0.1", 7};

ErrorKind KindOf(const Result<void>& outcome) {
  REQUIRE_FALSE(outcome);
  return outcome.error().kind;
}

TEST_CASE("ticket is refused once its run was started") {
  TicketBook book(kSelf);
  const Ticket ticket = book.Mint("north", "n1", 0).value();
  REQUIRE(book.Begin(ticket, "north", 1));
  const auto while_running = book.Begin(ticket, "north", 2);
  REQUIRE(KindOf(while_running) == ErrorKind::kTicketUsed);
  REQUIRE(while_running.error().ran == Ran::kUnknown);
  book.Finish("n1");
  const auto after_finish = book.Begin(ticket, "north", 3);
  REQUIRE(KindOf(after_finish) == ErrorKind::kTicketUsed);
  REQUIRE(after_finish.error().ran == Ran::kYes);
}

TEST_CASE("ticket can be used again after its run was released unsent") {
  TicketBook book(kSelf);
  const Ticket ticket = book.Mint("north", "n1", 0).value();
  REQUIRE(book.Begin(ticket, "north", 1));
  book.Release("n1");
  REQUIRE(book.Begin(ticket, "north", 2));
}

TEST_CASE(
    "ticket of another team, of another process or of an earlier "
    "incarnation is refused") {
  TicketBook book(kSelf);
  const Ticket ticket = book.Mint("north", "n1", 0).value();
  REQUIRE(KindOf(book.Begin(ticket, "south", 1)) == ErrorKind::kTeamMismatch);
  Ticket other_minter = ticket;
  other_minter.minter = VmId{"10.0.0.2", 7};
  REQUIRE(KindOf(book.Begin(other_minter, "north", 1)) ==
          ErrorKind::kTicketMinterUnreachable);
  TicketBook restarted(VmId{"10.0.0.1", 8});
  const auto outcome = restarted.Begin(ticket, "north", 1);
  REQUIRE(KindOf(outcome) == ErrorKind::kTicketMinterUnreachable);
  REQUIRE(outcome.error().ran == Ran::kUnknown);
}

TEST_CASE("ticket that expired unused is refused as not run") {
  TicketBook book(kSelf,
                  TicketSettings{.lifetime_ms = 100, .retention_ms = 1000});
  const Ticket ticket = book.Mint("north", "n1", 0).value();
  const auto expired = book.Begin(ticket, "north", 100);
  REQUIRE(KindOf(expired) == ErrorKind::kTicketExpired);
  REQUIRE(expired.error().ran == Ran::kNo);
  book.Tick(1100);
  REQUIRE(book.Size() == 0);
  const auto after_eviction = book.Begin(ticket, "north", 1100);
  REQUIRE(KindOf(after_eviction) == ErrorKind::kTicketExpired);
  REQUIRE(after_eviction.error().ran == Ran::kUnknown);
}

TEST_CASE("ticket record of a running request is never evicted") {
  TicketBook book(kSelf,
                  TicketSettings{.lifetime_ms = 100, .retention_ms = 1000});
  const Ticket ticket = book.Mint("north", "n1", 0).value();
  REQUIRE(book.Begin(ticket, "north", 1));
  book.Tick(1'000'000);
  REQUIRE(KindOf(book.Begin(ticket, "north", 1'000'000)) ==
          ErrorKind::kTicketUsed);
}

TEST_CASE(
    "ticket text that was changed or signed with another secret is refused") {
  const std::string text = EncodeTicket(kSecret, Ticket{"n1", "north", kSelf});
  REQUIRE(DecodeTicket(kSecret, text) == Ticket{"n1", "north", kSelf});
  REQUIRE_FALSE(DecodeTicket("another-secret-text", text));
  for (std::size_t index = 0; index < text.size(); ++index) {
    std::string changed = text;
    changed[index] = changed[index] == 'A' ? 'B' : 'A';
    if (changed != text) REQUIRE_FALSE(DecodeTicket(kSecret, changed));
  }
}

TEST_CASE("ticket runs at most once for any order of calls") {
  REQUIRE(rc::check("at most one successful run", [] {
    TicketBook book(kSelf,
                    TicketSettings{.lifetime_ms = 50, .retention_ms = 100});
    const Ticket ticket = book.Mint("north", "n1", 0).value();
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5))
             .as("begin, finish, release, tick");
    TimeMs now = 0;
    int sent = 0;
    bool running = false;
    for (const int step : steps) {
      now += 7;
      const bool begun =
          step == 0 && book.Begin(ticket, "north", now).has_value();
      running = running || begun;
      if (step == 1 && running) {
        // The request is sent to an endpoint and may have run from here on.
        ++sent;
        book.Finish("n1");
        running = false;
      }
      if (step == 2 && running) {
        book.Release("n1");
        running = false;
      }
      if (step == 3) book.Tick(now);
    }
    RC_ASSERT(sent <= 1);
  }));
}

}  // namespace
}  // namespace limpethaven
