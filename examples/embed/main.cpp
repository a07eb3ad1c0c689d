// Session tokens, ownership and admission without the daemons: what a program
// of one's own does with a statement before it sends it.

#include <peridotfall/admission.h>
#include <peridotfall/clock.h>
#include <peridotfall/membership.h>
#include <peridotfall/session_token.h>

#include <iostream>

using namespace peridotfall;
using std::chrono::milliseconds;

namespace {

/// A session writes at one daemon and reads at another: the token goes with
/// it. \return whether the second knows what the first wrote.
bool roamingSession() {
  auto keys = parseTokenKeys("december:a-secret-of-at-least-32-characters");
  if (!keys)
    return false;
  DatabaseName orders("orders");
  auto written = withSeen({}, orders, {.InTerm = 1, .Index = 17}, "order-17");
  auto carried = signToken(written, keys.value());
  auto read = verifyToken(carried, keys.value());
  return read && read.value().Databases.at(orders).Seen.Index == 17;
}

/// \return the daemon that owns a target, the same for whoever asks.
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

/// A target of two slots takes two statements; the third waits.
/// \return how many began.
int statementsBegun() {
  ManualClock clock;
  Admission admission(2, 1);
  int begun = 0;
  for (int n = 0; n < 3; ++n) {
    WorkItem item;
    item.Caller = CallerName("desk-" + std::to_string(n));
    item.Work.Expected = milliseconds(5);
    item.Deadline = clock.now() + milliseconds(500);
    admission.offer(item, clock.now());
    if (admission.next(clock.now()))
      ++begun;
  }
  return begun;
}

} // namespace

int main() {
  bool roams = roamingSession();
  auto owner = ownerOf(TargetName("orders-press"));
  int begun = statementsBegun();
  std::cout << "session roams: " << roams << "\nowner: " << owner.Value
            << "\nstatements begun: " << begun << "\n";
  return roams && !owner.empty() && begun == 2 ? 0 : 1;
}
