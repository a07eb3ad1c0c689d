#include "daemon/prober.h"

#include "telemetry/events.h"

#include <algorithm>

namespace peridotfall {

Prober::Prober(asio::io_context &loop, const Clock &clock,
               const ConfigurationInForce &config, Fleet &fleet,
               Targets &targets, GroupViews &views,
               std::chrono::milliseconds interval)
    : Timer(loop), Time(clock), Config(config), Peers(fleet), Apis(targets),
      Views(views), Interval(interval) {}

void Prober::start() { tick(); }

void Prober::stop() { Timer.cancel(); }

void Prober::tick() {
  if (auto config = Config.get())
    for (const auto &database : config->Databases)
      if (ownsOneOf(*config, database))
        for (const auto &it : database.Targets)
          probe(database.Name, it);
  Timer.expires_after(Interval);
  Timer.async_wait([self = shared_from_this()](std::error_code ec) {
    if (!ec)
      self->tick();
  });
}

bool Prober::ownsOneOf(const Configuration &config,
                       const DatabaseConfig &database) const {
  return std::any_of(database.Targets.begin(), database.Targets.end(),
                     [&](const TargetConfig &it) {
                       auto ranked = Peers.ranked(config, it);
                       return !ranked.empty() &&
                              ranked.front().Vm == Peers.self().Vm;
                     });
}

void Prober::probe(const DatabaseName &database, const TargetConfig &target) {
  Apis.get(target.Address)
      ->Calls.GetStatus([self = shared_from_this(), database,
                         name = target.Name](const Result<target::Status> &it) {
        TargetView view;
        view.Reachable = it.has_value();
        view.SeenAt = self->Time.now();
        if (it)
          view.Last = it.value();
        if (self->Views.learnStatus(database, name, view))
          telemetry::log(telemetry::Event::PrimaryChanged,
                         {telemetry::field("database", database.Value),
                          telemetry::field("primary", name.Value),
                          telemetry::field("term", view.Last.CurrentTerm)});
      });
}

} // namespace peridotfall
