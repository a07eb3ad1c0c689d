/// \file
/// Callers with accounts that come back after each refusal, in virtual time.

#ifndef PERIDOTFALL_TESTS_PROXY_PRESSED_CALLERS_H
#define PERIDOTFALL_TESTS_PROXY_PRESSED_CALLERS_H

#include "fixture.h"

#include <string>

namespace peridotfall::proxy {

struct PressedCaller {
  CallerId Id;
  StatementKind Kind = StatementKind::Write;
  TimePoint ResendAt;
  std::size_t Seen = 0; ///< Answers that were read.
  unsigned Refused = 0;
  bool Served = false;
};

/// Routes with a limit of 1 s and a goal of 500 ms, and accounts.
struct PressedFixture : ProxyFixture {
  std::vector<PressedCaller> Pressed;

  PressedFixture() { apply(true); }

  void apply(bool withAccounts) {
    auto table = Callers.routes();
    ++table.Version;
    table.Accounts.reset();
    if (withAccounts)
      table.Accounts = AccountTable::make({}).value();
    for (auto &[name, it] : table.Routes) {
      it.Public = true;
      it.StatementLimit = milliseconds(1'000);
      it.Goal = milliseconds(500);
    }
    REQUIRE(Callers.applyRoutes(table));
  }
  void arrive(const char *database, StatementKind kind) {
    PressedCaller it;
    it.Id = session(database);
    it.Kind = kind;
    Pressed.push_back(it);
    send(it.Id, kind, "WRITE a x");
  }
  static milliseconds retryAfter(const Answer &it) {
    const std::string mark = "retry-after-ms=";
    const auto &text = it.Error->Detail;
    return milliseconds(std::stoi(text.substr(text.find(mark) + mark.size())));
  }
  /// Reads the answers, and sends refused statements again when they are due.
  void follow() {
    for (auto &it : Pressed) {
      if (answers(it.Id).size() > it.Seen) {
        ++it.Seen;
        it.Served = last(it.Id).ok();
        if (!it.Served && last(it.Id).Error->Kind == ErrorKind::Busy) {
          ++it.Refused;
          it.ResendAt = Time.now() + retryAfter(last(it.Id));
        }
      }
      if (it.ResendAt == TimePoint{} || Time.now() < it.ResendAt)
        continue;
      it.ResendAt = {};
      send(it.Id, it.Kind, "WRITE a x");
    }
  }
  void removePrimary() {
    Entries.erase(TargetName("p"));
    TargetGroups.updateTargets(Entries);
    TargetGroups.tick();
  }
  void promote(const char *target) {
    Entries.at(TargetName(target)).ClaimsPrimary = true;
    Entries.at(TargetName(target)).Revision = 9;
    TargetGroups.updateTargets(Entries);
  }
};

} // namespace peridotfall::proxy

#endif // PERIDOTFALL_TESTS_PROXY_PRESSED_CALLERS_H
