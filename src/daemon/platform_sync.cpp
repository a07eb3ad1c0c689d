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
/// Between two checks whether this daemon is a watcher: each is a pass over
/// all members.
constexpr milliseconds RoleCheckPeriod{500};
constexpr milliseconds WatchTimeout{10'000};
/// A leaving VM must get no new work 3 s after it is listed as leaving. The two
/// watchers of a domain list at different times, and forwarding the list takes
/// a few hundred milliseconds.
constexpr milliseconds ListPeriod{2'500};
/// Between calls while the platform fails; limits how late its recovery is
/// noticed. Only the watchers call, two per failure domain, which is a light
/// load for a recovering platform. If many daemons assume that they are
/// watchers, the call budget still limits the calls.
constexpr milliseconds FailingCallPeriod{1'000};

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
  if (now >= NextRoleCheck) {
    NextRoleCheck = now + RoleCheckPeriod;
    IsWatcher = isWatcher(Peers.members(), Peers.self());
  }
  if (IsWatcher) {
    if (!WatchPending && now >= NextWatch)
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
  WatchPending = true;
  Api.Watch(platform::ConfigurationKey, Version, WatchTimeout,
            [self = shared_from_this(),
             attempt = ++Attempt](const Result<platform::Object> &it) {
              asio::post(self->Loop, [self, attempt, it] {
                self->handleWatchAnswer(attempt, it);
              });
            });
}

void PlatformSync::handleWatchAnswer(std::uint64_t attempt,
                                     const Result<platform::Object> &it) {
  if (it) {
    auto parsed = parseConfiguration(it.value().Value);
    if (parsed)
      relayConfiguration(std::move(parsed.value()));
    else
      telemetry::log(
          Event::ConfigurationRejected,
          {field("version", it.value().Version),
           field("finding", describe(parsed.error().front(), "platform"))});
    Version = std::max(Version, it.value().Version);
  }
  if (attempt != Attempt)
    return;
  WatchPending = false;
  if (it) {
    handleAnswer("watch", parseConfiguration(it.value().Value)
                              ? ""
                              : "the stored configuration cannot be read");
    return;
  }
  bool none = it.error().Code == ErrorCode::NotFound;
  handleAnswer("watch", none ? "" : it.error().Message);
  if (none) {
    std::lock_guard guard(AnswerLock);
    LastAnswer = "no configuration has been applied";
  }
  NextWatch = Time.now() + FailingCallPeriod;
}

void PlatformSync::relayConfiguration(Configuration config) {
  if (std::exchange(ConfigurationRead, true)) {
    Relay->offerConfiguration(std::move(config));
    return;
  }
  // A new daemon with a configuration but no list of VMs is the only member in
  // its view and would own targets that another daemon already owns. The list
  // is therefore read before the first configuration is in force. If that
  // fails, the daemon continues: a platform outage must not stop it.
  Api.ListVms([self = shared_from_this(), config = std::move(config)](
                  const Result<std::vector<Member>> &it) {
    if (it)
      self->Relay->offerList(it.value());
    self->Relay->offerConfiguration(config);
  });
}

void PlatformSync::listVms() {
  NextList = Time.now() + (Failing ? FailingCallPeriod : ListPeriod);
  Api.ListVms(
      [self = shared_from_this()](const Result<std::vector<Member>> &it) {
        asio::post(self->Loop, [self, it] {
          if (it)
            self->Relay->offerList(it.value());
          self->handleAnswer("list", it ? "" : it.error().Message);
        });
      });
}

void PlatformSync::handleAnswer(const char *call, const std::string &error) {
  bool recovered = error.empty() && Failing;
  bool newlyFailed = !error.empty() && !Failing;
  Failing = !error.empty();
  if (newlyFailed)
    telemetry::log(Event::PlatformUnavailable,
                   {field("call", call), field("error", error)});
  // A watch sent while the platform was down hangs until its timeout, and a
  // change made meanwhile would be seen late. The first answer to another call
  // shows that the platform is available again, so a new watch is sent.
  if (recovered && WatchPending) {
    WatchPending = false;
    NextWatch = {};
  }
  if (Failing)
    NextList = std::min(NextList, Time.now() + FailingCallPeriod);
  if (Failing || recovered) {
    std::lock_guard guard(AnswerLock);
    LastAnswer = Failing ? error : "answers";
  }
}

} // namespace peridotfall
