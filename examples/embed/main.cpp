// Uses session tokens, target ownership and admission from the library alone,
// without running a daemon.

#include <peridotfall/admission.h>
#include <peridotfall/clock.h>
#include <peridotfall/membership.h>
#include <peridotfall/session_token.h>

#include <iostream>

using namespace peridotfall;
using std::chrono::milliseconds;

namespace {

/// A session writes at one daemon and reads at another, to which it sends the
/// token. \return whether the token tells the second daemon of the write.
bool tokenCarriesSession() {
  auto keys = parseTokenKeys("december:a-secret-of-at-least-32-characters");
  if (!keys)
    return false;
  DatabaseName orders("orders");
  auto written = withSeen({}, orders, {.InTerm = 1, .Index = 17}, "order-17");
  auto token = signToken(written, keys.value());
  auto read = verifyToken(token, keys.value());
  return read && read.value().Databases.at(orders).Seen.Index == 17;
}

/// \return the VM whose daemon owns a target. Every daemon with the same list
/// of members computes the same owner.
VmName ownerOf(const TargetName &target) {
  std::vector<Member> members(3);
  for (std::size_t n = 0; n < members.size(); ++n) {
    members[n].Vm = VmName("vm-" + std::to_string(n));
    members[n].Domain = DomainName("tartu-press");
    members[n].Region = RegionName("tartu");
  }
  return rankOwners(members, target, members[0].Domain, members[0].Region)
      .front()
      .Vm;
}

/// Offers three statements to a target with two slots, so that the third waits.
/// \return the number of started statements.
int countStartedStatements() {
  ManualClock clock;
  Admission admission(2, 1);
  int started = 0;
  for (int n = 0; n < 3; ++n) {
    WorkItem item;
    item.Caller = CallerName("desk-" + std::to_string(n));
    item.Work.Expected = milliseconds(5);
    item.Deadline = clock.now() + milliseconds(500);
    admission.offer(item, clock.now());
    if (admission.next(clock.now()))
      ++started;
  }
  return started;
}

} // namespace

int main() {
  bool carried = tokenCarriesSession();
  auto owner = ownerOf(TargetName("orders-press"));
  int started = countStartedStatements();
  std::cout << "session roams: " << carried << "\nowner: " << owner.Value
            << "\nstatements begun: " << started << "\n";
  return carried && !owner.empty() && started == 2 ? 0 : 1;
}
