#include "daemon/platform_sync.h"

#include "config/fan_out.h"
#include "telemetry/events.h"

#include <asio/post.hpp>
#include <utility>

namespace peridotfall {

namespace {

using std::chrono::milliseconds;
using telemetry::Event;
using telemetry::field;

constexpr milliseconds TickPeriod{100};
/// Between two looks at who watches: it costs a pass over all members.
constexpr milliseconds RolePeriod{500};
constexpr milliseconds WatchWait{10'000};
/// A leaving VM gets no new work within 3 s of being listed; two watchers of a
/// domain list at different times, and passing it on takes a few hundred ms.
constexpr milliseconds ListPeriod{2'500};
/// Between calls while the platform fails. Only the watchers call, two a
/// failure domain, so a second is little for a platform that is coming back,
/// and it bounds how late its return is noticed. The budget of calls holds
/// where many daemons believe themselves to be watchers.
constexpr milliseconds FailingPause{1'000};

} // namespace

PlatformSync::PlatformSync(asio::io_context &loop, const Clock &clock,
                           platform::Api api,
                           std::shared_ptr<ConfigurationRelay> relay,
                           Fleet &fleet)
    : Loop(loop), Timer(loop), Time(clock), Api(std::move(api)),
      Relay(std::move(relay)), Peers(fleet) {}

void PlatformSync::start() {
  asio::post(Loop, [self = shared_from_this()] { self->tick(); });
}

void PlatformSync::stop() {
  asio::post(Loop, [self = shared_from_this()] {
    self->Stopped = true;
    self->Timer.cancel();
  });
}

std::string PlatformSync::lastAnswer() const {
  std::lock_guard guard(AnswerLock);
  return LastAnswer;
}

void PlatformSync::tick() {
  if (Stopped)
    return;
  auto now = Time.now();
  if (now >= NextRole) {
    NextRole = now + RolePeriod;
    Watcher = isWatcher(Peers.members(), Peers.self());
  }
  if (Watcher) {
    if (!Watching && now >= NextWatch)
      watch();
    if (now >= NextList)
      listVms();
  }
  Timer.expires_after(TickPeriod);
  Timer.async_wait([self = shared_from_this()](std::error_code ec) {
    if (!ec)
      self->tick();
  });
}

void PlatformSync::watch() {
  Watching = true;
  Api.Watch(platform::ConfigurationKey, Version, WatchWait,
            [self = shared_from_this(),
             attempt = ++Attempt](const Result<platform::Object> &it) {
              asio::post(self->Loop,
                         [self, attempt, it] { self->watched(attempt, it); });
            });
}

void PlatformSync::watched(std::uint64_t attempt,
                           const Result<platform::Object> &it) {
  if (it) {
    auto parsed = parseConfiguration(it.value().Value);
    if (parsed)
      offer(std::move(parsed.value()));
    else
      telemetry::log(
          Event::ConfigurationRejected,
          {field("version", it.value().Version),
           field("finding", describe(parsed.error().front(), "platform"))});
    Version = std::max(Version, it.value().Version);
  }
  if (attempt != Attempt)
    return;
  Watching = false;
  if (it) {
    answered("watch", parseConfiguration(it.value().Value)
                          ? ""
                          : "the stored configuration cannot be read");
    return;
  }
  bool none = it.error().Code == ErrorCode::NotFound;
  answered("watch", none ? "" : it.error().Message);
  if (none) {
    std::lock_guard guard(AnswerLock);
    LastAnswer = "no configuration has been applied";
  }
  NextWatch = Time.now() + FailingPause;
}

void PlatformSync::offer(Configuration config) {
  if (std::exchange(Begun, true)) {
    Relay->offerConfiguration(std::move(config));
    return;
  }
  // Failure: a new daemon has the configuration and no list of VMs yet.
  // Symptom: alone in its view, it owns targets that another owns already.
  // Reading the list before its first configuration is in force suffices;
  // where that fails it goes on, as the platform's outage must not stop it.
  Api.ListVms([self = shared_from_this(), config = std::move(config)](
                  const Result<std::vector<Member>> &it) {
    if (it)
      self->Relay->offerList(it.value());
    self->Relay->offerConfiguration(config);
  });
}

void PlatformSync::listVms() {
  NextList = Time.now() + (Failing ? FailingPause : ListPeriod);
  Api.ListVms(
      [self = shared_from_this()](const Result<std::vector<Member>> &it) {
        asio::post(self->Loop, [self, it] {
          if (it)
            self->Relay->offerList(it.value());
          self->answered("list", it ? "" : it.error().Message);
        });
      });
}

void PlatformSync::answered(const char *call, const std::string &error) {
  bool recovered = error.empty() && Failing;
  bool lost = !error.empty() && !Failing;
  Failing = !error.empty();
  if (lost)
    telemetry::log(Event::PlatformUnavailable,
                   {field("call", call), field("error", error)});
  // Failure: a watch was sent while the platform was away. Symptom: it hangs
  // for its whole wait, and a change accepted meanwhile is learnt late. The
  // first answer of another call tells that a new watch will be heard.
  if (recovered && Watching) {
    Watching = false;
    NextWatch = {};
  }
  if (Failing)
    NextList = std::min(NextList, Time.now() + FailingPause);
  if (Failing || recovered) {
    std::lock_guard guard(AnswerLock);
    LastAnswer = Failing ? error : "answers";
  }
}

} // namespace peridotfall
