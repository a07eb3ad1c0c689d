#include "telemetry/target_spans.h"

#include <utility>

namespace peridotfall::telemetry {

namespace {

using TracerPtr = std::shared_ptr<Tracer>;

target::ConnectionPtr traced(const target::ConnectionPtr &inner,
                             const TracerPtr &tracer) {
  auto out = std::make_shared<target::Connection>(*inner);
  out->Execute = [inner, tracer](const StatementRequest &request,
                                 std::chrono::milliseconds limit,
                                 target::OnAnswer done) {
    auto span = tracer->startSpan(Hop::Target, request.Traceparent);
    span.Attributes = {{"peridotfall.target", request.Target.Value}};
    auto sent = request;
    sent.Traceparent = span.traceparent();
    inner->Execute(sent, limit,
                   [tracer, span = std::move(span),
                    done = std::move(done)](StatementAnswer it) mutable {
                     span.Attributes.emplace_back("peridotfall.code",
                                                  toString(it.Code));
                     tracer->finishSpan(std::move(span));
                     done(std::move(it));
                   });
  };
  return out;
}

} // namespace

target::Api traceStatements(target::Api api, std::shared_ptr<Tracer> tracer) {
  auto connect = std::move(api.Connect);
  api.Connect = [connect, tracer](target::OnConnection done) {
    connect([tracer,
             done = std::move(done)](const Result<target::ConnectionPtr> &it) {
      if (it)
        done(traced(it.value(), tracer));
      else
        done(it);
    });
  };
  return api;
}

} // namespace peridotfall::telemetry
