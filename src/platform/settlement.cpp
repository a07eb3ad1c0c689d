#include "platform/settlement.h"

#include <utility>

namespace peridotfall::platform {

PutSettlement::Step PutSettlement::finish(Result<Object> answer) {
  Answer = std::move(answer);
  return Step::Done;
}

PutSettlement::Step PutSettlement::afterPut(const Result<Object> &answer) {
  if (answer)
    return finish(answer);
  switch (answer.error().Code) {
  case ErrorCode::Unavailable:
    return Step::SendAgain;
  case ErrorCode::Unknown:
    MaybeStored = true;
    return Step::ReadBack;
  case ErrorCode::Conflict:
    // The conflicting version may be that of an earlier attempt.
    return MaybeStored ? Step::ReadBack : finish(answer);
  default:
    return finish(answer);
  }
}

PutSettlement::Step PutSettlement::afterReadBack(const Result<Object> &stored) {
  Object now;
  if (stored)
    now = stored.value();
  else if (stored.error().Code != ErrorCode::NotFound)
    return Step::ReadBack;
  if (now.Version <= Expected)
    return Step::SendAgain;
  if (now.Version > Expected + 1)
    return finish(Error{ErrorCode::Unknown,
                        "platform: the object was replaced since; it is "
                        "unknown whether this change was stored in between"});
  if (now.Value == Value)
    return finish(now);
  return finish(
      Error{ErrorCode::Conflict, "platform: another version is stored"});
}

Result<Object> PutSettlement::result() const {
  if (Answer)
    return *Answer;
  if (MaybeStored)
    return Error{ErrorCode::Unknown,
                 "platform: no answer within the time limit; "
                 "the change may have been stored"};
  return Error{ErrorCode::Unavailable,
               "platform: not reachable within the time limit"};
}

} // namespace peridotfall::platform
