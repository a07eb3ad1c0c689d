#include "platform/guarded.h"

#include "platform/settlement.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <mutex>
#include <utility>

namespace peridotfall::platform {

namespace {

using Counter = std::atomic<std::uint64_t> CallCounts::*;

/// State shared by the functions of one guarded API.
struct GuardedApi : std::enable_shared_from_this<GuardedApi> {
  GuardedApi(Api inner, asio::io_context &loop, const Clock &clock,
             const GuardOptions &options, std::shared_ptr<CallCounts> counts)
      : Inner(std::move(inner)), Loop(loop), Time(clock), Options(options),
        Counts(std::move(counts)),
        Reads(options.Budget.ReadsPerSecond, options.Budget.ReadBurst),
        Writes(options.Budget.WritesPerSecond, options.Budget.WriteBurst) {}

  bool admit(CallBudget &budget, Counter kind) {
    std::lock_guard guard(Lock);
    bool admitted = budget.tryAcquire(Time.now());
    ++((*Counts).*(admitted ? kind : &CallCounts::Refused));
    return admitted;
  }

  static Error budgetExceeded() {
    return {ErrorCode::Unavailable, "platform: this daemon's call budget is "
                                    "used up"};
  }

  template <class Answer> void count(const Answer &it) {
    if (!it && (it.error().Code == ErrorCode::Unavailable ||
                it.error().Code == ErrorCode::Unknown))
      ++Counts->Failed;
  }

  /// \return a callback that counts failures and then calls \p done.
  template <class Done> auto counted(Done done) {
    return [self = shared_from_this(), done = std::move(done)](auto it) {
      self->count(it);
      done(std::move(it));
    };
  }

  void get(const std::string &key, OnObject done) {
    if (!admit(Reads, &CallCounts::Gets))
      return done(budgetExceeded());
    Inner.Get(key, counted(std::move(done)));
  }

  void put(const std::string &key, std::uint64_t expected, std::string value,
           OnObject done) {
    if (!admit(Writes, &CallCounts::Puts))
      return done(budgetExceeded());
    Inner.Put(key, expected, std::move(value), counted(std::move(done)));
  }

  Api Inner;
  asio::io_context &Loop;
  const Clock &Time;
  const GuardOptions Options;
  std::shared_ptr<CallCounts> Counts;
  std::mutex Lock;
  CallBudget Reads;
  CallBudget Writes;
  std::uint64_t PutsStarted = 0;
};

/// A conditional update that is retried and read back until its outcome is
/// known or its deadline has passed.
struct PutOperation : std::enable_shared_from_this<PutOperation> {
  PutOperation(std::shared_ptr<GuardedApi> owner, std::string key,
               PutSettlement state, OnObject done, std::uint64_t seed)
      : Owner(std::move(owner)), Key(std::move(key)), State(std::move(state)),
        Done(std::move(done)), RetryBackoff(Owner->Options.Retry, seed),
        Timer(Owner->Loop),
        Deadline(Owner->Time.now() + Owner->Options.PutLimit) {}

  void send() {
    Owner->put(Key, State.expected(), State.value(),
               [self = shared_from_this()](const Result<Object> &it) {
                 self->handleStep(self->State.afterPut(it), !it);
               });
  }

  void readBack() {
    Owner->get(Key, [self = shared_from_this()](const Result<Object> &it) {
      self->handleStep(self->State.afterReadBack(it), true);
    });
  }

  void handleStep(PutSettlement::Step step, bool failed) {
    if (step == PutSettlement::Step::Done || Owner->Time.now() >= Deadline) {
      Done(State.result());
      return;
    }
    auto delay = failed ? RetryBackoff.nextDelay() : Duration{};
    asio::post(Owner->Loop, [self = shared_from_this(), step, delay] {
      self->Timer.expires_after(delay);
      self->Timer.async_wait([self, step](std::error_code ec) {
        if (ec)
          return;
        step == PutSettlement::Step::ReadBack ? self->readBack() : self->send();
      });
    });
  }

  std::shared_ptr<GuardedApi> Owner;
  std::string Key;
  PutSettlement State;
  OnObject Done;
  Backoff RetryBackoff;
  asio::steady_timer Timer;
  TimePoint Deadline;
};

} // namespace

Api makeGuarded(Api inner, asio::io_context &loop, const Clock &clock,
                const GuardOptions &options,
                const std::shared_ptr<CallCounts> &counts) {
  auto guard = std::make_shared<GuardedApi>(std::move(inner), loop, clock,
                                            options, counts);
  Api api;
  api.Get = [guard](const std::string &key, OnObject done) {
    guard->get(key, std::move(done));
  };
  api.Put = [guard](std::string key, std::uint64_t expected, std::string value,
                    OnObject done) {
    std::unique_lock lock(guard->Lock);
    auto seed = guard->Options.Seed + ++guard->PutsStarted;
    lock.unlock();
    std::make_shared<PutOperation>(guard, std::move(key),
                                   PutSettlement(expected, std::move(value)),
                                   std::move(done), seed)
        ->send();
  };
  api.Watch = [guard](std::string key, std::uint64_t after,
                      std::chrono::milliseconds wait, OnObject done) {
    if (!guard->admit(guard->Reads, &CallCounts::Watches))
      return done(GuardedApi::budgetExceeded());
    guard->Inner.Watch(std::move(key), after, wait,
                       guard->counted(std::move(done)));
  };
  api.ListVms = [guard](OnMembers done) {
    if (!guard->admit(guard->Reads, &CallCounts::Lists))
      return done(GuardedApi::budgetExceeded());
    guard->Inner.ListVms(guard->counted(std::move(done)));
  };
  return api;
}

} // namespace peridotfall::platform
