#include "base/encoding.h"
#include "daemon/owner.h"

namespace peridotfall {

namespace {

constexpr std::size_t RandomBytes = 16;
constexpr char Separator = '/';

} // namespace

std::string makeTransactionHandle(const TransactionLocation &location) {
  return encodeBase64Url(location.Vm.Value + Separator + location.Target.Value +
                         Separator + randomHex(RandomBytes));
}

std::optional<TransactionLocation>
parseTransactionHandle(const std::string &handle) {
  auto text = decodeBase64Url(handle);
  if (!text)
    return std::nullopt;
  auto first = text->find(Separator);
  auto last = text->rfind(Separator);
  if (first == std::string::npos || first == last || first == 0)
    return std::nullopt;
  return TransactionLocation{
      VmName(text->substr(0, first)),
      TargetName(text->substr(first + 1, last - first - 1))};
}

} // namespace peridotfall
