#include "proxy/statement.h"

namespace peridotfall::proxy {

Statement makeProxyStatement(StatementKind kind) {
  Statement it;
  it.Kind = kind;
  return it;
}

const char *nameOf(StatementKind it) {
  switch (it) {
  case StatementKind::Begin:
    return "begin";
  case StatementKind::BeginRead:
    return "begin read";
  case StatementKind::Commit:
    return "commit";
  case StatementKind::Rollback:
    return "rollback";
  case StatementKind::Read:
    return "read";
  case StatementKind::Write:
    return "write";
  case StatementKind::Set:
    return "set";
  case StatementKind::Prepare:
    return "prepare";
  case StatementKind::Execute:
    return "execute";
  case StatementKind::Deallocate:
    return "deallocate";
  case StatementKind::Reset:
    return "reset";
  case StatementKind::Status:
    return "status";
  case StatementKind::Unknown:
    break;
  }
  return "unknown";
}

bool writes(const Statement &it) {
  return it.Kind == StatementKind::Write ||
         (it.Kind == StatementKind::Execute && it.Body.Writes);
}

bool reads(const Statement &it) {
  return it.Kind == StatementKind::Read ||
         (it.Kind == StatementKind::Execute && !it.Body.Writes);
}

const char *nameOf(ErrorKind it) {
  switch (it) {
  case ErrorKind::Busy:
    return "busy";
  case ErrorKind::Aborted:
    return "aborted";
  case ErrorKind::Lagging:
    return "lagging";
  case ErrorKind::ReadOnly:
    return "not primary";
  case ErrorKind::WrongTarget:
    return "wrong target";
  case ErrorKind::ConnectionLimit:
    return "connection limit";
  case ErrorKind::Failed:
    return "failed";
  case ErrorKind::TimedOut:
    return "timed out";
  case ErrorKind::InDoubt:
    return "in doubt";
  case ErrorKind::NoStatement:
    return "no such statement";
  case ErrorKind::Malformed:
    return "malformed";
  case ErrorKind::NoDatabase:
    return "no such database";
  case ErrorKind::KeyUnknown:
    return "key unknown";
  case ErrorKind::Other:
    break;
  }
  return "other";
}

} // namespace peridotfall::proxy
