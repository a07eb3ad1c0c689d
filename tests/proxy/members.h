/// \file
/// Daemons of one failure domain, whose addresses equal their names.

#ifndef PERIDOTFALL_TESTS_PROXY_MEMBERS_H
#define PERIDOTFALL_TESTS_PROXY_MEMBERS_H

#include "peridotfall/membership.h"

#include <string>
#include <vector>

namespace peridotfall::testing {

inline const DomainName Here("here");

inline Member memberOf(std::size_t n) {
  Member it;
  it.Vm = VmName("vm-" + std::to_string(n));
  it.Domain = Here;
  it.InnerAddress = it.Vm.Value;
  return it;
}

inline std::vector<Member> membersOf(std::size_t n) {
  std::vector<Member> out;
  for (std::size_t i = 0; i < n; ++i)
    out.push_back(memberOf(i));
  return out;
}

} // namespace peridotfall::testing

#endif // PERIDOTFALL_TESTS_PROXY_MEMBERS_H
