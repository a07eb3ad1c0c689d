#include "messages/quota.h"

#include "messages/quota.pb.h"
#include "messages/time.h"

namespace peridotfall::messages {

namespace {

Error malformed() {
  return {ErrorCode::Invalid, "quota message: malformed or value out of range"};
}

} // namespace

std::string encode(const UseReport &it) {
  quota::UseReport out;
  for (const auto &use : it.Uses) {
    auto *next = out.add_uses();
    next->set_account(use.Account.Value);
    next->set_run(use.Run);
    next->set_asked(use.Asked);
  }
  return out.SerializeAsString();
}

std::string encode(const UseAnswer &it) {
  quota::UseAnswer out;
  for (const auto &grant : it.Grants) {
    auto *next = out.add_grants();
    next->set_granted(grant.Granted);
    next->set_mode(static_cast<std::uint32_t>(grant.Mode));
    next->set_wait_us(toMicros(grant.Wait));
  }
  return out.SerializeAsString();
}

Result<UseReport> decodeUseReport(const std::string &bytes) {
  quota::UseReport in;
  if (!in.ParseFromString(bytes))
    return malformed();
  UseReport out;
  for (const auto &it : in.uses())
    out.Uses.push_back({AccountName(it.account()), it.run(), it.asked()});
  return out;
}

Result<UseAnswer> decodeUseAnswer(const std::string &bytes) {
  quota::UseAnswer in;
  if (!in.ParseFromString(bytes))
    return malformed();
  UseAnswer out;
  for (const auto &it : in.grants()) {
    if (it.mode() > static_cast<std::uint32_t>(QuotaMode::Ask))
      return malformed();
    out.Grants.push_back({it.granted(), static_cast<QuotaMode>(it.mode()),
                          fromMicros(it.wait_us())});
  }
  return out;
}

} // namespace peridotfall::messages
